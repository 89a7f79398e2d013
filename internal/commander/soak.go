package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"papayaseam/internal/exposer"
	"papayaseam/internal/soaker"
	"papayaseam/platform/rig"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The length of a soak's plan, for a few minutes each seed.
const (
	soakSteps = 40
	soakCalls = 200
)

func soakCommand(stdout, stderr io.Writer) *cli.Command {
	flags := []cli.Flag{
		&cli.IntFlag{Name: "steps", Usage: "steps of each plan", Value: soakSteps},
		&cli.IntFlag{Name: "calls", Usage: "requests of each step", Value: soakCalls},
		&cli.StringFlag{Name: "folder", Usage: "where settings, logs and data are kept; a new temporary one by default"},
		&cli.BoolFlag{Name: "evacuations", Usage: "plan evacuations of failure domains"},
		&cli.BoolFlag{Name: "cold", Usage: "plan servers that turn cold"},
	}
	return &cli.Command{
		Name: "soak", Usage: "play random faults against real processes on loopback addresses, and check the promises",
		Commands: []*cli.Command{{
			Name: "run", Usage: "play several seeds",
			Description: "Example: papayaseam soak run --seeds 20\n\nThe exit code is 1 if a promise was broken; repeat the seed with soak replay.",
			Flags: append([]cli.Flag{
				&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 3}, &cli.Uint64Flag{Name: "first", Usage: "first seed", Value: 1},
			}, flags...),
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.Int("seeds") < 1 {
					return errors.Wrap(ErrUsage, "seeds must be 1 or more")
				}
				var seeds []uint64
				for i := range uint64(c.Int("seeds")) {
					seeds = append(seeds, c.Uint64("first")+i)
				}
				return soak(ctx, c, seeds, stdout, stderr)
			},
		}, {
			Name: "replay", Usage: "play one seed", ArgsUsage: "SEED", Flags: flags,
			Description: "Example: papayaseam soak replay 17\n\nThe same seed, steps and calls give the same plan; the moments at which its actions meet requests differ.",
			Action: func(ctx context.Context, c *cli.Command) error {
				seed, err := strconv.ParseUint(c.Args().First(), 10, 64)
				if err != nil || c.NArg() != 1 {
					return errors.Wrap(ErrUsage, "name one seed, a whole number")
				}
				return soak(ctx, c, []uint64{seed}, stdout, stderr)
			},
		}},
	}
}

// soak plays the seeds one after the other, each in a folder of its own.
func soak(ctx context.Context, c *cli.Command, seeds []uint64, stdout, stderr io.Writer) error {
	if c.Int("steps") < 1 || c.Int("calls") < 1 {
		return errors.Wrap(ErrUsage, "steps and calls must be 1 or more")
	}
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	var opts []soaker.Option
	if c.Bool("evacuations") {
		opts = append(opts, soaker.WithEvacuations())
	}
	if c.Bool("cold") {
		opts = append(opts, soaker.WithColdServers())
	}
	broken := 0
	for _, seed := range seeds {
		folder, err := os.MkdirTemp(c.String("folder"), fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			return errors.Wrap(err, "create a folder; check --folder")
		}
		length := soaker.Length{Steps: c.Int("steps"), Calls: c.Int("calls")}
		report, err := soaker.Run(ctx, seed, length, rig.New(binary, folder), exposer.NewLogger(stderr, "soak"), opts...)
		if err != nil {
			return errors.Wrapf(err, "seed %d, logs in %s", seed, folder)
		}
		_, _ = fmt.Fprintln(stdout, report)
		if len(report.Violations) > 0 {
			broken++
			_, _ = fmt.Fprintf(stdout, "seed %d: logs in %s\n", seed, folder)
		} else if err := os.RemoveAll(folder); err != nil {
			return errors.Wrap(err, "remove the logs of a seed without a violation")
		}
	}
	if broken > 0 {
		return errors.Newf("promises were broken in %d of %d seeds", broken, len(seeds))
	}
	return nil
}
