package director

import (
	"context"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// freeze makes a process find that it stood still.
func (d *Director) freeze(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.standstill.beatAt -= duration
}

// TestStandstillIsNoticedAtOnceAndForAWhile guards against calls that are read before the first
// beat after a standstill, or some time after it, and count as new.
func TestStandstillIsNoticedAtOnceAndForAWhile(t *testing.T) {
	s := &standstill{}
	assert.Assert(t, !s.maybeLate(time.Hour), "a process that has just begun")
	s.beat(time.Second)
	assert.Assert(t, !s.maybeLate(time.Second+maxStandstill))
	assert.Assert(t, s.maybeLate(time.Second+maxStandstill+1), "before the next beat")
	s.beat(4 * time.Second)
	assert.Assert(t, s.maybeLate(4*time.Second+lateReadPeriod-1))
	s.beat(4*time.Second + beatInterval)
	assert.Assert(t, s.maybeLate(4*time.Second+lateReadPeriod-1))
	s.beat(4*time.Second + 2*beatInterval)
	for at := 4*time.Second + 3*beatInterval; at <= 4*time.Second+lateReadPeriod; at += beatInterval {
		s.beat(at)
	}
	assert.Assert(t, !s.maybeLate(4*time.Second+lateReadPeriod), "for good")
}

// TestOrderReadAfterAStandstillIsNotCarriedOut guards against an order to end an evacuation that
// a process reads as it wakes, and carries out although a newer evacuation was acknowledged: at
// the leader, and where it is forwarded.
func TestOrderReadAfterAStandstillIsNotCarriedOut(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	for _, n := range []*node{leader, c.otherNode(leader)} {
		c.waitUntil("the evacuation is not accepted", func() bool { return n.director.Evacuate(context.Background(), "d0", true) == nil })
		n.director.freeze(2 * time.Second)
		err := n.director.Evacuate(context.Background(), "d0", false)
		assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
		assert.Assert(t, leader.director.isEvacuated("d0"), "a late order ended the evacuation")
		c.waitUntil("orders are refused for good", func() bool { return n.director.Evacuate(context.Background(), "d0", false) == nil })
		assert.Assert(t, !leader.director.isEvacuated("d0"))
	}
}

// TestDepartureReadAfterAStandstillIsNotTaken guards against the departure of an earlier boot,
// which names none, that is read late and ends the use of the next boot under the same id.
func TestDepartureReadAfterAStandstillIsNotTaken(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 1}
	c.waitUntil("the endpoint is not registered", func() bool {
		_, err := leader.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
		return err == nil
	})
	departure := messenger.Registration{Endpoint: &messenger.EndpointView{Instance: "e1"}, Gone: true}
	leader.director.freeze(2 * time.Second)
	_, err := leader.director.Announce(context.Background(), departure)
	assert.Assert(t, err != nil, "a departure that may be late is acknowledged")
	c.waitUntil("departures are refused for good", func() bool {
		_, err := leader.director.Announce(context.Background(), departure)
		return err == nil
	})
}
