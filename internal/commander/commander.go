// Package commander is the command line of papayaseam.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr))
//
// Exit codes: 0 done, 1 failed, 2 wrong use or settings, 3 a ticket was
// refused, 4 the outcome is not known and the same command can be repeated.
package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"papayaseam/internal/declarer"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitUnknown = 4
)

// Version is the version of the program.
const Version = "0.1.0"

// ErrRefused means that a ticket was refused; its message names the remedy.
var ErrRefused = errors.New("the ticket was refused")

// ErrUnknown means that the outcome is not known; repeat the same command.
var ErrUnknown = errors.New("the outcome is not known; repeat the same command")

// ErrUsage means that the command was called wrongly.
var ErrUsage = errors.New("wrong use; see --help")

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	err := command(stdout, stderr).Run(context.Background(), args)
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintln(stderr, "papayaseam:", err)
	var problems declarer.Problems
	switch {
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrUnknown):
		return ExitUnknown
	case errors.As(err, &problems) || errors.Is(err, ErrUsage):
		return ExitUsage
	}
	return ExitFailed
}

func command(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name: "papayaseam", Usage: "serve models whose replicas span several instances", Version: Version,
		Writer: stdout, ErrWriter: stderr, HideVersion: true, ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() > 0 {
				return errors.Wrapf(ErrUsage, "no command %q", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
		Description: "Exit codes: 0 done, 1 failed, 2 wrong use or settings, 3 ticket refused, 4 outcome unknown (repeat the same command).",
		Commands: withUsageErrors([]*cli.Command{
			runCommand(stdout), settingsCommand(stdout), ticketCommand(stdout), statusCommand(stdout),
			instanceCommand(stdout), reportCommand(stdout), explainCommand(os.Stdin, stdout), quickstartCommand(stdout, stderr), soakCommand(stdout, stderr),
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				_, err := fmt.Fprintln(stdout, "papayaseam", Version)
				return err
			}},
		}),
	}
}

// usageError marks a mistake in the flags of a command.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Mark(err, ErrUsage)
}

// withUsageErrors gives all commands the same handling of wrong flags.
func withUsageErrors(commands []*cli.Command) []*cli.Command {
	for _, c := range commands {
		c.OnUsageError = usageError
		withUsageErrors(c.Commands)
	}
	return commands
}

func controlFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "control", Aliases: []string{"c"}, Usage: "address of a control process; repeat it to name several", Value: []string{"127.0.0.1:7101"}, Sources: cli.EnvVars("PAPAYASEAM_CONTROL")}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "text or json", Value: "text", Validator: func(value string) error {
		if value != "text" && value != "json" {
			return errors.Wrapf(ErrUsage, "output %q; use text or json", value)
		}
		return nil
	}}
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
