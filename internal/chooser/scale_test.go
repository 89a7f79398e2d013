package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

const (
	scaleStep = 5 * time.Millisecond
	scaleRun  = 12 * time.Second
	// viewEvery and viewLag are how often an entry hears of loads, and how old
	// they are: a report's lag, the pace of reading heads and the way over control.
	viewEvery = 180 * time.Millisecond
	viewLag   = 550 * time.Millisecond
	// answerLag is when an answer's head tells the load.
	answerLag = 150 * time.Millisecond
	places    = 28
	// burst is how many prompts one group reads in one pass in time.
	burst     = 2
	passTime  = 60 * time.Millisecond
	meanStay  = 2200 * time.Millisecond
	leastStay = 800 * time.Millisecond
)

// crowd is many entries before many groups, each with an old view of them.
type crowd struct {
	random  *rand.Rand
	entries []*Chooser
	running []int
	begun   []map[time.Duration]int // begun counts the prompts that a group began to read by pass.
	past    []map[string]int        // past holds the loads of earlier moments, the oldest first.
	ends    map[time.Duration][]stay
	told    map[time.Duration][]stay
	refused int
	late    int
	asked   int
	skew    float64 // skew is the part of the requests that move to the first failure domain.
}

type stay struct{ entry, group int }

func newCrowd(entries, groups int, opts ...Option) *crowd {
	c := &crowd{
		random: rand.New(rand.NewPCG(5, 5)), running: make([]int, groups), begun: make([]map[time.Duration]int, groups),
		ends: map[time.Duration][]stay{}, told: map[time.Duration][]stay{},
	}
	for i := range c.begun {
		c.begun[i] = map[time.Duration]int{}
	}
	for i := range entries {
		c.entries = append(c.entries, New(fmt.Sprint("d", i%5), append([]Option{WithSeed(uint64(i + 1)), WithName(fmt.Sprint("entry-", i))}, opts...)...))
	}
	return c
}

func groupID(i int) string { return fmt.Sprintf("g%02d", i) }

// view tells an entry the loads of some time ago.
func (c *crowd) view(entry int, now time.Duration) {
	loads := c.past[max(len(c.past)-int(viewLag/scaleStep), 0)]
	msg := FleetMsg{Now: now, EntryCount: len(c.entries)}
	for i := range c.running {
		id := groupID(i)
		msg.Endpoints = append(msg.Endpoints, messenger.EndpointView{Instance: id, Service: "s", Slots: places, FailureDomain: fmt.Sprint("d", i%5)})
		msg.Groups = append(msg.Groups, messenger.GroupView{Name: "n" + id, Service: "s", Model: "m", Members: []string{id}, Open: true, Active: loads[id]})
	}
	c.entries[entry].Update(msg)
}

func (c *crowd) step(now time.Duration, load float64) {
	loads := map[string]int{}
	for i, n := range c.running {
		loads[groupID(i)] = n
	}
	c.past = append(c.past, loads)
	for _, s := range c.ends[now] {
		c.running[s.group]--
		c.entries[s.entry].Update(AttemptEndedMsg{ID: groupID(s.group), Now: now, Outcome: Served})
	}
	for _, s := range c.told[now] {
		c.entries[s.entry].Update(LoadMsg{Now: now, ID: groupID(s.group), Running: c.running[s.group]})
	}
	for i := range c.entries {
		if int((now+time.Duration(i)*scaleStep)/scaleStep)%int(viewEvery/scaleStep) == 0 {
			c.view(i, now)
		}
	}
	arrivals := load * float64(places*len(c.running)) / float64(meanStay) * float64(scaleStep)
	for n := arrivals; n > 0; n-- {
		if c.random.Float64() < n {
			c.arrive(now)
		}
	}
}

// renew ends all requests of a group: it lost a member and formed anew.
func (c *crowd) renew(group int, now time.Duration) {
	for end, stays := range c.ends {
		var kept []stay
		for _, s := range stays {
			if s.group != group {
				kept = append(kept, s)
				continue
			}
			c.entries[s.entry].Update(AttemptEndedMsg{ID: groupID(group), Now: now, Outcome: Canceled})
		}
		c.ends[end] = kept
	}
	c.running[group] = 0
}

// arrive lets one request come to a random entry.
func (c *crowd) arrive(now time.Duration) {
	entry := c.random.IntN(len(c.entries))
	if c.random.Float64() < c.skew {
		entry -= entry % 5
	}
	c.asked++
	target, ok := c.entries[entry].Pick(Request{Service: "s", Model: "m", Now: now})
	if !ok {
		c.refused++
		return
	}
	group := 0
	_, _ = fmt.Sscanf(target.ID, "g%d", &group)
	c.entries[entry].Update(AttemptStartedMsg{ID: target.ID})
	c.running[group]++
	pass := now / passTime
	c.begun[group][pass]++
	if c.running[group] > places || c.begun[group][pass] > burst {
		c.late++
	}
	length := leastStay + time.Duration(c.random.ExpFloat64()*float64(meanStay-leastStay))
	end := now + length.Truncate(scaleStep) + scaleStep
	c.ends[end] = append(c.ends[end], stay{entry, group})
	c.told[now+answerLag] = append(c.told[now+answerLag], stay{entry, group})
}

// crowded returns the parts of all requests that began late or were refused.
func crowded(entries, groups int, load, skew float64, opts ...Option) (late, refused float64) {
	c := newCrowd(entries, groups, opts...)
	c.skew = skew
	for now := time.Duration(0); now < scaleRun; now += scaleStep {
		c.step(now, load)
	}
	return float64(c.late) / float64(c.asked), float64(c.refused) / float64(c.asked)
}

// TestEntriesThatPreferSomeGroupsMakeFewerLate is the routing at size: many
// entries hear late of many groups, so that all send to the one that was emptiest
// half a second ago. Entries that mostly send to the same few groups know from
// their own answers how full these are. A fifth of the clients may stand in one
// failure domain.
func TestEntriesThatPreferSomeGroupsMakeFewerLate(t *testing.T) {
	for _, shape := range []struct{ entries, groups int }{{39, 40}, {39, 20}, {20, 20}, {9, 8}} {
		for _, load := range []float64{0.6, 0.75, 0.85} {
			for _, skew := range []float64{0, 0.2} {
				plain, _ := crowded(shape.entries, shape.groups, load, skew, WithMinPreferredGroups(0), WithFreeShareCap(noRamp))
				late, refused := crowded(shape.entries, shape.groups, load, skew)
				t.Logf("%d entries, %d groups, load %.2f, skew %.1f: late %.3f (refused %.3f), with the plain draw %.3f", shape.entries, shape.groups, load, skew, late, refused, plain)
				assert.Assert(t, late <= plain)
				assert.Assert(t, load != 0.75 || late <= 0.7*plain)
			}
		}
	}
}

// noRamp lets the free part of an endpoint count in full.
const noRamp = 1e9

// firsts returns the most requests that a group which has just opened gets in its
// first 200 ms, against its fair part.
func firsts(opts ...Option) float64 {
	c := newCrowd(39, 40, opts...)
	now := time.Duration(0)
	for ; now < 4*time.Second; now += scaleStep {
		c.step(now, 0.75)
	}
	c.renew(7, now)
	for end := now + viewLag + viewEvery; now < end; now += scaleStep {
		c.step(now, 0.75)
	}
	c.renew(7, now)
	before, asked := c.running[7], c.asked
	for end := now + 200*time.Millisecond; now < end; now += scaleStep {
		c.step(now, 0.75)
	}
	return float64(c.running[7]-before) * 40 / float64(c.asked-asked)
}

// TestGroupThatJustOpenedIsNotFlooded is a repair under load: all entries see the
// only empty group, and would send it several times what it reads in time.
func TestGroupThatJustOpenedIsNotFlooded(t *testing.T) {
	ramped, plain := firsts(), firsts(WithFreeShareCap(noRamp))
	t.Logf("requests in its first 200 ms, of its fair part: %.1f; without a ramp %.1f", ramped, plain)
	assert.Assert(t, ramped <= 3)
	assert.Assert(t, ramped < plain)
}
