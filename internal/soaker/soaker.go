// Package soaker plays random plans of faults against real processes and checks the
// promises of the system by what callers, servers and operators observe.
//
// # Usage
//
//	report, err := soaker.Run(ctx, seed, soaker.Length{Steps: 12, Calls: 20}, rig, logger)
//
// A plan follows from its seed alone. It is bounded by steps and calls, not by time. The
// rig starts, signals and calls the processes; this package knows none of their formats.
package soaker

import (
	"context"
	"fmt"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Rig is what a soak does to the processes. It reports what it observes to the checker.
type Rig interface {
	// Config returns the size of the rig.
	Config() Config
	// Start starts all processes and returns once requests are served.
	Start(ctx context.Context, c *Checker) error
	// Do carries out an action; a flood goes on beside what follows.
	Do(ctx context.Context, a Action) error
	// Call sends requests to the entries that run and returns once all are answered.
	Call(ctx context.Context, n int) error
	// Check reads the configuration and what the processes hold.
	Check(ctx context.Context) error
	// Stop ends all processes that the rig has started.
	Stop()
}

// Length bounds a plan.
type Length struct {
	Steps int
	Calls int // Calls is the number of requests of each step.
}

// Report is the outcome of one seed.
type Report struct {
	Seed       uint64
	Actions    []Action
	Answered   map[int]int // Answered holds the number of answers with each status, 0 for none.
	Violations []string
}

// String returns the report in one line.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d actions=%d answers=%q violations=%q", r.Seed, len(r.Actions), fmt.Sprint(r.Answered), r.Violations)
}

// Run plays the plan of a seed and ends the processes of the rig. It returns an error if the
// rig fails; broken promises are in the report.
func Run(ctx context.Context, seed uint64, length Length, rig Rig, logger *log.Logger, opts ...Option) (Report, error) {
	report := Report{Seed: seed}
	checker := NewChecker()
	defer rig.Stop()
	if err := rig.Start(ctx, checker); err != nil {
		return report, errors.Wrap(err, "start the processes")
	}
	planner := NewPlanner(seed, rig.Config(), opts...)
	for step := range length.Steps {
		var msg Msg = StepMsg{}
		if step == length.Steps-1 {
			msg = FinishMsg{}
		}
		actions := planner.Update(msg)
		report.Actions = append(report.Actions, actions...)
		logger.Info("soak step", "seed", seed, "step", step, "actions", fmt.Sprint(actions))
		if err := play(ctx, rig, actions, length.Calls); err != nil {
			return report, err
		}
	}
	rig.Stop()
	report.Answered = checker.Answered()
	if report.Answered[http.StatusOK] == 0 {
		checker.Update(FailedMsg{What: "no request was served"})
	}
	report.Violations = checker.Violations()
	return report, nil
}

// play carries out the actions of a step beside its calls.
func play(ctx context.Context, rig Rig, actions []Action, calls int) error {
	called := make(chan error, 1)
	go func() { called <- rig.Call(ctx, calls) }()
	var failed error
	for _, action := range actions {
		if err := rig.Do(ctx, action); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "%s", action))
		}
	}
	return errors.CombineErrors(errors.CombineErrors(failed, <-called), rig.Check(ctx))
}
