// Package throttler decides which fraction of the requests for a model to
// admit, from the latency of the first events of recent requests. It is a pure
// state machine.
//
// # Usage
//
//	t := throttler.New()
//	t.Update(throttler.FirstEventMsg{Model: "verse", Latency: latency, Objective: objective})
//	if t.Admits("verse", utilization, rand.Float64()) { ... }
//
// A request whose first event misses its latency objective is worth little but
// costs an engine as much as one on time. So each late first event lowers the
// admitted fraction and each timely one raises it, until about a quarter is
// late. Every request is admitted while no more than about half of the slots
// are in use.
package throttler

import "time"

const (
	// decreaseFactor is the share of the admitted fraction that a late first
	// event removes.
	decreaseFactor = 0.06
	// increaseStep is what a timely first event adds to the admitted fraction.
	increaseStep = 0.02
	// minAdmittedFraction keeps some requests admitted, so that the latency is
	// still measured.
	minAdmittedFraction = 0.3
	// lateThreshold is the share of the objective above which a first event
	// counts as late.
	lateThreshold = 0.9
	// MinThrottleUtilization is the utilization of a model's slots below which
	// every request is admitted.
	MinThrottleUtilization = 0.55
)

// FirstEventMsg reports the latency of a request's first event and the latency
// objective of its route.
type FirstEventMsg struct {
	Model     string
	Latency   time.Duration
	Objective time.Duration
}

// Throttler holds the admitted fraction of each model's requests. It is not
// safe for concurrent use.
type Throttler struct{ fractions map[string]float64 }

// New returns a throttler that admits every request.
func New() *Throttler { return &Throttler{fractions: map[string]float64{}} }

// Update adjusts the admitted fraction of a model after a first event.
func (t *Throttler) Update(msg FirstEventMsg) {
	fraction := t.AdmittedFraction(msg.Model)
	if float64(msg.Latency) > lateThreshold*float64(msg.Objective) {
		t.fractions[msg.Model] = max(fraction*(1-decreaseFactor), minAdmittedFraction)
		return
	}
	t.fractions[msg.Model] = min(fraction+increaseStep, 1)
}

// AdmittedFraction returns the fraction of a model's requests to admit, from 0
// to 1.
func (t *Throttler) AdmittedFraction(model string) float64 {
	fraction, ok := t.fractions[model]
	if !ok {
		return 1
	}
	return fraction
}

// Admits reports whether to admit a request. Utilization is the fraction of the
// model's slots in use, and random is a random number from 0 up to 1.
func (t *Throttler) Admits(model string, utilization, random float64) bool {
	return utilization < MinThrottleUtilization || random < t.AdmittedFraction(model)
}
