package director

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/packer"
	"papayaseam/internal/replicator"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestJoinRequestEndsWithTheLeadership guards against a request that a process read as it
// woke from a freeze, still as the leader, and carries out when it leads again.
func TestJoinRequestEndsWithTheLeadership(t *testing.T) {
	d := newSpareLeader(t)
	d.handleJoin(t.Context(), messenger.JoinRequest{Replica: "e@5"})
	assert.DeepEqual(t, d.applicants.Replicas(), []string{"e@5"})
	d.handleLeaderChange(replicator.LeaderChangedEffect{Leader: "b@2", Role: replicator.Follower, Term: 2})
	d.handleLeaderChange(replicator.LeaderChangedEffect{Leader: "a@1", Role: replicator.Leader, Term: 3})
	assert.Equal(t, len(d.applicants.Replicas()), 0)
}

// TestAnswerOfAnotherReplicaProvesALostDisk guards against a voter whose disk is lost and
// that counts until it has been silent for long, and against an applicant that is added
// although another replica answers at its address.
func TestAnswerOfAnotherReplicaProvesALostDisk(t *testing.T) {
	d := newSpareLeader(t)
	d.handleJoin(t.Context(), messenger.JoinRequest{Replica: "e@5"})
	d.noteAnswer("c@3", "c@3")
	d.noteAnswer("c@3", "")
	assert.Assert(t, !d.membership().Unresponsive["c@3"])
	d.noteAnswer("c@3", "x@3")
	assert.Assert(t, d.membership().Replaced["c@3"] && d.membership().Unresponsive["c@3"])
	d.noteAnswer("e@5", "y@5")
	assert.Equal(t, len(d.applicants.Replicas()), 0)
	d.attendance.Update(enroller.HeardMsg{Now: now(), Replica: "c@3"})
	assert.Assert(t, d.membership().Unresponsive["c@3"], "a late message of a lost disk counts")
}

// TestReplicaTellsWhoseDiskItIs guards against a process that answers for a replica whose disk
// it does not have.
func TestReplicaTellsWhoseDiskItIs(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	wiped := c.otherNode(leader)
	former := wiped.director.identity
	wiped.restart(c.seeds, true)
	c.waitUntil("the leader does not learn that the disk is lost", func() bool {
		return !slices.Contains(c.voters(), former) && slices.Contains(c.voters(), wiped.director.identity)
	})
	answer := wiped.director.handleReplicate(t.Context(), messenger.ReplicaBatch{Messages: []messenger.ReplicaMessage{{To: former}}})
	assert.Equal(t, answer.Replica, wiped.director.identity)
}

// TestLearnerDoesNotReturnTheConfiguration guards against a successor that answers operators
// before it votes: they stop the machine that it replaces then, and the next loss ends control.
func TestLearnerDoesNotReturnTheConfiguration(t *testing.T) {
	mux := http.NewServeMux()
	transporter.Handle(mux, "POST /fleet/digest", func(context.Context, messenger.Digest) messenger.Confirmation {
		return messenger.Confirmation{Confirmed: true, Version: 7}
	})
	leader := httptest.NewServer(mux)
	defer leader.Close()
	d := newSpareLeader(t)
	packed, err := packer.Pack([]byte("7 seven"))
	assert.NilError(t, err)
	d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Version: 7, Document: packed}})
	d.leading, d.leader = false, "b@"+strings.TrimPrefix(leader.URL, "http://")
	document, err := d.NewestConfiguration(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, document, "7 seven")
	d.identity = "x@9"
	_, err = d.NewestConfiguration(t.Context())
	assert.Assert(t, errors.Is(err, ErrNoLeader), "%v", err)
}
