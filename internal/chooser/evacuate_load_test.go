package chooser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evacuationLoad is the outcome of an evacuation in a simulation.
type evacuationLoad struct {
	late, refused float64 // late and refused are fractions of the requests in the 4 s after the first entry learned of it.
	after         int     // after counts the requests to the failure domain after the end of the phase-out.
	returned      float64 // returned is the share of requests to the failure domain in the second after the revocation, relative to an even share.
}

// simulateEvacuation evacuates the first of five failure domains while many entries send
// requests to many groups, and revokes this. Entries learn of a change one after the other.
func simulateEvacuation(load float64, phaseOut time.Duration) evacuationLoad {
	const entries, groups = 39, 40
	sim := newSimulation(entries, groups)
	now := time.Duration(0)
	// run simulates d, and returns the requests to the failure domain. Each entry gets the
	// message once within viewInterval.
	run := func(d time.Duration, message func(at time.Duration) EvacuationMsg) int {
		begin, before := now, sim.startedInFirstDomain()
		for ; now < begin+d; now += scaleStep {
			for i, entry := range sim.entries {
				if message != nil && now-begin == viewInterval*time.Duration(i)/entries/scaleStep*scaleStep {
					entry.Update(message(now))
				}
			}
			sim.step(now, load)
		}
		return sim.startedInFirstDomain() - before
	}
	run(4*time.Second, nil)
	arrived, late, refused := sim.arrived, sim.late, sim.refused
	run(phaseOut+viewInterval, func(at time.Duration) EvacuationMsg {
		return EvacuationMsg{Now: at, Domains: []string{"d0"}, PhaseOutEnd: at + phaseOut}
	})
	out := evacuationLoad{after: run(4*time.Second-viewInterval-phaseOut, nil)}
	out.late = float64(sim.late-late) / float64(sim.arrived-arrived)
	out.refused = float64(sim.refused-refused) / float64(sim.arrived-arrived)
	arrived = sim.arrived
	inside := run(time.Second, func(at time.Duration) EvacuationMsg { return EvacuationMsg{Now: at} })
	out.returned = float64(inside) * 5 / float64(sim.arrived-arrived)
	return out
}

// startedInFirstDomain counts the requests that began in the first failure domain.
func (sim *simulation) startedInFirstDomain() int {
	n := 0
	for group := 0; group < len(sim.prompts); group += 5 {
		for _, count := range sim.prompts[group] {
			n += count
		}
	}
	return n
}

// TestEvacuationUnderLoad guards against an evacuation of a fifth of the capacity that makes
// more requests late or refused than it must, against requests to the failure domain after
// the phase-out, and against its groups staying idle, or being flooded, when they return.
func TestEvacuationUnderLoad(t *testing.T) {
	lateGradual, lateAtOnce := 0.0, 0.0
	for _, load := range []float64{0.55, 0.6, 0.65, 0.7} {
		gradual, atOnce := simulateEvacuation(load, 2*time.Second), simulateEvacuation(load, 0)
		t.Logf("load %.2f: late %.3f (refused %.3f), in one step %.3f (%.3f); requests after the revocation, relative to an even share: %.1f",
			load, gradual.late, gradual.refused, atOnce.late, atOnce.refused, gradual.returned)
		lateGradual += gradual.late
		lateAtOnce += atOnce.late
		assert.Equal(t, gradual.after+atOnce.after, 0)
		assert.Equal(t, gradual.refused, 0.0)
		assert.Assert(t, gradual.returned > 0.5 && gradual.returned < 3)
	}
	assert.Assert(t, lateGradual < lateAtOnce)
}
