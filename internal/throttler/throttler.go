// Package throttler decides which part of the requests for one model is worth
// beginning, from how soon the last ones began, as a pure state machine.
//
// # Usage
//
//	t := throttler.New()
//	t.Update(throttler.FirstEventMsg{Model: "verse", Latency: latency, Objective: objective})
//	if t.Admits("verse", full, rand.Float64()) { ... }
//
// A request that begins after its objective earns little and takes as much of
// an engine as one in time. So each late begin lowers the part that is
// admitted, and each timely one raises it, until about a quarter is late.
// Nothing is turned away while the places are not half full.
package throttler

import "time"

const (
	// lower is the share of the admitted part that a late begin takes away.
	lower = 0.06
	// raise is what a timely begin adds.
	raise = 0.02
	// least is the smallest part, so that the latency stays measured.
	least = 0.3
	// near is the share of the objective from which on a begin counts as late.
	near = 0.9
	// MinThrottleUtilization is the load below which nothing is turned away.
	MinThrottleUtilization = 0.55
)

// FirstEventMsg tells how soon a request's first event came.
type FirstEventMsg struct {
	Model     string
	Latency   time.Duration
	Objective time.Duration
}

// Throttler holds the admitted parts. It is not safe for concurrent use.
type Throttler struct{ parts map[string]float64 }

// New returns a throttler that admits everything.
func New() *Throttler { return &Throttler{parts: map[string]float64{}} }

// Update takes one begin.
func (t *Throttler) Update(msg FirstEventMsg) {
	part := t.AdmittedFraction(msg.Model)
	if float64(msg.Latency) > near*float64(msg.Objective) {
		t.parts[msg.Model] = max(part*(1-lower), least)
		return
	}
	t.parts[msg.Model] = min(part+raise, 1)
}

// AdmittedFraction returns the admitted part of a model's requests.
func (t *Throttler) AdmittedFraction(model string) float64 {
	part, ok := t.parts[model]
	if !ok {
		return 1
	}
	return part
}

// Admits reports whether a request is begun, where full is the taken part of
// the model's places and drawn is a random number below 1.
func (t *Throttler) Admits(model string, full, drawn float64) bool {
	return full < MinThrottleUtilization || drawn < t.AdmittedFraction(model)
}
