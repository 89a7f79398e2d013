package director

import (
	"context"
	"sync"
	"testing"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// countedEndpoints obey all orders and count them.
type countedEndpoints struct {
	silentEndpoints
	mu     sync.Mutex
	orders int
}

func (e *countedEndpoints) Order(context.Context, messenger.EndpointView, placer.Order, int) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	return true, nil
}

func (e *countedEndpoints) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// order sends one order and returns once it was sent or withheld.
func (d *Director) order(ctx context.Context) {
	d.mu.Lock()
	d.table().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Sequence: 1}})
	d.sendOrder(ctx, placer.Order{Instance: "e1", Born: 5, Op: placer.OpLeave})
	d.mu.Unlock()
	<-d.ended
}

// TestOrdersWaitForAConfirmedLead is a leader that a quorum has not confirmed of
// late: cut off, suspended or replaced, it gives no order, not even one that was
// planned before.
func TestOrdersWaitForAConfirmedLead(t *testing.T) {
	endpoints := &countedEndpoints{}
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, endpoints, quiet())
	assert.NilError(t, err)
	d.leading, d.term, d.authority = true, 3, now()
	d.order(t.Context())
	assert.Equal(t, endpoints.count(), 1)
	d.authority = now() - actWithin
	d.order(t.Context())
	assert.Equal(t, endpoints.count(), 1, "an order without authority")
	d.authority = now()
	d.leading = false
	d.order(t.Context())
	assert.Equal(t, endpoints.count(), 1, "an order of a leader that was replaced")
}

// TestAuthorityEndsBeforeTheNextLeadersFirstOrder is what keeps two leaders'
// orders apart: the quorum that confirmed the one has not yet voted for the other.
func TestAuthorityEndsBeforeTheNextLeadersFirstOrder(t *testing.T) {
	assert.Assert(t, actWithin < settleAfter)
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	d.leading, d.leadSince = true, now()
	d.fleet.inherited = true
	assert.Assert(t, !d.settled())
}

func TestMinorityLeaderLosesItsAuthority(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
	for _, n := range c.nodes {
		if n != leader {
			n.end()
		}
	}
	c.await("it may still act", func() bool {
		leader.director.mu.Lock()
		defer leader.director.mu.Unlock()
		return !leader.director.mayAct()
	})
}

// TestFollowersServeEntries has an entry ask a process that does not lead: the
// answer is confirmed through the leader and holds all of the configuration and
// the view.
func TestFollowersServeEntries(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
	c.declare(leader, "7 seven")
	view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 1}
	_, err := leader.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
	assert.NilError(t, err)
	for _, n := range c.nodes {
		var response messenger.FleetResponse
		c.await("the entry does not hear of the endpoint", func() bool {
			response = n.director.Sync(context.Background(), messenger.FleetRequest{Process: "entry"})
			return response.Confirmed && len(response.Changes.Endpoints) == 1
		})
		assert.Equal(t, response.Version, 7)
		assert.Assert(t, response.Document != "")
		assert.Equal(t, response.Leader, leader.address)
		assert.Assert(t, response.Changes.Whole)
	}
	c.await("the entry is not counted", func() bool {
		leader.director.mu.Lock()
		defer leader.director.mu.Unlock()
		return leader.director.liveEntries() == 1
	})
}

// TestFollowerWithoutALeaderConfirmsNothing is what the lease on keys rests on.
func TestFollowerWithoutALeaderConfirmsNothing(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
	c.declare(leader, "7 seven")
	follower := c.other(leader)
	for _, n := range c.nodes {
		if n != follower {
			n.end()
		}
	}
	response := follower.director.Sync(context.Background(), messenger.FleetRequest{Process: "entry"})
	assert.Assert(t, !response.Confirmed)
	assert.Equal(t, response.Document, "")
	_, err := follower.director.NewestConfiguration(context.Background())
	assert.Assert(t, errors.Is(err, ErrNoLeader))
}

// TestReadAtAFollowerWaitsForTheNewestConfiguration has a follower whose log
// lags behind what the leader confirms.
func TestReadAtAFollowerWaitsForTheNewestConfiguration(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
	for version := 1; version <= 30; version++ {
		document := incompressible(version, 4<<10)
		c.declare(leader, document)
		for _, n := range c.nodes {
			read, err := n.director.NewestConfiguration(context.Background())
			if err == nil {
				assert.Equal(t, read, document)
			}
		}
	}
}

// TestAnnouncementsWithoutNewsGoInADigest has an endpoint announce itself again
// and again to a process that does not lead.
func TestAnnouncementsWithoutNewsGoInADigest(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
	follower := c.other(leader).director
	c.await("not following", func() bool { return follower.confirm(context.Background()) == nil })
	say := func(sequence int, report messenger.EndpointReport) {
		view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: sequence}
		_, err := follower.Announce(context.Background(), messenger.Registration{Endpoint: &view, Report: &report})
		assert.NilError(t, err)
	}
	ready := messenger.EndpointReport{Group: "g", Epoch: 1, State: placer.MemberReady}
	say(1, ready)
	assert.Assert(t, follower.collect(messenger.Registration{
		Endpoint: &messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 2}, Report: &ready,
	}), "it was sent on, though it holds nothing new")
	c.await("the leader has not heard of it", func() bool {
		leader.director.mu.Lock()
		defer leader.director.mu.Unlock()
		e, ok := leader.director.table().Endpoint("e1")
		return ok && e.View.Sequence == 2
	})
	news := ready
	news.State = placer.MemberOpen
	say(3, news)
	leader.director.mu.Lock()
	e, _ := leader.director.table().Endpoint("e1")
	leader.director.mu.Unlock()
	assert.Equal(t, e.Report.State, placer.MemberOpen, "news was kept back")
}

// TestUnknownEndpointAnnouncesItselfInFull has a leader that does not know an
// endpoint which another process takes for known.
func TestUnknownEndpointAnnouncesItselfInFull(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leading = true
	unknown := d.noteDigest(messenger.Digest{Alive: []messenger.Liveness{{Instance: "e1", Born: 5, Sequence: 2}}})
	assert.DeepEqual(t, unknown, []string{"e1"})
}

// TestDigestThatWasNotTakenIsSentAgain keeps demand and signs of life over a
// change of leader.
func TestDigestThatWasNotTakenIsSentAgain(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	d.noteRequest(messenger.FleetRequest{Process: "entry", Demand: []messenger.DemandReport{{Service: "s", Model: "m", WorkMs: 7}}})
	d.collector.alive["e1"] = messenger.Liveness{Instance: "e1", Born: 5, Sequence: 2}
	first := d.takeDigest()
	d.keepDigest(first)
	again := d.takeDigest()
	assert.DeepEqual(t, again.Demand, first.Demand)
	assert.DeepEqual(t, again.Alive, first.Alive)
	assert.Equal(t, len(d.takeDigest().Demand), 0)
}

func TestEndpointsAreSentToAProcessOfTheirOwnDomain(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "10.1.0.1:7", ListenAddress: "10.1.0.1:9", FailureDomain: "ne-a"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	d.leading, d.leader = true, "founder@10.1.0.1:7"
	d.mu.Lock()
	d.noteDigest(messenger.Digest{Control: &messenger.ControlView{Address: "10.1.0.2:7", Home: "10.1.0.2:9", FailureDomain: "ne-a"}})
	d.noteDigest(messenger.Digest{Control: &messenger.ControlView{Address: "10.2.0.2:7", Home: "10.2.0.2:9", FailureDomain: "ne-b"}})
	d.publish()
	d.mu.Unlock()
	for domain, home := range map[string]string{"ne-a": "10.1.0.2:9", "ne-b": "10.2.0.2:9", "ne-c": "leader"} {
		assert.Equal(t, d.homeOf(messenger.EndpointView{Instance: "e1", FailureDomain: domain}, "leader"), home)
	}
}

func TestThatClientsAreServedIsKnownToTheNextLeader(t *testing.T) {
	c := newCore(t)
	first := c.awaitLeader()
	first.director.mu.Lock()
	first.director.noteTraffic(context.Background(), true)
	first.director.mu.Unlock()
	for _, n := range c.nodes {
		c.await("not known", func() bool {
			n.director.mu.Lock()
			defer n.director.mu.Unlock()
			return n.director.state.Traffic()
		})
	}
}

// TestHeartbeatsDoNotWaitBehindEntries fills a peer's queue of entries: votes and
// heartbeats go their own way.
func TestHeartbeatsDoNotWaitBehindEntries(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	peer := "r@127.0.0.1:2"
	for range 2 * peerQueue {
		d.send(ctx, messenger.ReplicaMessage{To: peer, Entries: []messenger.Entry{{Data: []byte("x")}}})
	}
	d.send(ctx, messenger.ReplicaMessage{To: peer})
	assert.Equal(t, len(d.peers), 2)
	for range 2 {
		<-d.ended
	}
}

// TestNewLeaderHearsAllEndpointsBeforeItPlans is a leader after a loss of all of
// control: a group of which it has not heard all members yet is not incomplete.
func TestNewLeaderHearsAllEndpointsBeforeItPlans(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "s", Engine: &describer.Engine{}}, {Name: "plain"}}}
	d.leading, d.leadSince = true, now()-settleAfter
	d.fleet.inherited = true
	table := d.table()
	for _, id := range []string{"e1", "e2"} {
		table.Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: id, Born: 5, Address: id, Service: "s"}})
	}
	table.Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "p", Born: 5, Address: "p", Service: "plain"}})
	assert.Assert(t, !d.settled())
	table.Update(tracker.ReportMsg{Now: now(), ID: "e1", BootTime: 5})
	assert.Assert(t, !d.settled())
	for range placer.MinMisses {
		table.Update(tracker.CallFailedMsg{CalledAt: now(), ID: "e2", BootTime: 5})
	}
	assert.Assert(t, d.settled(), "an endpoint that does not answer holds the plan back")
	d.fleet.settled = false
	table.Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e3", Born: 5, Address: "e3", Service: "s"}})
	assert.Assert(t, !d.settled())
	d.leadSince = now() - settleMost
	assert.Assert(t, d.settled(), "an endpoint that is never heard holds the plan back for good")
}

// TestNewEndpointsHoldNoPlanBack is a scale-out: endpoints come one after the
// other while the leader serves.
func TestNewEndpointsHoldNoPlanBack(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "s", Engine: &describer.Engine{}}}}
	d.leading, d.leadSince = true, now()-settleMost
	d.fleet.lastNew = now() - settleMost
	assert.Assert(t, d.settled())
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Traffic: true}})
	d.table().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e", Born: 5, Address: "e", Service: "s"}})
	assert.Assert(t, d.settled())
}

// TestFirstGroupsWaitForAllEndpoints is the first start: endpoints come one after
// the other, and the larger groups need many.
func TestFirstGroupsWaitForAllEndpoints(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, silentEndpoints{}, quiet())
	assert.NilError(t, err)
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "s", Engine: &describer.Engine{}}}}
	d.leading, d.leadSince = true, now()-settleMost
	d.fleet.lastNew = now() - settleMost
	assert.Assert(t, d.settled())
	d.table().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e", Born: 5, Address: "e", Service: "s"}})
	assert.Assert(t, !d.settled(), "a group of the first endpoints alone")
}
