package enroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rounds ends n rounds from the start, in each of which the given voters are heard, and
// returns the end of the last one.
func (a *Attendance) rounds(start time.Duration, n int, voters, heard []string) time.Duration {
	at := start
	for range n {
		for _, voter := range heard {
			a.Update(HeardMsg{Now: at + RoundInterval/2, Replica: voter})
		}
		at += RoundInterval
		a.Update(RoundMsg{Now: at, Voters: voters})
	}
	return at
}

// TestRefusedSpareVoterIsGoneAtOnce guards against a killed voter that counts for the quorum
// until its silence is noticed, and against the early loss of a voter that is needed.
func TestRefusedSpareVoterIsGoneAtOnce(t *testing.T) {
	a := NewAttendance()
	a.Update(LeadMsg{Now: time.Second})
	a.Update(HeardMsg{Now: time.Second, Replica: "b@2"})
	assert.Assert(t, a.Update(RefusedMsg{Replica: "b@2"}), "the first refusal starts no membership change")
	assert.Assert(t, !a.Update(RefusedMsg{Replica: "b@2"}))
	assert.Assert(t, a.Gone(time.Second, "b@2", true))
	assert.Assert(t, !a.Gone(time.Second, "b@2", false), "a needed voter was given up early")
	assert.Assert(t, a.Gone(time.Second+neededSilence+1, "b@2", false))
	a.Update(HeardMsg{Now: 2 * time.Second, Replica: "b@2"})
	assert.Assert(t, !a.Gone(2*time.Second, "b@2", true), "a restarted voter still counts as gone")
}

// TestSilentSpareVoterIsGoneAfterMissedRounds guards against a voter without power that
// counts for a second, and against one that is given up for a single late heartbeat.
func TestSilentSpareVoterIsGoneAfterMissedRounds(t *testing.T) {
	voters := []string{"b@2", "c@3"}
	a := NewAttendance()
	a.Update(LeadMsg{Now: time.Second})
	at := a.rounds(time.Second, 1, voters, voters)
	at = a.rounds(at, missedRounds-1, voters, voters[:1])
	assert.Assert(t, !a.Gone(at, "c@3", true))
	at = a.rounds(at, 1, voters, voters[:1])
	assert.Assert(t, a.Gone(at, "c@3", true))
	assert.Assert(t, !a.Gone(at, "c@3", false))
	assert.Assert(t, !a.Gone(at, "b@2", true))
}

// TestRoundOfAStalledLeaderCountsNoMisses guards against a leader that was frozen or had no
// processor, and then takes the voters whose messages are still queued for gone.
func TestRoundOfAStalledLeaderCountsNoMisses(t *testing.T) {
	voters := []string{"b@2"}
	a := NewAttendance()
	a.Update(LeadMsg{Now: time.Second})
	at := a.rounds(time.Second, 1, voters, voters)
	for range 4 * missedRounds {
		at += stallFactor*RoundInterval + 1
		a.Update(RoundMsg{Now: at, Voters: voters})
	}
	assert.Assert(t, !a.Gone(at, "b@2", true))
}

// TestNewLeaderGivesTheFormerOneOneRound guards against a former leader that counts twice
// the time: once until the election and again from it.
func TestNewLeaderGivesTheFormerOneOneRound(t *testing.T) {
	voters := []string{"b@2", "c@3"}
	a := NewAttendance()
	a.Update(RefusedMsg{Replica: "c@3"})
	a.Update(LeadMsg{Now: time.Second, Former: "b@2"})
	assert.Assert(t, a.Gone(time.Second, "c@3", true), "a refusal before the election is forgotten")
	assert.Assert(t, !a.Gone(time.Second, "b@2", true), "a former leader that only stepped down has no time to say so")
	at := a.rounds(time.Second, 1, voters, nil)
	assert.Assert(t, a.Gone(at, "b@2", true))
}

// TestReplicaThatComesAndGoesWaitsLonger guards against a process that is added and removed
// several times a second, and against a bar that outlives its reason.
func TestReplicaThatComesAndGoesWaitsLonger(t *testing.T) {
	a := NewAttendance()
	now := time.Second
	a.Update(LeadMsg{Now: now})
	others := []string{"c@3", "d@4"}
	mayJoin := func(at time.Duration, replica string) bool {
		for _, voter := range others {
			a.Update(HeardMsg{Now: at, Replica: voter})
		}
		return a.MayJoin(at, replica, others, 3)
	}
	for _, wait := range []time.Duration{firstBar, 2 * firstBar, 4 * firstBar} {
		a.Update(GivenUpMsg{Now: now, Replica: "b@2"})
		assert.Assert(t, !mayJoin(now+wait-1, "b@2"))
		assert.Assert(t, mayJoin(now, "e@5"))
		assert.Assert(t, a.MayJoin(now+wait-1, "b@2", others[:1], 3), "a replica that is needed must wait")
		a.Update(RefusedMsg{Replica: "d@4"})
		assert.Assert(t, a.MayJoin(now+wait-1, "b@2", others, 3), "a replica must wait while a needed voter is gone")
		now += wait
		assert.Assert(t, mayJoin(now, "b@2"))
	}
	for range 10 {
		a.Update(GivenUpMsg{Now: now, Replica: "b@2"})
	}
	assert.Assert(t, !mayJoin(now+lastBar-1, "b@2"))
	assert.Assert(t, mayJoin(now+lastBar, "b@2"))
	a.Update(RoundMsg{Now: now + 2*lastBar + 1})
	assert.Equal(t, len(a.bars), 0)
}

// TestFormerVotersAreForgotten guards against records that grow with each successor.
func TestFormerVotersAreForgotten(t *testing.T) {
	a := NewAttendance()
	for _, voter := range []string{"b@2", "c@3"} {
		a.Update(HeardMsg{Now: 1, Replica: voter})
	}
	a.Update(RefusedMsg{Replica: "c@3"})
	a.Update(RoundMsg{Now: 2, Voters: []string{"b@2"}})
	assert.Equal(t, len(a.heard)+len(a.missed)+len(a.refused), 1)
}

// TestRefusedVoterIsRemovedBeforeASilentOne guards against the removal of a slow voter in
// place of one that has ended.
func TestRefusedVoterIsRemovedBeforeASilentOne(t *testing.T) {
	change, due := NextChange(View{
		Self: "a@1", Voters: []string{"a@1", "b@2", "c@3", "d@4"}, MinVoters: 3,
		Unresponsive: map[string]bool{"b@2": true, "c@3": true}, Refused: map[string]bool{"c@3": true},
	})
	assert.Assert(t, due)
	assert.Equal(t, change, Change{Remove: "c@3"})
}
