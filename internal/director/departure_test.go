package director

import (
	"context"
	"testing"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/viewer"

	"gotest.tools/v3/assert"
)

// isLeaving reports whether the process has the endpoint in its table and knows that it
// leaves.
func (n *node) isLeaving(id string) bool {
	n.director.mu.Lock()
	defer n.director.mu.Unlock()
	e, ok := n.director.tracker().Endpoint(id)
	return ok && e.View.Leaving
}

// sees reports whether the endpoint stands in the view that the process serves to entries.
func (n *node) sees(id string, leaving bool) bool {
	n.director.mu.Lock()
	defer n.director.mu.Unlock()
	for _, view := range n.director.fleet.viewer.Endpoints() {
		if view.Instance == id {
			return view.Leaving == leaving
		}
	}
	return false
}

// TestNextLeaderKnowsUnpublishedDeparture guards against a departure that was acknowledged
// right before the leader ended: the next one starts from a view without it, and the
// endpoint, which has said its last word, would get requests until it exits.
func TestNextLeaderKnowsUnpublishedDeparture(t *testing.T) {
	for _, gone := range []bool{true, false} {
		c := newCluster(t)
		first := c.waitForLeader()
		c.declare(first, "7 seven")
		view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 1}
		_, err := first.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
		assert.NilError(t, err)
		c.waitUntil("the view lacks the endpoint", func() bool {
			return c.nodes[0].sees("e1", false) && c.nodes[1].sees("e1", false) && c.nodes[2].sees("e1", false)
		})
		// Without a configuration, the leader plans and publishes nothing more.
		first.director.mu.Lock()
		first.director.config = nil
		first.director.mu.Unlock()
		leaving := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 2, Leaving: !gone}
		_, err = first.director.Announce(context.Background(), messenger.Registration{Endpoint: &leaving, Gone: gone})
		assert.NilError(t, err)
		assert.Assert(t, !first.sees("e1", true), "the departure was published")
		first.shutDown()
		c.waitUntil("the next leader takes the endpoint for ready", func() bool {
			next := c.leader()
			return next != nil && next.isLeaving("e1") && next.sees("e1", true)
		})
	}
}

// TestEndpointRecordedAfterItsDepartureStaysLeaving guards against a record of an endpoint
// that follows its departure in the log and makes it ready again.
func TestEndpointRecordedAfterItsDepartureStaysLeaving(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.leading = true
	view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:2", Service: "s"}
	departure := messenger.FleetCommand{Departure: &messenger.Departure{Instance: "e1", Born: 5}}
	for _, command := range []messenger.FleetCommand{departure, {Endpoint: &view}} {
		d.state.Update(cataloguer.CommandMsg{Command: command})
		d.trackCommitted(command)
	}
	e, ok := d.tracker().Endpoint("e1")
	assert.Assert(t, ok && e.View.Leaving)
}

// TestLaterBootOfADepartedEndpointIsReady guards against a departure that also holds for the
// next boot under the same identity.
func TestLaterBootOfADepartedEndpointIsReady(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Departure: &messenger.Departure{Instance: "e1", Born: 5}}})
	d.fleet.viewer.Update(viewer.PublishMsg{Term: 1, Endpoints: []messenger.EndpointView{{Instance: "e1", Born: 6, Address: "127.0.0.1:2"}}})
	d.startLeadership()
	e, ok := d.tracker().Endpoint("e1")
	assert.Assert(t, ok && !e.View.Leaving)
}
