// Command capacity measures what control costs each role at several sizes, for
// docs/CAPACITY.md.
//
// # Usage
//
//	go build -o /tmp/papayaseam ./cmd/papayaseam
//	go run ./cmd/capacity --program /tmp/papayaseam --sides 48 --sides 96
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"papayaseam/internal/measurer"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name: "capacity", Usage: "measure what control costs each role",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Required: true, Usage: "path of the built papayaseam"},
			&cli.IntSliceFlag{Name: "sides", Usage: "numbers of side processes to measure, one after the other", Value: []int{48}},
			&cli.IntFlag{Name: "entries", Value: 12, Usage: "number of entry processes"},
			&cli.IntFlag{Name: "controls", Value: 3, Usage: "number of control processes"},
			&cli.IntFlag{Name: "members", Value: 16, Usage: "instances in a group"},
			&cli.DurationFlag{Name: "window", Value: 20 * time.Second, Usage: "how long the idle system is watched"},
			&cli.IntFlag{Name: "streams", Usage: "answers that stream while the system is watched"},
			&cli.BoolFlag{Name: "fail", Usage: "kill the control leader right before the tickets"},
			&cli.IntFlag{Name: "tickets", Value: 10, Usage: "tickets to time"},
		},
		Action: measure,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, c *cli.Command) error {
	for _, sides := range c.IntSlice("sides") {
		result, err := measurer.Run(ctx, measurer.Size{
			Controls: c.Int("controls"), Entries: c.Int("entries"), Sides: sides, Members: c.Int("members"),
			Window: c.Duration("window"), Tickets: c.Int("tickets"),
			Streams: c.Int("streams"), Fail: c.Bool("fail"),
		}, c.String("program"))
		if err != nil {
			return err
		}
		write(result)
	}
	return nil
}

func write(r measurer.Result) {
	fmt.Printf("sides %d, entries %d, controls %d, groups of %d: all serving after %v\n", r.Size.Sides, r.Size.Entries, r.Size.Controls, r.Size.Members, r.ServingAfter.Round(time.Millisecond))
	fmt.Printf("%-15s %5s %12s %12s %9s %9s %9s %9s\n", "role", "n", "mean B/s", "most B/s", "mean core", "most core", "mean MB", "most MB")
	for _, role := range r.Roles {
		fmt.Printf("%-15s %5d %12.0f %12.0f %8.2f%% %8.2f%% %9.1f %9.1f\n", role.Name, role.Processes, role.Mean.BytesPerSecond, role.Most.BytesPerSecond,
			role.Mean.CorePercent, role.Most.CorePercent, role.Mean.MemoryMB, role.Most.MemoryMB)
	}
	if r.Load.Streams > 0 {
		fmt.Printf("%d streams: %d whole answers, %d failed, %.0f tokens/s; first token within %v, between tokens %v for 95 in 100\n", r.Load.Streams,
			r.Load.Answers, r.Load.Failures, r.Load.TokensPerSec, r.Load.FirstP95.Round(time.Millisecond), r.Load.BetweenP95.Round(10*time.Microsecond))
	}
	n := len(r.InForceAfter)
	if n == 0 {
		return
	}
	fmt.Printf("ticket accepted: median %v, most %v; in force everywhere: median %v, most %v; claims %.0f/s\n\n",
		r.AcceptedAfter[n/2], r.AcceptedAfter[n-1], r.InForceAfter[n/2], r.InForceAfter[n-1], r.ClaimsPerSec)
}
