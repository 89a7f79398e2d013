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

// countingEndpoints accepts and counts all orders.
type countingEndpoints struct {
	unresponsiveEndpoints
	mu     sync.Mutex
	orders int
}

func (e *countingEndpoints) Order(context.Context, messenger.EndpointView, placer.Order, int) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	return true, nil
}

func (e *countingEndpoints) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// sendTestOrder sends one order and returns once it was sent or withheld.
func (d *Director) sendTestOrder(ctx context.Context) {
	d.mu.Lock()
	d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Sequence: 1}})
	d.sendOrder(ctx, placer.Order{Instance: "e1", BootTime: 5, Op: placer.OpLeave})
	d.mu.Unlock()
	<-d.exited
}

// TestOrdersAreWithheldWithoutLease guards against orders of a leader that no quorum
// confirmed recently because it was partitioned, suspended or replaced. Orders that
// were planned before are withheld too.
func TestOrdersAreWithheldWithoutLease(t *testing.T) {
	endpoints := &countingEndpoints{}
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, endpoints, discardLogger())
	assert.NilError(t, err)
	d.leading, d.term, d.confirmedAt = true, 3, now()
	d.sendTestOrder(t.Context())
	assert.Equal(t, endpoints.count(), 1)
	d.confirmedAt = now() - leaseDuration
	d.sendTestOrder(t.Context())
	assert.Equal(t, endpoints.count(), 1, "an order was sent without a lease")
	d.confirmedAt = now()
	d.leading = false
	d.sendTestOrder(t.Context())
	assert.Equal(t, endpoints.count(), 1, "a replaced leader sent an order")
}

// TestLeaseEndsBeforeNextLeadersFirstOrder guards against orders of two leaders at the
// same time: a lease must end before a new leader, elected after the round that
// granted it, has settled.
func TestLeaseEndsBeforeNextLeadersFirstOrder(t *testing.T) {
	assert.Assert(t, leaseDuration < minSettleTime)
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.leading, d.leaderSince = true, now()
	d.fleet.inherited = true
	assert.Assert(t, !d.settled())
}

// TestMinorityLeaderLosesLease guards against a leader that keeps acting after it
// has lost its quorum.
func TestMinorityLeaderLosesLease(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	for _, n := range c.nodes {
		if n != leader {
			n.shutDown()
		}
	}
	c.waitUntil("the leader still holds its lease", func() bool {
		leader.director.mu.Lock()
		defer leader.director.mu.Unlock()
		return !leader.director.mayAct()
	})
}

// TestFollowersServeEntries guards against followers whose sync responses are
// unconfirmed or incomplete: an entry gets the same from every process.
func TestFollowersServeEntries(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 1}
	_, err := leader.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
	assert.NilError(t, err)
	for _, n := range c.nodes {
		var response messenger.FleetResponse
		c.waitUntil("the sync response lacks the endpoint", func() bool {
			response = n.director.Sync(context.Background(), messenger.FleetRequest{Process: "entry"})
			return response.Confirmed && len(response.Changes.Endpoints) == 1
		})
		assert.Equal(t, response.Version, 7)
		assert.Assert(t, response.Document != "")
		assert.Equal(t, response.Leader, leader.address)
		assert.Assert(t, response.Changes.Whole)
	}
	c.waitUntil("the leader does not count the entry", func() bool {
		leader.director.mu.Lock()
		defer leader.director.mu.Unlock()
		return leader.director.liveEntries() == 1
	})
}

// TestFollowerWithoutLeaderConfirmsNothing guards against a follower that confirms
// syncs without a leader; the entries' lease on API keys depends on it.
func TestFollowerWithoutLeaderConfirmsNothing(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	follower := c.otherNode(leader)
	for _, n := range c.nodes {
		if n != follower {
			n.shutDown()
		}
	}
	response := follower.director.Sync(context.Background(), messenger.FleetRequest{Process: "entry"})
	assert.Assert(t, !response.Confirmed)
	assert.Equal(t, response.Document, "")
	_, err := follower.director.NewestConfiguration(context.Background())
	assert.Assert(t, errors.Is(err, ErrNoLeader))
}

// TestFollowerReadReturnsNewestConfiguration guards against a follower that returns an
// older configuration while its log lags behind what the leader has confirmed.
func TestFollowerReadReturnsNewestConfiguration(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
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

// TestUnchangedAnnouncementsAreSentInDigest guards against a follower that forwards
// each unchanged announcement on its own, or that holds back a changed one.
func TestUnchangedAnnouncementsAreSentInDigest(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	follower := c.otherNode(leader).director
	c.waitUntil("the follower has no confirmed leader", func() bool { return follower.confirm(context.Background()) == nil })
	announce := func(sequence int, report messenger.EndpointReport) {
		view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: sequence}
		_, err := follower.Announce(context.Background(), messenger.Registration{Endpoint: &view, Report: &report})
		assert.NilError(t, err)
	}
	ready := messenger.EndpointReport{Group: "g", Epoch: 1, State: placer.MemberReady}
	announce(1, ready)
	assert.Assert(t, follower.deferToDigest(messenger.Registration{
		Endpoint: &messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 2}, Report: &ready,
	}), "an unchanged announcement was forwarded")
	c.waitUntil("the leader did not receive the heartbeat", func() bool {
		leader.director.mu.Lock()
		defer leader.director.mu.Unlock()
		e, ok := leader.director.tracker().Endpoint("e1")
		return ok && e.View.Sequence == 2
	})
	changed := ready
	changed.State = placer.MemberOpen
	announce(3, changed)
	leader.director.mu.Lock()
	e, _ := leader.director.tracker().Endpoint("e1")
	leader.director.mu.Unlock()
	assert.Equal(t, e.Report.State, placer.MemberOpen, "a changed announcement was held back")
}

// TestLeaderReportsUnknownEndpointsInDigest guards against an endpoint that a new
// leader never learns of because a follower keeps deferring its announcements.
func TestLeaderReportsUnknownEndpointsInDigest(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leading = true
	unknown := d.applyDigest(messenger.Digest{Alive: []messenger.Liveness{{Instance: "e1", Born: 5, Sequence: 2}}})
	assert.DeepEqual(t, unknown, []string{"e1"})
}

// TestUndeliveredDigestIsResent guards against the loss of demand and liveness at a
// change of leader.
func TestUndeliveredDigestIsResent(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.recordEntryRequest(messenger.FleetRequest{Process: "entry", Demand: []messenger.DemandReport{{Service: "s", Model: "m", WorkMs: 7}}})
	d.collector.alive["e1"] = messenger.Liveness{Instance: "e1", Born: 5, Sequence: 2}
	first := d.drainDigest()
	d.requeueDigest(first)
	second := d.drainDigest()
	assert.DeepEqual(t, second.Demand, first.Demand)
	assert.DeepEqual(t, second.Alive, first.Alive)
	assert.Equal(t, len(d.drainDigest().Demand), 0)
}

// TestEndpointsAnnounceToFollowerInOwnFailureDomain guards against endpoints that send
// all announcements to the leader.
func TestEndpointsAnnounceToFollowerInOwnFailureDomain(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "10.1.0.1:7", ListenAddress: "10.1.0.1:9", FailureDomain: "ne-a"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.leading, d.leader = true, "founder@10.1.0.1:7"
	d.mu.Lock()
	d.applyDigest(messenger.Digest{Control: &messenger.ControlView{Address: "10.1.0.2:7", Home: "10.1.0.2:9", FailureDomain: "ne-a"}})
	d.applyDigest(messenger.Digest{Control: &messenger.ControlView{Address: "10.2.0.2:7", Home: "10.2.0.2:9", FailureDomain: "ne-b"}})
	d.publish()
	d.mu.Unlock()
	for domain, home := range map[string]string{"ne-a": "10.1.0.2:9", "ne-b": "10.2.0.2:9", "ne-c": "leader"} {
		assert.Equal(t, d.announceAddress(messenger.EndpointView{Instance: "e1", FailureDomain: domain}, "leader"), home)
	}
}

// TestFirstTrafficIsReplicated guards against a new leader that forgets that clients
// are served.
func TestFirstTrafficIsReplicated(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	first.director.mu.Lock()
	first.director.commitTraffic(context.Background(), true)
	first.director.mu.Unlock()
	for _, n := range c.nodes {
		c.waitUntil("the traffic is not recorded", func() bool {
			n.director.mu.Lock()
			defer n.director.mu.Unlock()
			return n.director.state.HasServedTraffic()
		})
	}
}

// TestHeartbeatsDoNotQueueBehindEntries guards against votes and heartbeats that are
// delayed or dropped because the peer's queue is full of log entries.
func TestHeartbeatsDoNotQueueBehindEntries(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	peer := "r@127.0.0.1:2"
	for range 2 * peerQueueCapacity {
		d.send(ctx, messenger.ReplicaMessage{To: peer, Entries: []messenger.Entry{{Data: []byte("x")}}})
	}
	d.send(ctx, messenger.ReplicaMessage{To: peer})
	assert.Equal(t, len(d.peerQueues), 2)
	for range 2 {
		<-d.exited
	}
}

// TestNewLeaderReadsAllEndpointsBeforePlanning guards against a leader that, after a
// restart of all control processes, takes a group for incomplete because it has not
// read all its members yet.
func TestNewLeaderReadsAllEndpointsBeforePlanning(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "s", Engine: &describer.Engine{}}, {Name: "plain"}}}
	d.leading, d.leaderSince = true, now()-minSettleTime
	d.fleet.inherited = true
	table := d.tracker()
	for _, id := range []string{"e1", "e2"} {
		table.Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: id, Born: 5, Address: id, Service: "s"}})
	}
	table.Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "p", Born: 5, Address: "p", Service: "plain"}})
	assert.Assert(t, !d.settled())
	table.Update(tracker.ReportMsg{Now: now(), ID: "e1", BootTime: 5})
	assert.Assert(t, !d.settled())
	for range placer.MinFailedCalls {
		table.Update(tracker.CallFailedMsg{CalledAt: now(), ID: "e2", BootTime: 5})
	}
	assert.Assert(t, d.settled(), "an unresponsive endpoint delays the plan")
	d.fleet.settled = false
	table.Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e3", Born: 5, Address: "e3", Service: "s"}})
	assert.Assert(t, !d.settled())
	d.leaderSince = now() - maxSettleTime
	assert.Assert(t, d.settled(), "an endpoint that never reports delays the plan forever")
}

// TestNewEndpointsDoNotDelayPlanning guards against a scale-out, in which endpoints
// appear one after another, that stops planning while clients are served.
func TestNewEndpointsDoNotDelayPlanning(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "s", Engine: &describer.Engine{}}}}
	d.leading, d.leaderSince = true, now()-maxSettleTime
	d.fleet.lastNewEndpointAt = now() - maxSettleTime
	assert.Assert(t, d.settled())
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Traffic: true}})
	d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e", Born: 5, Address: "e", Service: "s"}})
	assert.Assert(t, d.settled())
}

// TestFirstPlanWaitsForAllEndpoints guards against groups formed from only the first
// endpoints at the first start, in which endpoints appear one after another and large
// groups need many of them.
func TestFirstPlanWaitsForAllEndpoints(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "s", Engine: &describer.Engine{}}}}
	d.leading, d.leaderSince = true, now()-maxSettleTime
	d.fleet.lastNewEndpointAt = now() - maxSettleTime
	assert.Assert(t, d.settled())
	d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e", Born: 5, Address: "e", Service: "s"}})
	assert.Assert(t, !d.settled(), "a plan was made while endpoints were still appearing")
}

// TestAnnouncementWithoutEndpointIsRejected guards against a call that ends in a panic
// at the leader.
func TestAnnouncementWithoutEndpointIsRejected(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	for _, n := range c.nodes {
		answer := n.director.handleAnnounce(context.Background(), messenger.Registration{})
		assert.Assert(t, !answer.Taken && answer.Message != "")
	}
	assert.Assert(t, c.leader() == leader)
}
