package enroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJoinRequestReadByAFormerLeader guards against a process that was frozen as the leader,
// reads a join request once it goes on, and adds the long gone replica when it leads again.
func TestJoinRequestReadByAFormerLeader(t *testing.T) {
	const seeds = 40
	ledAgain := 0
	for seed := range uint64(seeds) {
		l := newTimeline(3, seed)
		l.run(settleTime)
		former := l.leader()
		former.frozen = true
		l.found("n@3", nil)
		l.run(2500 * time.Millisecond)
		former.frozen = false
		l.run(recoverTime)
		l.kill("n@3", false)
		l.run(recoverTime)
		assert.Assert(t, l.settled(), "seed %d", seed)
		lost := l.leader()
		if lost == former {
			continue
		}
		l.kill(lost.id, true)
		l.run(settleTime)
		if l.leader() == former {
			ledAgain++
		}
		l.found("n@4", nil)
		l.run(recoverTime)
		assert.Assert(t, l.settled(), "seed %d: control does not recover from the loss of one voter", seed)
	}
	assert.Assert(t, ledAgain > 0, "the process that was frozen never led again")
}
