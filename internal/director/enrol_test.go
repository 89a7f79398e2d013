package director

import (
	"testing"

	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"gotest.tools/v3/assert"
)

// TestJoinRequestEndsWithTheLeadership guards against a request that a process read as it
// woke from a freeze, still as the leader, and carries out when it leads again.
func TestJoinRequestEndsWithTheLeadership(t *testing.T) {
	d := newSpareLeader(t)
	d.handleJoin(t.Context(), messenger.JoinRequest{Replica: "e@5"})
	assert.DeepEqual(t, d.membership().Joiners, []string{"e@5"})
	d.handleLeaderChange(replicator.LeaderChangedEffect{Leader: "b@2", Role: replicator.Follower, Term: 2})
	d.handleLeaderChange(replicator.LeaderChangedEffect{Leader: "a@1", Role: replicator.Leader, Term: 3})
	assert.Equal(t, len(d.membership().Joiners), 0)
}
