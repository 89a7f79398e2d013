package commander

import (
	"context"
	"io"
	"os"

	"papayaseam/internal/explainer"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func explainCommand(stdin io.Reader, stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show what one request met, from the logs of all processes", ArgsUsage: "ID [FILE...]",
		Description: "Example: papayaseam explain 9c41d07be2a35f68 logs/*.log\n\nWithout files the logs are read from the standard input.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return errors.Wrap(ErrUsage, "name the request's id")
			}
			e := explainer.New(c.Args().First())
			for _, name := range c.Args().Tail() {
				if err := readLog(e, name); err != nil {
					return err
				}
			}
			if c.NArg() == 1 {
				if err := e.Read("-", stdin); err != nil {
					return errors.Wrap(err, "read the logs from the standard input")
				}
			}
			_, err := io.WriteString(stdout, e.Timeline())
			return err
		},
	}
}

func readLog(e *explainer.Explainer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "read the log; check its path")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrapf(e.Read(name, file), "read the log %s", name)
}
