package enroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxJoinChanges is the number of membership changes for a replica that is lost as it joins,
// its successor, and a lost voter with its own: an addition and a removal each.
const maxJoinChanges = 6

// TestReplicaLostAsItJoinsIsNoVoter guards against a replica that is added and removed by
// turns because it was lost before it was heard from as a voter, so that its successor never
// votes and the next lost voter ends control. The leader has led for longer than it waits
// for a needed voter.
func TestReplicaLostAsItJoinsIsNoVoter(t *testing.T) {
	for seed := range uint64(60) {
		for _, silent := range []bool{false, true} {
			l := newTimeline(3, seed)
			l.run(2 * settleTime)
			l.found("n@3", nil)
			l.run(time.Duration(seed) * 5 * time.Millisecond)
			l.kill("n@3", silent)
			l.run(time.Second)
			l.found("n@4", nil)
			l.run(5 * time.Second)
			assert.Assert(t, l.settled(), "seed %d: the successor has no vote", seed)
			l.kill(l.others(l.leader().id)[0], silent)
			l.run(time.Second)
			l.found("n@5", nil)
			l.run(recoverTime)
			assert.Assert(t, l.settled(), "seed %d: control does not recover from the loss of one voter", seed)
			assert.Assert(t, l.changes <= maxJoinChanges, "seed %d: %d changes", seed, l.changes)
		}
	}
}
