package chooser

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// underWay is how long after it has asked for rest an endpoint may still be reached.
	underWay = 500 * time.Millisecond
	// maxWhileAtRest is the number of requests of one machine that may reach an endpoint in
	// one rest after that.
	maxWhileAtRest = 2
	maxDelay       = 60 * time.Millisecond
	shedFor        = 20 * time.Second
)

// timed is something that happens at a virtual time.
type timed struct {
	at time.Duration
	do func()
}

type timeline []timed

func (l timeline) Len() int           { return len(l) }
func (l timeline) Less(i, j int) bool { return l[i].at < l[j].at }
func (l timeline) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)        { *l = append(*l, x.(timed)) }
func (l *timeline) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// rest is a time for which an endpoint wants nothing from one entry.
type rest struct {
	from, until time.Duration
	arrivals    int
}

// sheddingFleet is a number of entries before endpoints that turn a share of the requests
// away and ask for rest, in virtual time.
type sheddingFleet struct {
	random  *rand.Rand
	events  timeline
	now     time.Duration
	entries []*Chooser
	share   float64
	rests   map[string][]*rest // rests is by endpoint and entry.
	shed    int
	served  int
}

func newSheddingFleet(entries, endpoints int, share float64, seed uint64) *sheddingFleet {
	f := &sheddingFleet{random: rand.New(rand.NewPCG(seed, 1)), share: share, rests: map[string][]*rest{}, now: time.Minute}
	fleet := newFleet(endpoints, idle)
	fleet.EntryCount = entries
	for i := range entries {
		c := New("d0", WithSeed(seed+uint64(i)), WithName(fmt.Sprint("entry", i)))
		c.Update(fleet)
		f.entries = append(f.entries, c)
	}
	return f
}

func (f *sheddingFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, timed{f.now + d, do})
}

func (f *sheddingFleet) delay() time.Duration {
	return time.Duration(f.random.Float64() * float64(maxDelay))
}

// send lets an entry send a request, and again if it is turned away and may be repeated.
func (f *sheddingFleet) send(entry, attempts int) {
	target, ok := f.entries[entry].Pick(Request{Service: "s", Model: "m", Now: f.now})
	if !ok {
		return
	}
	f.entries[entry].Update(AttemptStartedMsg{ID: target.ID})
	f.after(f.delay(), func() { f.reach(entry, target, attempts) })
}

func (f *sheddingFleet) reach(entry int, target Target, attempts int) {
	key := fmt.Sprint(target.ID, " ", entry)
	for _, r := range f.rests[key] {
		if f.now >= r.from+underWay && f.now < r.until {
			r.arrivals++
		}
	}
	if f.random.Float64() >= f.share {
		f.served++
		f.after(300*time.Millisecond+f.delay(), func() {
			f.entries[entry].Update(AttemptEndedMsg{ID: target.ID, Now: f.now, Outcome: Served})
		})
		return
	}
	f.shed++
	asked := time.Duration((0.6 + 3*f.random.Float64()) * float64(time.Second))
	f.rests[key] = append(f.rests[key], &rest{from: f.now, until: f.now + asked})
	f.after(f.delay(), func() {
		f.entries[entry].Update(NoticeMsg{Now: f.now, ID: target.ID, BootTime: target.BootTime, StayAway: asked})
		f.entries[entry].Update(AttemptEndedMsg{ID: target.ID, Now: f.now, Outcome: Refused})
		if attempts > 1 {
			f.send(entry, attempts-1)
		}
	})
}

// run lets each entry send a request every few milliseconds.
func (f *sheddingFleet) run(interval time.Duration) {
	for at := time.Duration(0); at < shedFor; at += interval {
		f.after(at, func() { f.send(f.random.IntN(len(f.entries)), 2) })
	}
	for len(f.events) > 0 {
		event := heap.Pop(&f.events).(timed)
		f.now = event.at
		event.do()
	}
}

// TestEndpointsAtRestAreNotReached guards against repeats that pile up at endpoints which
// have asked each entry for rest, for times of any length, one over another.
func TestEndpointsAtRestAreNotReached(t *testing.T) {
	for seed, share := range []float64{0.02, 0.1, 0.3, 0.7, 1} {
		f := newSheddingFleet(8, 6, share, uint64(seed+1))
		f.run(2 * time.Millisecond)
		rests, worst := 0, 0
		for _, list := range f.rests {
			for _, r := range list {
				rests++
				worst = max(worst, r.arrivals)
			}
		}
		t.Logf("share %g: %d served, %d turned away, at most %d requests in one rest", share, f.served, f.shed, worst)
		assert.Assert(t, worst <= maxWhileAtRest, "share %g: %d requests of one entry reached an endpoint in one rest", share, worst)
		assert.Assert(t, rests > 100 && (share == 1 || f.served > 100), "share %g: %d rests, %d served", share, rests, f.served)
	}
}
