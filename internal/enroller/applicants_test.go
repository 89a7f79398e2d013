package enroller

import (
	"fmt"
	"testing"
	"time"

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

// TestApplicantThatIsGoneIsForgotten guards against a replica that was lost as it joined and
// stays in the list, and against one that was removed and is added again unasked.
func TestApplicantThatIsGoneIsForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		msg  ApplicantMsg
		gone bool
	}{
		"refused":     {RefusedMsg{Replica: "d@4"}, true},
		"lost disk":   {ReplacedMsg{Replica: "d@4"}, true},
		"votes":       {RoundMsg{Now: time.Second, Voters: []string{"b@2", "d@4"}}, true},
		"other voter": {RoundMsg{Now: time.Second, Voters: []string{"b@2"}}, false},
		"other end":   {RefusedMsg{Replica: "b@2"}, false},
	} {
		a := NewApplicants()
		a.Update(LeadershipMsg{Leading: true})
		a.Update(JoinRequestedMsg{Now: time.Second, Replica: "d@4"})
		a.Update(c.msg)
		assert.Equal(t, len(a.Replicas()) == 0, c.gone, name)
	}
}

// TestSilentApplicantIsForgotten guards against requests that stay for good, and against a
// leader that stood still and forgets those whose messages are still queued.
func TestSilentApplicantIsForgotten(t *testing.T) {
	a := NewApplicants()
	a.Update(LeadershipMsg{Leading: true})
	a.Update(JoinRequestedMsg{Replica: "d@4"})
	at := 2 * neededSilence
	a.Update(RoundMsg{Now: at})
	assert.Equal(t, len(a.Replicas()), 1, "a round of a leader that stood still counts")
	a.Update(HeardMsg{Now: at, Replica: "d@4"})
	for end := at + neededSilence; at < end; {
		at += RoundInterval
		a.Update(RoundMsg{Now: at})
	}
	assert.Equal(t, len(a.Replicas()), 1)
	a.Update(RoundMsg{Now: at + RoundInterval})
	assert.Equal(t, len(a.Replicas()), 0)
}
