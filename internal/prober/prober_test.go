package prober

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

const step = 25 * time.Millisecond

func endpoints(n int) []tracker.Endpoint {
	var list []tracker.Endpoint
	for i := range n {
		list = append(list, tracker.Endpoint{View: messenger.EndpointView{Instance: fmt.Sprintf("e%04d", i)}})
	}
	return list
}

// drive answers each probe at once and counts them by endpoint.
func drive(p *Prober, list []tracker.Endpoint, roles map[string]Role, d time.Duration) (total int, by map[string]int) {
	by = map[string]int{}
	for now := time.Second; now < time.Second+d; now += step {
		for _, probe := range p.Update(TickMsg{Now: now, Endpoints: list, Roles: roles}) {
			total++
			by[probe.Endpoint.View.Instance]++
			p.Update(ProbeDoneMsg{ID: probe.Endpoint.View.Instance})
		}
	}
	return total, by
}

// TestManyFormingGroupsAreReadWithinTheBound is the load of a start at hundreds
// of endpoints: all groups change at once.
func TestManyFormingGroupsAreReadWithinTheBound(t *testing.T) {
	for _, n := range []int{380, 1700} {
		list := endpoints(n)
		roles := map[string]Role{}
		for _, e := range list {
			roles[e.View.Instance] = Changing
		}
		total, _ := drive(New(), list, roles, 10*time.Second)
		// Each endpoint is read once at first, and once in the longest pace.
		bound := max(10*most, n*int(10*time.Second/longestPace)) + n
		assert.Assert(t, total <= bound, "%d endpoints: %d calls in 10 s", n, total)
	}
}

func TestFewEndpointsAreReadAtTheirPace(t *testing.T) {
	list := endpoints(30)
	roles := map[string]Role{"e0000": Head, "e0001": Changing, "e0002": Stalled}
	_, by := drive(New(), list, roles, 10*time.Second)
	assert.Equal(t, by["e0000"], int(10*time.Second/paceHead))
	assert.Equal(t, by["e0005"], int(10*time.Second/paceIdle))
	assert.Assert(t, by["e0002"] >= int(10*time.Second/paceUrgent)-1)
}

// TestGroupThatStandsStillIsReadAtOnceBesideMany has one group lose a member
// while hundreds of others change.
func TestGroupThatStandsStillIsReadAtOnceBesideMany(t *testing.T) {
	list := endpoints(1700)
	roles := map[string]Role{"e0007": Stalled}
	_, by := drive(New(), list, roles, 5*time.Second)
	assert.Assert(t, by["e0007"] >= int(5*time.Second/paceUrgent)-1, "%d", by["e0007"])
}

// TestBurstOfQuestionsIsSpread is the first moment of a leader: all endpoints are
// due at once.
func TestBurstOfQuestionsIsSpread(t *testing.T) {
	p := New()
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Second, Endpoints: endpoints(1700)})), mostFlying)
	assert.Equal(t, len(p.Update(TickMsg{Now: 2 * time.Second, Endpoints: endpoints(1700)})), 0)
	p.Update(ProbeDoneMsg{ID: "e0000"})
	assert.Equal(t, len(p.Update(TickMsg{Now: 3 * time.Second, Endpoints: endpoints(1700)})), 1)
}

// TestSilentEndpointIsAskedAgainSoon is what tells a lost endpoint from one late
// answer.
func TestSilentEndpointIsAskedAgainSoon(t *testing.T) {
	list := endpoints(380)
	list[7].FailingSince = time.Second
	_, by := drive(New(), list, nil, 10*time.Second)
	assert.Assert(t, by["e0007"] >= int(10*time.Second/paceSuspect)-1, "%d", by["e0007"])
	assert.Assert(t, by["e0008"] <= int(10*time.Second/paceIdle))
}

func TestEndpointIsNotAskedTwiceAtOnce(t *testing.T) {
	list := endpoints(1)
	p := New()
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Second, Endpoints: list})), 1)
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Hour, Endpoints: list})), 0)
	p.Update(ProbeDoneMsg{ID: "e0000"})
	assert.Equal(t, len(p.Update(TickMsg{Now: time.Hour, Endpoints: list})), 1)
}
