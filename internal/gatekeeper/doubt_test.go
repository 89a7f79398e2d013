package gatekeeper

import (
	"io"
	"testing"

	"papayaseam/internal/chooser"
	"papayaseam/internal/messenger"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// TestEntryTellsOfDoubtedGroupsThatItUses guards against entries that make control wait
// for what they see, and against those that ask in vain since they have no open stream
// there.
func TestEntryTellsOfDoubtedGroupsThatItUses(t *testing.T) {
	g := New(Config{Name: "entry-1"}, nil, log.New(io.Discard))
	g.fleet.Groups = []messenger.GroupView{{Name: "g", Members: []string{"e1", "e2"}, Open: true, Doubted: true}}
	assert.Assert(t, !g.servesDoubted(), "no stream is open at the group")
	s := &streamAttempt{target: chooser.Target{ID: "e1"}}
	g.addStream(s)
	assert.Assert(t, g.servesDoubted())
	g.removeStream(s, chooser.Served)
	assert.Assert(t, !g.servesDoubted())
	g.addStream(s)
	g.fleet.Groups[0].Doubted = false
	assert.Assert(t, !g.servesDoubted())
}

// TestBrokenStreamsAreToldOncePerBoot guards against a report for each of the streams that
// one crash breaks, and against reports of streams that ended otherwise.
func TestBrokenStreamsAreToldOncePerBoot(t *testing.T) {
	g := New(Config{Name: "entry-1"}, nil, log.New(io.Discard))
	end := func(bootTime int, group string, outcome chooser.Outcome) {
		s := &streamAttempt{target: chooser.Target{ID: "e1", BootTime: bootTime, Group: group}}
		g.addStream(s)
		g.removeStream(s, outcome)
	}
	end(5, "g", chooser.Served)
	end(5, "g", chooser.Canceled)
	end(5, "", chooser.Failed)
	assert.Equal(t, len(g.doubts.pending), 0)
	for range 20 {
		end(5, "g", chooser.Failed)
	}
	end(6, "g", chooser.Failed)
	assert.Equal(t, len(g.doubts.pending), 2)
	assert.DeepEqual(t, <-g.doubts.pending, messenger.Doubt{Instance: "e1", Born: 5})
	assert.DeepEqual(t, <-g.doubts.pending, messenger.Doubt{Instance: "e1", Born: 6})
}
