package director

import (
	"context"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// TestDisklessSeedsFindTheLeader guards against entries that are never served after a
// restart of all processes whose seeds were replaced by processes without a disk:
// the seeds know only each other, and entries know only the seeds. (Found by RECOVER
// on trouble-3 of the clock-lending site, seed 412010263778.)
func TestDisklessSeedsFindTheLeader(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	l := listen(t, "127.0.0.1:0")
	seed := &node{t: t, listener: l, address: l.Addr().String()}
	for _, n := range c.nodes {
		n.director.SetSeeds([]string{seed.address})
	}
	c.nodes = append(c.nodes, seed)
	seed.start([]string{seed.address}, false)
	var response messenger.FleetResponse
	c.waitUntil("entries that know only the seed are not served", func() bool {
		response = seed.director.Sync(context.Background(), messenger.FleetRequest{Process: "entry"})
		return response.Confirmed
	})
	assert.Equal(t, response.Version, 7)
	assert.Assert(t, response.Document != "")
}
