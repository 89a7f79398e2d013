package commander

import (
	"context"
	"fmt"
	"io"

	"papayaseam/internal/configurer"
	"papayaseam/internal/runner"

	"github.com/urfave/cli/v3"
)

func runCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run the roles that the settings name",
		Description: "Example: papayaseam run --settings examples/three-domains/control-a.ini\n\nThe first SIGTERM drains; a second one ends the process and logs what it cut.",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "INI file with the settings", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := configurer.Read(c.String("settings"))
			if err != nil {
				return err
			}
			return runner.Run(ctx, settings, stdout)
		},
	}
}

func settingsCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "work with settings files",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check settings files", ArgsUsage: "FILE...",
			Description: "Example: papayaseam settings check examples/three-domains/*.ini",
			Action: func(_ context.Context, c *cli.Command) error {
				if c.NArg() == 0 {
					return ErrUsage
				}
				for _, name := range c.Args().Slice() {
					settings, err := configurer.Read(name)
					if err != nil {
						return err
					}
					_, _ = fmt.Fprintf(stdout, "%s: good, %s with roles %v\n", name, settings.Name, settings.Roles)
				}
				return nil
			},
		}},
	}
}
