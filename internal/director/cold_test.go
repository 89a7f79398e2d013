package director

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// deskEndpoint announces itself as an endpoint of the service whose cold ones are limited.
type deskEndpoint struct{ sequence int }

// announce sends an announcement until it is accepted. Without a time it says nothing of
// being cold.
func (e *deskEndpoint) announce(c *cluster, n *node, coldMs ...int) {
	c.t.Helper()
	c.waitUntil("the announcement is not accepted", func() bool {
		e.sequence++
		r := messenger.Registration{Endpoint: &messenger.EndpointView{Instance: "i-1", Born: 5, Sequence: e.sequence, Address: "127.0.0.1:1", Service: "desk", FailureDomain: "d0"}}
		if len(coldMs) > 0 {
			r.Cold = &messenger.ColdReport{RemainingMs: coldMs[0]}
			r.Endpoint.Cold = coldMs[0] > 0
		}
		_, err := n.director.Announce(context.Background(), r)
		return err == nil
	})
}

// seenCold reports whether the view of a process has the endpoint, and whether as cold.
func seenCold(n *node) (known, cold bool) {
	n.director.mu.Lock()
	defer n.director.mu.Unlock()
	for _, view := range n.director.fleet.viewer.Endpoints() {
		if view.Instance == "i-1" {
			return true, view.Cold
		}
	}
	return false, false
}

func (c *cluster) waitCold(n *node, want bool) {
	c.t.Helper()
	c.waitUntil("the endpoint's cold state does not reach the process", func() bool {
		known, cold := seenCold(n)
		return known && cold == want
	})
}

// syncAs asks a process for news as an entry with demand for the service.
func syncAs(n *node, entry string) messenger.FleetResponse {
	return n.director.Sync(context.Background(), messenger.FleetRequest{Process: entry, Demand: []messenger.DemandReport{{Service: "desk", WorkMs: 3}}})
}

// shareSum returns the sum of the shares that entries of several processes get.
func shareSum(responses ...messenger.FleetResponse) float64 {
	sum := 0.0
	for _, response := range responses {
		for _, share := range response.Shares {
			sum += share.Share
		}
	}
	return sum
}

// TestColdEndpointIsToldAndItsRateIsShared guards against a cold endpoint that entries take
// for warm, and against entries of other control processes that get no share of its rate,
// or more than is left.
func TestColdEndpointIsToldAndItsRateIsShared(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "1 cold")
	follower := c.otherNode(leader)
	endpoint := &deskEndpoint{}
	endpoint.announce(c, follower, 0)
	c.waitCold(follower, false)
	assert.Equal(t, shareSum(syncAs(leader, "e1"), syncAs(follower, "e2")), 0.0)
	endpoint.announce(c, follower, 60_000)
	c.waitCold(follower, true)
	c.waitUntil("the entries do not share the whole rate", func() bool {
		sum := shareSum(syncAs(leader, "e1"), syncAs(follower, "e2"))
		assert.Assert(t, sum <= 1.000001, "%g", sum)
		return sum > 0.999
	})
	response := syncAs(follower, "e2")
	assert.Equal(t, len(response.Shares), 1)
	share := response.Shares[0]
	assert.Equal(t, share.Entry+share.Service+share.FailureDomain, "deskd0")
	endpoint.announce(c, follower, 0)
	c.waitCold(leader, false)
	c.waitUntil("shares are given out although no endpoint is cold", func() bool {
		return len(syncAs(leader, "e1").Shares)+len(syncAs(follower, "e2").Shares) == 0
	})
}

// TestReportedColdTimeEndsByItself guards against an endpoint that stays cold until its
// next announcement.
func TestReportedColdTimeEndsByItself(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "1 cold")
	endpoint := &deskEndpoint{}
	endpoint.announce(c, leader, 900)
	c.waitCold(c.otherNode(leader), true)
	c.waitCold(c.otherNode(leader), false)
}

// TestColdEndpointStaysColdForTheNextLeader guards against a new leader that takes an
// endpoint for warm before it has heard from it, or grants shares while those of the
// leader before may be in use.
func TestColdEndpointStaysColdForTheNextLeader(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	c.declare(first, "1 cold")
	endpoint := &deskEndpoint{}
	endpoint.announce(c, first, 60_000)
	for _, n := range c.nodes {
		c.waitCold(n, true)
	}
	c.waitUntil("the entry gets no share", func() bool { return shareSum(syncAs(first, "e1")) > 0 })
	first.shutDown()
	second := c.waitForLeader()
	second.director.mu.Lock()
	since := second.director.leaderSince
	second.director.mu.Unlock()
	c.waitUntil("the entry gets no share from the next leader", func() bool {
		sum, at := shareSum(syncAs(second, "e1")), now()
		assert.Assert(t, sum == 0 || at-since >= time.Second, "a share after %v", at-since)
		return sum > 0
	})
	_, cold := seenCold(second)
	assert.Assert(t, cold)
	endpoint.announce(c, second, 0)
	c.waitCold(second, false)
}

// TestDigestOfAnEndpointThatMayBeColdIsAnsweredWithAQuestion guards against endpoints that
// say nothing of being cold, and whose announcements all go with digests: they would count
// as cold for good.
func TestDigestOfAnEndpointThatMayBeColdIsAnsweredWithAQuestion(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "1 cold")
	follower := c.otherNode(leader)
	endpoint := &deskEndpoint{}
	endpoint.announce(c, follower)
	c.waitCold(leader, false)
	c.evacuate(leader, "d0", true)
	c.evacuate(leader, "d0", false)
	c.waitCold(follower, true)
	begun := now()
	c.waitUntil("the endpoint stays cold", func() bool {
		endpoint.announce(c, follower)
		_, cold := seenCold(follower)
		return !cold
	})
	assert.Assert(t, now()-begun > 2*time.Second, "it may have become cold for the declared time")
}

// TestNothingOfColdEndpointsIsSentWithoutADeclaredRate guards against messages and views
// that change for deployments whose services limit no cold endpoints.
func TestNothingOfColdEndpointsIsSentWithoutADeclaredRate(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "1 other")
	follower := c.otherNode(leader)
	c.waitUntil("the configuration does not reach the process", func() bool {
		follower.director.mu.Lock()
		defer follower.director.mu.Unlock()
		return follower.director.config != nil
	})
	endpoint := &deskEndpoint{}
	endpoint.announce(c, follower, 60_000)
	c.waitCold(follower, false)
	response := syncAs(follower, "e2")
	follower.director.mu.Lock()
	registration := follower.director.collector.accepted["i-1"]
	digest := messenger.Digest{EntryDemand: follower.director.entryDemand()}
	follower.director.mu.Unlock()
	leader.director.mu.Lock()
	confirmation := messenger.Confirmation{}
	confirmation.Shares, confirmation.Sharing = leader.director.grantShares(messenger.Digest{Entries: []string{"e2"}})
	leader.director.mu.Unlock()
	assert.Assert(t, !registration.view.Cold)
	for _, message := range []any{response, digest, confirmation} {
		data, err := json.Marshal(message)
		assert.NilError(t, err)
		for _, word := range []string{"cold", "share", "sharing", "entry-demand"} {
			assert.Assert(t, !strings.Contains(string(data), word), "%s: %s", word, data)
		}
	}
}

// TestColdAnnouncementsAreNotDeferred guards against an endpoint that becomes cold for
// longer than the leader knows, while its announcements go with digests.
func TestColdAnnouncementsAreNotDeferred(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "1 cold")
	follower := c.otherNode(leader)
	endpoint := &deskEndpoint{}
	for _, remaining := range []int{500, 60_000} {
		endpoint.announce(c, follower, remaining)
	}
	time.Sleep(time.Second)
	leader.director.mu.Lock()
	defer leader.director.mu.Unlock()
	e, ok := leader.director.tracker().Endpoint("i-1")
	assert.Assert(t, ok && e.Cold(now()))
}

// TestPlainDemandFormsNoGroups guards against a placer that takes requests to services
// without groups for work of a model.
func TestPlainDemandFormsNoGroups(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "1 cold")
	syncAs(leader, "e1")
	syncAs(c.otherNode(leader), "e2")
	time.Sleep(2 * idleRoundInterval)
	leader.director.mu.Lock()
	defer leader.director.mu.Unlock()
	assert.Equal(t, len(leader.director.fleet.demand.work), 0)
	assert.Assert(t, leader.director.fleet.cold.demand, "clients are served")
}
