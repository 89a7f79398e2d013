package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

const (
	recordedRequests = 4000
	// recordedPicks is the digest of the picks for the inputs of
	// TestRecordedPicksAreUnchanged, taken from the code before requests had
	// priorities.
	recordedPicks = "5cafcbb15d3e1369"
)

// TestRecordedPicksAreUnchanged guards against a change of the picks of a deployment
// that declares no priorities: overloaded groups, requests of each urgency, and ends of
// each outcome give the picks that they gave before there were any.
func TestRecordedPicksAreUnchanged(t *testing.T) {
	c := New("d0", WithSeed(7), WithName("entry"))
	random := rand.New(rand.NewPCG(11, 11))
	c.Update(newFleet(6, func(i int) (int, int) { return 5 * i, i / 5 }))
	digest := xxhash.New()
	var running []string
	for i := range recordedRequests {
		now := time.Minute + time.Duration(i)*time.Millisecond
		if len(running) > 60 || (len(running) > 0 && random.IntN(3) == 0) {
			id := running[0]
			running = running[1:]
			c.Update(AttemptEndedMsg{ID: id, Now: now, Outcome: Outcome(random.IntN(4))})
			c.Update(LoadMsg{Now: now, ID: id, Running: random.IntN(30), Waiting: random.IntN(2)})
		}
		target, ok := c.Pick(Request{Service: "s", Model: "m", Urgency: Urgency(random.IntN(3)), Now: now})
		if ok {
			running = append(running, target.ID)
			c.Update(AttemptStartedMsg{ID: target.ID})
		}
		_, _ = fmt.Fprintf(digest, "%s %t %.4f\n", target.ID, ok, c.Utilization("s", "m"))
	}
	assert.Equal(t, fmt.Sprintf("%016x", digest.Sum64()), recordedPicks)
}
