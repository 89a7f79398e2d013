package director

import (
	"context"
	"testing"
	"time"

	"papayaseam/internal/messenger"

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
