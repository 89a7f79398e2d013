package director

import (
	"slices"
	"testing"
	"time"

	"papayaseam/internal/enroller"

	"gotest.tools/v3/assert"
)

// addReplacement starts a control process at a new address and waits until it votes.
func (c *cluster) addReplacement() *node {
	l := listen(c.t, "127.0.0.1:0")
	n := &node{t: c.t, listener: l, address: l.Addr().String(), folder: c.t.TempDir()}
	c.nodes = append(c.nodes, n)
	n.start(c.seeds, false)
	c.waitUntil("the replacement is no voter", func() bool { return slices.Contains(c.voters(), n.director.identity) })
	return n
}

// TestStoppingSpareVoterGivesUpItsVote guards against a stopped voter that raises the quorum
// of those that run, also where the leader stops, and against one that can't return.
func TestStoppingSpareVoterGivesUpItsVote(t *testing.T) {
	for _, stopsLeader := range []bool{false, true} {
		c := newCluster(t)
		leader := c.waitForLeader()
		c.declare(leader, "7 seven")
		c.addReplacement()
		leader = c.waitForLeader()
		stopping := leader
		if !stopsLeader {
			stopping = c.otherNode(leader)
		}
		stopping.director.Drain(t.Context())
		// The process still runs, so that no silence removes it.
		c.waitUntil("the stopping process still votes", func() bool {
			voters := c.voters()
			return len(voters) == 3 && !slices.Contains(voters, stopping.director.identity)
		})
		stopping.shutDown()
		stopping.restart(c.seeds, false)
		c.waitUntil("the process does not vote again after its start", func() bool {
			return slices.Contains(c.voters(), stopping.director.identity)
		})
	}
}

// TestStoppingNeededVoterKeepsItsVote guards against a restart, which is a planned stop too,
// that leaves two voters, so that neither may be lost until it is back.
func TestStoppingNeededVoterKeepsItsVote(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	stopping := c.otherNode(leader)
	stopping.director.Drain(t.Context())
	stopping.shutDown()
	assert.Equal(t, len(c.voters()), 3)
}

// TestSilentSpareVoterIsMissedEarly guards against a replaced process that was killed and
// still counts for the quorum of the others when the next disk is lost.
func TestSilentSpareVoterIsMissedEarly(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "1", ToleratedLosses: 1}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.identity = "a@1"
	d.voters = []string{"a@1", "b@2", "c@3"}
	// c is heard last before four rounds in which the others are.
	start := now() - time.Second
	d.attendance.Update(enroller.LeadMsg{Now: start})
	for round := range 5 {
		at := start + time.Duration(round+1)*enroller.RoundInterval
		for _, voter := range []string{"b@2", "c@3", "d@4"} {
			if voter != "c@3" || round == 0 {
				d.attendance.Update(enroller.HeardMsg{Now: at - 1, Replica: voter})
			}
		}
		d.attendance.Update(enroller.RoundMsg{Now: at, Voters: []string{"b@2", "c@3", "d@4"}})
	}
	assert.Assert(t, !d.membership().Unresponsive["c@3"], "a voter that is needed was given up early")
	d.voters = append(d.voters, "d@4")
	view := d.membership()
	assert.Assert(t, view.Unresponsive["c@3"])
	change, due := enroller.NextChange(view)
	assert.Assert(t, due)
	assert.Equal(t, change, enroller.Change{Remove: "c@3"})
}
