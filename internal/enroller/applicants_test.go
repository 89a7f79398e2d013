package enroller

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRequestsEndWithTheLeadership guards against join requests that are carried out in a
// later leadership than the one in which they were read.
func TestRequestsEndWithTheLeadership(t *testing.T) {
	a := NewApplicants()
	assert.Assert(t, !a.Update(JoinRequestedMsg{Replica: "d@4"}), "a process that doesn't lead queues a request")
	a.Update(LeadershipMsg{Leading: true})
	assert.Assert(t, a.Update(JoinRequestedMsg{Replica: "d@4"}))
	assert.Assert(t, !a.Update(JoinRequestedMsg{Replica: "d@4"}))
	assert.DeepEqual(t, a.Replicas(), []string{"d@4"})
	a.Update(LeadershipMsg{})
	assert.Equal(t, len(a.Replicas()), 0)
	a.Update(LeadershipMsg{Leading: true})
	assert.Equal(t, len(a.Replicas()), 0)
}

// TestRequestsAreBounded guards against a list that grows with requests of processes that
// come and go.
func TestRequestsAreBounded(t *testing.T) {
	a := NewApplicants()
	a.Update(LeadershipMsg{Leading: true})
	for i := range 2 * maxApplicants {
		a.Update(JoinRequestedMsg{Replica: fmt.Sprintf("x%d@%d", i, i)})
	}
	assert.Equal(t, len(a.Replicas()), maxApplicants)
}
