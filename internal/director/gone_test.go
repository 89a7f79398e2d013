package director

import (
	"slices"
	"testing"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// newSpareLeader returns a process, not running, that leads four voters of which three are
// needed and has heard from all.
func newSpareLeader(t *testing.T) *Director {
	d, err := New(Config{Name: "c", Address: "1", DataFolder: t.TempDir(), ToleratedLosses: 1}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = d.journal.Close() })
	d.identity, d.leading, d.leader = "a@1", true, "a@1"
	d.applicants.Update(enroller.LeadershipMsg{Leading: true})
	d.voters = []string{"a@1", "b@2", "c@3", "d@4"}
	d.attendance.Update(enroller.LeadMsg{Now: now()})
	for _, voter := range d.voters {
		d.attendance.Update(enroller.HeardMsg{Now: now(), Replica: voter})
	}
	return d
}

var errRefused = errors.Mark(errors.Mark(errors.New("dial"), transporter.ErrUnreachable), transporter.ErrRefused)

// TestOnlyARefusedConnectionShowsAVoterToBeGone guards against a spare voter that is removed
// for a lost packet, and against one whose end starts no membership change.
func TestOnlyARefusedConnectionShowsAVoterToBeGone(t *testing.T) {
	d := newSpareLeader(t)
	d.noteFailure("c@3", errors.Mark(errors.New("timeout"), transporter.ErrUnreachable))
	d.noteFailure("c@3", nil)
	_, due := enroller.NextChange(d.membership())
	assert.Assert(t, !due)
	assert.Equal(t, len(d.voteTrigger), 0)
	d.noteFailure("c@3", errRefused)
	change, due := enroller.NextChange(d.membership())
	assert.Assert(t, due)
	assert.Equal(t, change, enroller.Change{Remove: "c@3"})
	assert.Equal(t, len(d.voteTrigger), 1)
}

// TestRefusingLeaderIsSuspected guards against followers that wait for the election timeout
// although the process of the leader has ended.
func TestRefusingLeaderIsSuspected(t *testing.T) {
	d := newSpareLeader(t)
	d.leading, d.leader = false, "b@2"
	d.noteFailure("c@3", errRefused)
	assert.Equal(t, len(d.inbox), 0)
	d.noteFailure("b@2", errRefused)
	assert.DeepEqual(t, <-d.inbox, replicator.LeaderSuspectedMsg{Leader: "b@2"})
}

// TestRemovedSpareVoterWaitsToJoin guards against a membership change every 200 ms for a
// process that comes and goes.
func TestRemovedSpareVoterWaitsToJoin(t *testing.T) {
	d := newSpareLeader(t)
	d.attendance.Update(enroller.GivenUpMsg{Now: now(), Replica: "e@5"})
	d.handleJoin(t.Context(), messenger.JoinRequest{Replica: "e@5"})
	assert.Equal(t, len(d.applicants.Replicas()), 0)
	d.handleJoin(t.Context(), messenger.JoinRequest{Replica: "f@6"})
	assert.DeepEqual(t, d.applicants.Replicas(), []string{"f@6"})
	d.attendance.Update(enroller.RefusedMsg{Replica: "c@3"})
	d.attendance.Update(enroller.RefusedMsg{Replica: "d@4"})
	d.handleJoin(t.Context(), messenger.JoinRequest{Replica: "e@5"})
	assert.DeepEqual(t, d.applicants.Replicas(), []string{"f@6", "e@5"})
}

// TestClosedConnectionOfAnEndedVoterIsNoticed guards against an end that is known only when
// the next heartbeat fails.
func TestClosedConnectionOfAnEndedVoterIsNoticed(t *testing.T) {
	d := newSpareLeader(t)
	l := listen(t, "127.0.0.1:0")
	running := "c@" + l.Addr().String()
	d.voters = []string{"a@1", "b@2", running, "d@4"}
	d.checkVoterAt(t.Context(), l.Addr().String())
	assert.Assert(t, !d.membership().Unresponsive[running])
	assert.NilError(t, l.Close())
	for range lostConnCapacity + 1 {
		d.noteLostConn(l.Addr().String())
	}
	assert.Equal(t, len(d.lostConns), lostConnCapacity)
	d.checkVoterAt(t.Context(), <-d.lostConns)
	assert.Assert(t, d.membership().Unresponsive[running])
	d.checkVoterAt(t.Context(), "127.0.0.1:1") // no voter
	assert.Assert(t, slices.Contains(d.voters, running))
	assert.Assert(t, !d.attendance.Gone(now()+time.Second, running, false))
}
