package prober

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAskedEndpointKeepsTheRateOfStalledOnes guards against more calls to an endpoint than
// a stalled one gets, as long as entries tell of streams that break there.
func TestAskedEndpointKeepsTheRateOfStalledOnes(t *testing.T) {
	p, list := New(), makeEndpoints(1)
	calls := 0
	for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
		p.Update(AskMsg{ID: "e0000"})
		for range p.Update(TickMsg{Now: now + time.Second, Endpoints: list}) {
			calls++
			p.Update(ProbeDoneMsg{ID: "e0000"})
		}
	}
	assert.Assert(t, calls <= int(time.Second/intervalStalled), "%d calls in a second", calls)
}
