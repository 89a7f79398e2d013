package director

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// backdate sets when a process learned of the last order on a failure domain.
func (n *node) backdate(domain string, age time.Duration) {
	n.director.mu.Lock()
	defer n.director.mu.Unlock()
	change := n.director.evacuationChanges[domain]
	change.at = now() - age
	n.director.evacuationChanges[domain] = change
}

// TestEndpointsOfAnEvacuatedDomainStayColdUntilTheyAnnounceAgain guards against full load on
// endpoints that became cold while nothing was sent to them, also where their unchanged
// announcements go with digests.
func TestEndpointsOfAnEvacuatedDomainStayColdUntilTheyAnnounceAgain(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "1 cold")
	follower := c.otherNode(leader)
	endpoint := &deskEndpoint{}
	endpoint.announce(c, follower, 0)
	c.waitCold(leader, false)
	c.evacuate(leader, "d0", true)
	time.Sleep(3 * planInterval)
	_, cold := seenCold(leader)
	assert.Assert(t, !cold, "the limit of cold endpoints cuts the phase-out short")
	leader.backdate("d0", drainedAfter)
	c.waitCold(follower, true)
	endpoint.announce(c, follower, 0)
	c.evacuate(leader, "d0", false)
	time.Sleep(3 * planInterval)
	_, cold = seenCold(leader)
	assert.Assert(t, cold, "the announcement was made before the endpoints could be reached again")
	c.waitUntil("the endpoint stays cold although it announces that it is warm", func() bool {
		endpoint.announce(c, follower, 0)
		_, cold := seenCold(follower)
		return !cold
	})
}

// TestNextLeaderActsOnARevocationBeforeIt guards against full load on endpoints that became
// cold during an evacuation whose revocation the last leader committed but did not act on.
func TestNextLeaderActsOnARevocationBeforeIt(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	c.declare(first, "1 cold")
	endpoint := &deskEndpoint{}
	endpoint.announce(c, first, 0)
	for _, n := range c.nodes {
		c.waitCold(n, false)
	}
	c.evacuate(first, "d0", true)
	c.evacuate(first, "d0", false)
	warm := func(n *node) func() bool {
		return func() bool {
			endpoint.announce(c, n, 0)
			_, cold := seenCold(n)
			return !cold
		}
	}
	c.waitCold(first, true)
	c.waitUntil("the endpoint stays cold although it announces that it is warm", warm(first))
	for _, n := range c.nodes {
		c.waitCold(n, false)
		n.backdate("d0", 0)
	}
	first.shutDown()
	second := c.waitForLeader()
	c.waitCold(second, true)
	c.waitUntil("the endpoint stays cold for the next leader", warm(second))
}
