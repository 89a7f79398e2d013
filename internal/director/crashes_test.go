package director

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// cutEndpoints answers calls for the boots that run, and refuses all while it is cut.
type cutEndpoints struct {
	cut    atomic.Bool
	reborn atomic.Bool // reborn means that each endpoint has started again under its ID.
	asked  atomic.Int64
	ending atomic.Bool // ending means that each endpoint answers once more and then refuses all.
}

func (e *cutEndpoints) Report(_ context.Context, view messenger.EndpointView) (messenger.EndpointReport, int, error) {
	e.asked.Add(1)
	if e.cut.Load() || (e.ending.Load() && e.asked.Load() > 1) {
		return messenger.EndpointReport{}, 0, errors.Mark(errors.New("connection refused"), ErrNotAtAddress)
	}
	if e.reborn.Load() {
		return messenger.EndpointReport{}, view.Born + 1, nil
	}
	return messenger.EndpointReport{}, view.Born, nil
}

func (*cutEndpoints) Order(context.Context, messenger.EndpointView, placer.Order, int) (bool, error) {
	return false, nil
}

// announceWriters makes control know n endpoints of a service with an engine.
func (c *cluster) announceWriters(n int) *node {
	leader := c.waitForLeader()
	d := leader.director
	d.mu.Lock()
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "writers", Engine: &describer.Engine{}}}}
	for i := range n {
		d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{
			Instance: fmt.Sprint("i-", i), Born: 5, Address: fmt.Sprint("127.0.0.1:", i+1), Service: "writers", Sequence: 1,
		}})
	}
	d.mu.Unlock()
	return leader
}

// reportCrash reports that an announced endpoint crashed under one request.
func (c *cluster) reportCrash(leader *node, number, known int) {
	c.t.Helper()
	command := messenger.QuarantineCommand{Crashes: []messenger.CrashReport{{Boot: fmt.Sprintf("i-%d/5", number), Trials: []messenger.CrashTrial{{Key: "popular", Known: known}}}}}
	assert.Assert(c.t, leader.director.handleQuarantine(context.Background(), command).Accepted)
}

// TestRequestIsNotHeldForEndpointsThatAnswer guards against holding a sound request
// whose connections three cuts broke, although its endpoints run on and answer.
func TestRequestIsNotHeldForEndpointsThatAnswer(t *testing.T) {
	c := newClusterWith(t, &cutEndpoints{})
	leader := c.announceWriters(3)
	for i := range 3 {
		c.reportCrash(leader, i, i)
	}
	assert.Equal(t, len(leader.heldAt()), 0)
}

// TestHoldEndsAsItsEndpointsAnswerAgain guards against a sound request that stays held
// after the cuts that refused its connections are over.
func TestHoldEndsAsItsEndpointsAnswerAgain(t *testing.T) {
	endpoints := &cutEndpoints{}
	endpoints.cut.Store(true)
	c := newClusterWith(t, endpoints)
	leader := c.announceWriters(3)
	for i := range 3 {
		c.reportCrash(leader, i, i)
	}
	assert.Equal(t, len(leader.heldAt()), 1)
	endpoints.cut.Store(false)
	for _, n := range c.nodes {
		c.waitUntil("the request is still held", func() bool { return len(n.heldAt()) == 0 })
	}
}

// TestHoldStaysForEndpointsThatStartedAgain guards against releasing a request that
// crashes endpoints because their next boots answer at the same addresses.
func TestHoldStaysForEndpointsThatStartedAgain(t *testing.T) {
	endpoints := &cutEndpoints{}
	endpoints.reborn.Store(true)
	c := newClusterWith(t, endpoints)
	leader := c.announceWriters(3)
	for i := range 3 {
		c.reportCrash(leader, i, i)
	}
	asked := endpoints.asked.Load()
	c.waitUntil("the boots are not asked again", func() bool { return endpoints.asked.Load() >= asked+3 })
	assert.Equal(t, len(leader.heldAt()), 1, "a later boot that answers is taken for the earlier one")
	d := leader.director
	d.mu.Lock()
	for _, e := range d.tracker().Endpoints() {
		later := e.View
		later.Born++
		d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: later})
	}
	d.mu.Unlock()
	c.waitUntil("the crashes are not proved", func() bool { return len(leader.unprovedCrashes()) == 0 })
	assert.Equal(t, len(leader.heldAt()), 1)
}

// unprovedCrashes returns the boots that the leader still asks about.
func (n *node) unprovedCrashes() (boots []string) {
	n.director.mu.Lock()
	defer n.director.mu.Unlock()
	for boot, c := range n.director.crashedBoots {
		if !c.ended {
			boots = append(boots, boot)
		}
	}
	return boots
}

// TestCrashVerdicts guards against announcements that were under way as their sender
// crashed, and against other endpoints, as proofs of what became of a boot.
func TestCrashVerdicts(t *testing.T) {
	crashed := crashedBoot{view: messenger.EndpointView{Instance: "i-1", Born: 5, Address: "a"}, reportedAt: time.Minute}
	late := time.Minute + maxAnnouncementDelay + 1
	for _, c := range []struct {
		name      string
		view      messenger.EndpointView
		lastHeard time.Duration
		want      verdict
	}{
		{"next boot of the endpoint", messenger.EndpointView{Instance: "i-1", Born: 6, Address: "b"}, time.Minute, ended},
		{"later boot at the address", messenger.EndpointView{Instance: "i-2", Born: 6, Address: "a"}, time.Minute, ended},
		{"earlier boot at the address", messenger.EndpointView{Instance: "i-2", Born: 4, Address: "a"}, late, unproved},
		{"another endpoint", messenger.EndpointView{Instance: "i-2", Born: 6, Address: "b"}, late, unproved},
		{"announcement under way", messenger.EndpointView{Instance: "i-1", Born: 5, Address: "a"}, time.Minute + time.Second, unproved},
		{"announcement sent since", messenger.EndpointView{Instance: "i-1", Born: 5, Address: "a"}, late, running},
		{"record of the log", messenger.EndpointView{Instance: "i-1", Born: 5, Address: "a", Sequence: -1}, late, unproved},
	} {
		got := crashed.verdict([]tracker.Endpoint{{View: c.view, LastHeard: c.lastHeard}})
		assert.Equal(t, got, c.want, c.name)
	}
}

// TestAnswerDoesNotWithdrawACrashReportedSince guards against an answer that an endpoint
// gave before it crashed, taken as the proof that it runs on.
func TestAnswerDoesNotWithdrawACrashReportedSince(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.crashedBoots["i-1/5"] = &crashedBoot{reportedAt: time.Second, askedAt: 2 * time.Second}
	assert.Equal(t, len(d.withdrawable([]string{"i-1/5", "i-2/5"})), 1)
	batch, place := d.joinQuarantineBatch(messenger.QuarantineCommand{Crashes: []messenger.CrashReport{{Boot: "i-1/5"}}})
	d.dismissCrashes(t.Context(), batch, place)
	assert.Equal(t, len(d.withdrawable([]string{"i-1/5"})), 0)
}

// TestNewLeaderAsksBootsThatAnEarlierOneCounted guards against a hold that outlives the
// proof because the leader that counted the crashes is gone.
func TestNewLeaderAsksBootsThatAnEarlierOneCounted(t *testing.T) {
	endpoints := &cutEndpoints{}
	endpoints.cut.Store(true)
	c := newClusterWith(t, endpoints)
	leader := c.announceWriters(3)
	for i := range 3 {
		c.reportCrash(leader, i, i)
	}
	assert.Equal(t, len(leader.heldAt()), 1)
	leader.shutDown()
	endpoints.cut.Store(false)
	next := c.announceWriters(3)
	assert.Assert(t, next != leader)
	c.waitUntil("the request is still held", func() bool { return len(next.heldAt()) == 0 })
}

// TestAnnouncementsAreTheProofOnlyWhereNoneCanBeAsked guards against announcements that
// reach the leader long after they were sent, where an answer would be a better proof,
// and against crashes of endpoints without an engine that are never withdrawn.
func TestAnnouncementsAreTheProofOnlyWhereNoneCanBeAsked(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.config = &describer.Configuration{Services: []describer.Service{{Name: "writers", Engine: &describer.Engine{}}, {Name: "desk"}}}
	d.leading, d.term = true, 3
	reported := messenger.QuarantineCommand{}
	for i, service := range []string{"writers", "desk"} {
		view := messenger.EndpointView{Instance: fmt.Sprint("i-", i), Born: 5, Address: fmt.Sprint("127.0.0.1:", i+1), Service: service, Sequence: 1}
		d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: view})
		reported.Crashes = append(reported.Crashes, messenger.CrashReport{Boot: fmt.Sprintf("i-%d/5", i), Trials: []messenger.CrashTrial{{Key: "popular"}}})
	}
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Quarantine: &reported}})
	d.refreshCrashedBoots()
	assert.Equal(t, len(d.settleCrashes()), 0)
	for i := range 2 {
		d.tracker().Update(tracker.HeartbeatMsg{Now: now() + 2*maxAnnouncementDelay, ID: fmt.Sprint("i-", i), BootTime: 5, Sequence: 2})
	}
	assert.DeepEqual(t, d.settleCrashes(), []string{"i-1/5"})
	assert.Equal(t, len(d.bootsToAsk()), 0, "a boot is asked that may still be ending")
	d.crashedBoots["i-0/5"].reportedAt -= endingPeriod
	assert.Equal(t, len(d.bootsToAsk()), 1)
	before := d.crashedBoots["i-1/5"]
	d.term++
	d.refreshCrashedBoots()
	assert.Assert(t, d.crashedBoots["i-1/5"] != before, "the next leadership goes by what an earlier one saw")
	d.leading = false
	d.refreshCrashedBoots()
	assert.Equal(t, len(d.crashedBoots), 0)
}

// TestEndpointThatAnswersAsItEndsIsCounted guards against a process that has closed its
// listener under a request and still answers control for a moment.
func TestEndpointThatAnswersAsItEndsIsCounted(t *testing.T) {
	endpoints := &cutEndpoints{}
	endpoints.ending.Store(true)
	c := newClusterWith(t, endpoints)
	leader := c.announceWriters(1)
	c.reportCrash(leader, 0, 0)
	assert.Equal(t, leader.crashesOf("popular"), 0)
	c.waitUntil("the crash is not counted", func() bool { return leader.crashesOf("popular") == 1 })
}

// crashesOf returns the crashes that count under a key.
func (n *node) crashesOf(key string) int {
	n.director.mu.Lock()
	defer n.director.mu.Unlock()
	return n.director.state.Quarantine().Crashes(key)
}
