package director

import (
	"context"
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// heldAt returns the keys that a process tells a new entry to hold.
func (n *node) heldAt() []string {
	response := n.director.Sync(context.Background(), messenger.FleetRequest{Process: "entry"})
	var held []string
	if response.Quarantine != nil {
		for _, r := range response.Quarantine.Records {
			if r.Crashes >= 3 {
				held = append(held, r.Key)
			}
		}
	}
	return held
}

// TestCrashesSeenByDifferentEntriesAddUpAndSurviveRestarts guards against a request
// that crashes three endpoints for each entry, or again after a restart of control.
func TestCrashesSeenByDifferentEntriesAddUpAndSurviveRestarts(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	l := listen(t, "127.0.0.1:0")
	diskless := &node{t: t, listener: l, address: l.Addr().String()}
	c.nodes = append(c.nodes, diskless)
	diskless.start(c.seeds, false)
	for i, n := range []*node{c.otherNode(leader), diskless, leader} {
		command := messenger.QuarantineCommand{Crashes: []messenger.CrashReport{{Boot: fmt.Sprint("boot", i), Trials: []messenger.CrashTrial{{Key: "deadly", Known: i}, {Key: "popular", Known: i}}}}}
		c.waitUntil("the crash is not committed", func() bool { return n.director.handleQuarantine(context.Background(), command).Accepted })
		survived := messenger.QuarantineCommand{Survived: []string{"popular"}}
		assert.Assert(t, leader.director.handleQuarantine(context.Background(), survived).Accepted)
	}
	for _, n := range c.nodes {
		c.waitUntil("the request is not held", func() bool { return len(n.heldAt()) == 1 && n.heldAt()[0] == "deadly" })
	}
	for _, n := range c.nodes {
		n.shutDown()
	}
	for _, n := range c.nodes[:3] {
		n.restart(c.seeds, false)
	}
	c.waitForLeader()
	for _, n := range c.nodes[:3] {
		c.waitUntil("the request is not held after a restart of all", func() bool { return len(n.heldAt()) == 1 })
	}
}

// TestSurvivalOfUnsuspectedContentIsNotLogged guards against a log that grows with
// every entry that reports the same content.
func TestSurvivalOfUnsuspectedContentIsNotLogged(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	before, err := leader.director.journal.Load()
	assert.NilError(t, err)
	answer := c.otherNode(leader).director.handleQuarantine(context.Background(), messenger.QuarantineCommand{Survived: []string{"popular"}})
	assert.Assert(t, answer.Accepted)
	after, err := leader.director.journal.Load()
	assert.NilError(t, err)
	assert.Equal(t, len(after.Entries), len(before.Entries))
}
