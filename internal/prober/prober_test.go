package prober

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

const tickInterval = 25 * time.Millisecond

// makeEndpoints returns n endpoints with the instances e0000, e0001 and so on.
func makeEndpoints(n int) []tracker.Endpoint {
	var endpoints []tracker.Endpoint
	for i := range n {
		endpoints = append(endpoints, tracker.Endpoint{View: messenger.EndpointView{Instance: fmt.Sprintf("e%04d", i)}})
	}
	return endpoints
}

// simulate ticks the prober for a time, ends each probe at once, and returns the
// number of probes in total and by instance.
func simulate(p *Prober, list []tracker.Endpoint, roles map[string]Role, duration time.Duration) (total int, byInstance map[string]int) {
	byInstance = map[string]int{}
	for now := time.Second; now < time.Second+duration; now += tickInterval {
		for _, probe := range p.Update(TickMsg{Now: now, Endpoints: list, Roles: roles}) {
			total++
			byInstance[probe.Endpoint.View.Instance]++
			p.Update(ProbeDoneMsg{ID: probe.Endpoint.View.Instance})
		}
	}
	return total, byInstance
}

// TestCallRateIsBoundedWhileAllGroupsChange guards against overload by probes when
// hundreds of endpoints start and all groups change at once.
func TestCallRateIsBoundedWhileAllGroupsChange(t *testing.T) {
	for _, n := range []int{380, 1700} {
		list := makeEndpoints(n)
		roles := map[string]Role{}
		for _, e := range list {
			roles[e.View.Instance] = Changing
		}
		total, _ := simulate(New(), list, roles, 10*time.Second)
		// Each endpoint is probed on the first tick and at least once per maxInterval.
		bound := max(10*maxCallsPerSec, n*int(10*time.Second/maxInterval)) + n
		assert.Assert(t, total <= bound, "%d endpoints: %d calls in 10 s", n, total)
	}
}

// TestFewEndpointsAreProbedAtBaseIntervals guards against lengthened intervals, and
// so late detection of failures, when the call rate is far below its bound.
func TestFewEndpointsAreProbedAtBaseIntervals(t *testing.T) {
	list := makeEndpoints(30)
	roles := map[string]Role{"e0000": Head, "e0001": Changing, "e0002": Stalled}
	_, probes := simulate(New(), list, roles, 10*time.Second)
	assert.Equal(t, probes["e0000"], int(10*time.Second/intervalHead))
	assert.Equal(t, probes["e0005"], int(10*time.Second/intervalIdle))
	assert.Assert(t, probes["e0002"] >= int(10*time.Second/intervalStalled)-1)
}

// TestStalledGroupIsProbedAtBaseIntervalBesideMany guards against late probes of a
// stalled group because of the calls to 1700 other endpoints.
func TestStalledGroupIsProbedAtBaseIntervalBesideMany(t *testing.T) {
	list := makeEndpoints(1700)
	roles := map[string]Role{"e0007": Stalled}
	_, probes := simulate(New(), list, roles, 5*time.Second)
	assert.Assert(t, probes["e0007"] >= int(5*time.Second/intervalStalled)-1, "%d probes", probes["e0007"])
}

// TestConcurrentCallsAreBounded guards against a burst of calls from a new leader,
// for which all endpoints are due at once.
func TestConcurrentCallsAreBounded(t *testing.T) {
	p := New()
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Second, Endpoints: makeEndpoints(1700)})), maxInFlight)
	assert.Equal(t, len(p.Update(TickMsg{Now: 2 * time.Second, Endpoints: makeEndpoints(1700)})), 0)
	p.Update(ProbeDoneMsg{ID: "e0000"})
	assert.Equal(t, len(p.Update(TickMsg{Now: 3 * time.Second, Endpoints: makeEndpoints(1700)})), 1)
}

// TestFailingEndpointIsProbedMoreOften guards against late detection of a lost
// endpoint: further probes tell it from one that was late once.
func TestFailingEndpointIsProbedMoreOften(t *testing.T) {
	list := makeEndpoints(380)
	list[7].FailingSince = time.Second
	_, probes := simulate(New(), list, nil, 10*time.Second)
	assert.Assert(t, probes["e0007"] >= int(10*time.Second/intervalSuspect)-1, "%d probes", probes["e0007"])
	assert.Assert(t, probes["e0008"] <= int(10*time.Second/intervalIdle))
}

// TestEndpointHasOneProbeInFlight guards against a second call to an endpoint while
// the first has not ended.
func TestEndpointHasOneProbeInFlight(t *testing.T) {
	list := makeEndpoints(1)
	p := New()
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Second, Endpoints: list})), 1)
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Hour, Endpoints: list})), 0)
	p.Update(ProbeDoneMsg{ID: "e0000"})
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Hour, Endpoints: list})), 1)
}

// TestAskedEndpointIsProbedAtTheNextTick guards against crashes that are found at the next
// turn of an endpoint, although somebody asked for it.
func TestAskedEndpointIsProbedAtTheNextTick(t *testing.T) {
	p, list := New(), makeEndpoints(3)
	probed := func(now time.Duration) []string {
		var ids []string
		for _, probe := range p.Update(TickMsg{Now: now, Endpoints: list}) {
			ids = append(ids, probe.Endpoint.View.Instance)
			p.Update(ProbeDoneMsg{ID: probe.Endpoint.View.Instance})
		}
		return ids
	}
	assert.Equal(t, len(probed(time.Second)), 3)
	p.Update(AskMsg{ID: "e0001"})
	assert.DeepEqual(t, probed(time.Second+tickInterval), []string{"e0001"})
	assert.DeepEqual(t, probed(time.Second+2*tickInterval), []string(nil))
}

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
