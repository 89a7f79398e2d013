package director

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"sync"
	"testing"

	"papayaseam/internal/batcher"
	"papayaseam/internal/cataloguer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// maxRedirects is how often a caller sends an order again with what it must name.
const maxRedirects = 2

// order sends an order to a process as an operator does.
func (n *node) order(domain string, active bool) error {
	order := messenger.Evacuation{FailureDomain: domain, Active: active}
	var unbound *UnboundOrderError
	for range maxRedirects {
		err := n.director.Evacuate(context.Background(), order)
		if !errors.As(err, &unbound) {
			return err
		}
		order.After = unbound.After
	}
	return n.director.Evacuate(context.Background(), order)
}

// evacuate sends an order to a process until it is acknowledged.
func (c *cluster) evacuate(n *node, domain string, active bool) {
	c.t.Helper()
	c.waitUntil("the order is not acknowledged", func() bool { return n.order(domain, active) == nil })
}

// bind returns an order as its caller would send it now, after the redirect.
func (c *cluster) bind(n *node, domain string, active bool) messenger.Evacuation {
	c.t.Helper()
	order := messenger.Evacuation{FailureDomain: domain, Active: active}
	c.waitUntil("the order is not sent back", func() bool {
		var unbound *UnboundOrderError
		if !errors.As(n.director.Evacuate(context.Background(), order), &unbound) {
			return false
		}
		order.After = unbound.After
		return true
	})
	return order
}

// isEvacuated reports whether a failure domain is evacuated by the applied state.
func (d *Director) isEvacuated(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Evacuations().Evacuated(domain)
}

// confirmedEvacuation reports whether a failure domain is evacuated according to the first
// confirmed answer that a process gives to an entry which starts.
func (c *cluster) confirmedEvacuation(n *node, domain string) bool {
	c.t.Helper()
	var response messenger.FleetResponse
	c.waitUntil("no confirmed answer", func() bool {
		response = n.director.Sync(context.Background(), messenger.FleetRequest{Process: "entry"})
		return response.Confirmed
	})
	if response.Evacuations == nil {
		return false
	}
	for _, r := range response.Evacuations.FailureDomains {
		if r.FailureDomain == domain {
			return r.Active
		}
	}
	return false
}

// addDiskless starts a control process without a disk.
func (c *cluster) addDiskless() *node {
	l := listen(c.t, "127.0.0.1:0")
	diskless := &node{t: c.t, listener: l, address: l.Addr().String()}
	c.nodes = append(c.nodes, diskless)
	diskless.start(c.seeds, false)
	return diskless
}

// TestConfirmedAnswersHoldAcknowledgedEvacuations guards against an entry that is in
// contact with control and goes on to send to a failure domain, because the process that
// it asks confirms answers before it has the evacuation.
func TestConfirmedAnswersHoldAcknowledgedEvacuations(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	c.addDiskless()
	for _, active := range []bool{true, false, true} {
		for _, ordered := range c.nodes {
			c.evacuate(ordered, "d0", active)
			for _, n := range c.nodes {
				assert.Equal(t, c.confirmedEvacuation(n, "d0"), active)
			}
			c.evacuate(ordered, "d0", !active)
			for _, n := range c.nodes {
				assert.Equal(t, c.confirmedEvacuation(n, "d0"), !active)
			}
		}
	}
}

// TestAnswerIsUnconfirmedUntilTheEvacuationsArrive guards against a process that lags behind
// the leader and confirms an answer without the newest evacuations.
func TestAnswerIsUnconfirmedUntilTheEvacuationsArrive(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.rounds = batcher.New(0, func(context.Context) (messenger.Confirmation, error) {
		return messenger.Confirmation{Confirmed: true, Evacuations: 1}, nil
	})
	response := d.Sync(t.Context(), messenger.FleetRequest{Process: "entry"})
	assert.Assert(t, !response.Confirmed)
	d.applyEvacuation("d0", true)
	response = d.Sync(t.Context(), messenger.FleetRequest{Process: "entry"})
	assert.Assert(t, response.Confirmed)
	assert.Equal(t, response.Evacuations.Revision, 1)
}

// TestEvacuationWakesWaitingEntries guards against entries that learn of an evacuation only
// when their wait for other changes is over.
func TestEvacuationWakesWaitingEntries(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	request := messenger.FleetRequest{Process: "entry", WaitMs: int(maxSyncWait.Milliseconds())}
	for i, active := range []bool{true, false} {
		d.mu.Lock()
		changed := d.fleet.changed
		assert.Assert(t, !d.hasNewEvacuations(request))
		d.mu.Unlock()
		d.applyEvacuation("d0", active)
		select {
		case <-changed:
		default:
			t.Fatal("waiting calls are not woken")
		}
		start := now()
		d.waitForChange(t.Context(), request)
		assert.Assert(t, now()-start < maxSyncWait, "the call waited although there is something new")
		request.Evacuations = i + 1
	}
}

// applyEvacuation applies a committed order.
func (d *Director) applyEvacuation(domain string, active bool) {
	data, _ := json.Marshal(messenger.FleetCommand{Evacuation: &messenger.Evacuation{FailureDomain: domain, Active: active}})
	d.applyEntries([]messenger.Entry{{Kind: replicator.EntryCommand, Data: data}})
}

// TestEvacuationSurvivesTheLossOfADiskAndARestartOfAll guards against requests to a failure
// domain whose evacuation was acknowledged before all processes were killed.
func TestEvacuationSurvivesTheLossOfADiskAndARestartOfAll(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	c.evacuate(leader, "d1", true)
	leader.restart(c.seeds, true)
	assert.Assert(t, c.confirmedEvacuation(c.otherNode(leader), "d1"), "the disk was lost right after the acknowledgement")
	c.waitUntil("the process with an empty disk does not vote", func() bool { return len(c.voters()) == 3 })
	for _, n := range c.nodes {
		n.shutDown()
	}
	for _, n := range c.nodes {
		n.restart(c.seeds, false)
	}
	for _, n := range c.nodes {
		assert.Assert(t, c.confirmedEvacuation(n, "d1"))
	}
}

// TestRestartedProcessWithoutADiskConfirmsNothingOlder guards against a relay that starts
// without state and confirms that there is no evacuation.
func TestRestartedProcessWithoutADiskConfirmsNothingOlder(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	diskless := c.addDiskless()
	c.evacuate(diskless, "d2", true)
	for range 3 {
		diskless.restart(c.seeds, false)
		assert.Assert(t, c.confirmedEvacuation(diskless, "d2"))
	}
}

// TestNextLeaderAcknowledgesAResentOrder has the leader end between the commit of an order
// and its acknowledgement.
func TestNextLeaderAcknowledgesAResentOrder(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	c.declare(first, "7 seven")
	order := messenger.FleetCommand{Evacuation: &messenger.Evacuation{FailureDomain: "d0", Active: true}}
	_, err := first.director.commit(context.Background(), order)
	assert.NilError(t, err)
	first.shutDown()
	c.evacuate(c.otherNode(first), "d0", true)
	for _, n := range c.nodes {
		if n != first {
			assert.Assert(t, c.confirmedEvacuation(n, "d0"))
		}
	}
}

// TestOrderReadLateIsNotCarriedOut guards against the end of an evacuation that a process
// reads late, because the path to it or the process itself stood still, and carries out
// although its caller has repeated it elsewhere, and a newer evacuation was acknowledged: at
// the leader, and where it is forwarded.
func TestOrderReadLateIsNotCarriedOut(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	for _, n := range []*node{leader, c.otherNode(leader)} {
		c.evacuate(leader, "d0", true)
		unbound, bound := messenger.Evacuation{FailureDomain: "d0"}, c.bind(n, "d0", false)
		c.evacuate(leader, "d0", false)
		c.evacuate(leader, "d0", true)
		for _, late := range []messenger.Evacuation{unbound, bound} {
			assert.Assert(t, n.director.Evacuate(context.Background(), late) != nil)
			assert.Assert(t, leader.director.isEvacuated("d0"), "a late order ended the evacuation")
		}
		c.evacuate(n, "d0", false)
		assert.Assert(t, !leader.director.isEvacuated("d0"))
	}
}

// TestRepeatedOrderInvalidatesLateOnes guards against an order in force that is sent again,
// and acknowledged without a trace: a late one to the contrary would be carried out after
// it. The log grows by one entry for each acknowledgement, and by none for an order that is
// not bound, or no longer.
func TestRepeatedOrderInvalidatesLateOnes(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	c.evacuate(leader, "d0", true)
	entries := func() int {
		state, err := leader.director.journal.Load()
		assert.NilError(t, err)
		return len(state.Entries)
	}
	for _, n := range []*node{leader, c.otherNode(leader)} {
		before, records := entries(), len(leader.director.state.Evacuations().Records())
		late := c.bind(n, "d0", false)
		c.evacuate(n, "d0", true)
		for range 5 {
			var unbound *UnboundOrderError
			c.waitUntil("a late order is not sent back", func() bool { return errors.As(n.director.Evacuate(context.Background(), late), &unbound) })
			assert.Assert(t, unbound.After > late.After)
			assert.Assert(t, c.confirmedEvacuation(n, "d0"), "a late order was carried out")
		}
		assert.Equal(t, entries(), before+1)
		assert.Equal(t, len(leader.director.state.Evacuations().Records()), records)
		assert.Equal(t, leader.director.state.Evacuations().Revision(), 1)
	}
}

// TestOrderIsOnlyCarriedOutIfItsStateIsCurrentInTheLog guards against two orders that were
// bound to the same state and are both carried out, since both were checked before either
// was committed, and against an order of an earlier leader's time.
func TestOrderIsOnlyCarriedOutIfItsStateIsCurrentInTheLog(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	c.evacuate(first, "d0", false)
	start, end := c.bind(first, "d0", true), c.bind(first, "d0", false)
	carriedOut, err := first.director.commit(context.Background(), messenger.FleetCommand{Evacuation: &start})
	assert.NilError(t, err)
	assert.Assert(t, carriedOut)
	for _, late := range []messenger.Evacuation{start, end} {
		carriedOut, err = first.director.commit(context.Background(), messenger.FleetCommand{Evacuation: &late})
		assert.NilError(t, err)
		assert.Assert(t, !carriedOut)
	}
	early := c.bind(first, "d1", true)
	first.shutDown()
	next := c.waitForLeader()
	assert.Assert(t, c.confirmedEvacuation(next, "d0"))
	var unbound *UnboundOrderError
	c.waitUntil("a late order is not sent back", func() bool { return errors.As(next.director.Evacuate(context.Background(), end), &unbound) })
	c.waitUntil("an order with a current state is not carried out by the next leader", func() bool { return next.director.Evacuate(context.Background(), early) == nil })
	assert.Assert(t, c.confirmedEvacuation(next, "d1"))
}

// TestOrderThatNamesTheFutureIsNotCarriedOut guards against a forged order that no later one
// would ever invalidate.
func TestOrderThatNamesTheFutureIsNotCarriedOut(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.evacuate(leader, "d0", true)
	order := messenger.Evacuation{FailureDomain: "d0", After: math.MaxInt}
	var unbound *UnboundOrderError
	c.waitUntil("the order is not sent back", func() bool { return errors.As(leader.director.Evacuate(context.Background(), order), &unbound) })
	carriedOut, err := leader.director.commit(context.Background(), messenger.FleetCommand{Evacuation: &order})
	assert.NilError(t, err)
	assert.Assert(t, !carriedOut)
	assert.Assert(t, c.confirmedEvacuation(leader, "d0"))
}

// TestLeaderWithoutAQuorumAcknowledgesNoOrder guards against a leader that was replaced and
// acknowledges a state that a later one has changed.
func TestLeaderWithoutAQuorumAcknowledgesNoOrder(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	c.evacuate(leader, "d0", true)
	for _, n := range c.nodes {
		if n != leader {
			n.shutDown()
		}
	}
	for _, active := range []bool{true, false} {
		assert.Assert(t, errors.Is(leader.order("d0", active), ErrOutcomeUnknown))
	}
}

// TestRacingOrdersLeaveOneState has operators order the opposite at several processes at
// once. All processes then agree, and an order that follows is in force.
func TestRacingOrdersLeaveOneState(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	for i := range 5 {
		var wg sync.WaitGroup
		for j, n := range c.nodes {
			for range 4 {
				wg.Go(func() { _ = n.order("d0", j%2 == 0) })
			}
		}
		wg.Wait()
		state := c.confirmedEvacuation(c.nodes[0], "d0")
		for _, n := range c.nodes {
			assert.Equal(t, c.confirmedEvacuation(n, "d0"), state)
		}
		c.evacuate(c.nodes[i%3], "d0", i%2 == 0)
		assert.Equal(t, c.confirmedEvacuation(c.nodes[(i+1)%3], "d0"), i%2 == 0)
	}
}

// TestUnknownDomainIsNamedWithTheKnownOnes guards against a mistaken name that is sent again
// without end, and against one that is committed.
func TestUnknownDomainIsNamedWithTheKnownOnes(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	for _, n := range []*node{leader, c.otherNode(leader)} {
		for _, domain := range []string{"", "d3", strings.Repeat("x", 1<<16)} {
			var unknown *UnknownDomainError
			c.waitUntil("the order is not refused", func() bool {
				return errors.As(n.order(domain, true), &unknown)
			})
			assert.DeepEqual(t, unknown.Known, []string{"d0", "d1", "d2"})
		}
	}
	assert.Equal(t, leader.director.state.Evacuations().Revision(), 0)
}

// TestDomainsOfEndpointsAreKnownWithoutSettings guards against an order that is refused for
// good because a new leader has not heard the endpoints yet, or because its endpoints are
// gone after it was accepted.
func TestDomainsOfEndpointsAreKnownWithoutSettings(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.leading = true
	answer := d.handleEvacuate(t.Context(), messenger.EvacuationRequest{Evacuation: &messenger.Evacuation{FailureDomain: "d0", Active: true}})
	assert.DeepEqual(t, answer, messenger.EvacuationAnswer{FailureDomains: answer.FailureDomains})
	assert.Assert(t, !answer.Unknown, "the leader has not heard the endpoints yet")
	d.fleet.settled = true
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Endpoint: &messenger.EndpointView{Instance: "a", FailureDomain: "d0"}}})
	d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "b", Born: 1, Address: "b", FailureDomain: "d1"}})
	d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "c", Born: 1, Address: "c", FailureDomain: strings.Repeat("x", maxDomainBytes+1)}})
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Evacuation: &messenger.Evacuation{FailureDomain: "gone", Active: true}}})
	known, certain := d.knownDomains()
	assert.Assert(t, certain)
	assert.DeepEqual(t, known, []string{"d0", "d1", "gone"})
	answer = d.handleEvacuate(t.Context(), messenger.EvacuationRequest{Evacuation: &messenger.Evacuation{FailureDomain: "mars"}})
	assert.Assert(t, answer.Unknown)
	assert.DeepEqual(t, d.handleEvacuate(t.Context(), messenger.EvacuationRequest{}), messenger.EvacuationAnswer{})
}

// TestEndOfAnEvacuationIsRecorded guards against a leader that takes endpoints for warm which
// were idle during an evacuation: it needs the time at which it learned of the revocation,
// also where it did so from a snapshot.
func TestEndOfAnEvacuationIsRecorded(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	ended := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, ok := d.evacuationEndedAt("d0")
		return ok
	}
	apply := func(active bool) { d.applyEvacuation("d0", active) }
	assert.Assert(t, !ended())
	apply(true)
	assert.Assert(t, !ended())
	start := now()
	apply(false)
	assert.Assert(t, ended())
	at, _ := d.evacuationEndedAt("d0")
	assert.Assert(t, at >= start)
	apply(false)
	same, _ := d.evacuationEndedAt("d0")
	assert.Equal(t, same, at, "a repeated revocation ended it anew")
	data, err := d.state.Snapshot()
	assert.NilError(t, err)
	apply(true)
	assert.Assert(t, !ended())
	restarted, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	assert.NilError(t, restarted.restore(messenger.Snapshot{Index: 1, Data: data}))
	_, ok := restarted.evacuationEndedAt("d0")
	assert.Assert(t, ok)
}

// TestVotersTakeEvacuationsFromTheLog guards against answers of the leader to a voter whose
// log lags behind, which would repeat without a wait until it has caught up.
func TestVotersTakeEvacuationsFromTheLog(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.leading = true
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Evacuation: &messenger.Evacuation{FailureDomain: "d0", Active: true}}})
	for quarantine, follows := range map[int]bool{0: false, skipQuarantine: true} {
		request := messenger.FleetRequest{Quarantine: quarantine}
		assert.Equal(t, d.hasNewEvacuations(request), !follows)
		d.mu.Lock()
		assert.Equal(t, d.responseTo(request).Evacuations == nil, follows)
		d.mu.Unlock()
	}
}
