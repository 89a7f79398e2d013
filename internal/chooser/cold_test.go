package chooser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/sharer"

	"gotest.tools/v3/assert"
)

const (
	coldRate = 32.0
	// coldBound is the most requests that all entries together may send to a cold endpoint
	// in a second.
	coldBound    = 53
	coldFor      = 8 * time.Second
	syncEvery    = 220 * time.Millisecond
	coldInterval = 10 * time.Millisecond
	// maxAtOnce is the number of requests that an entry has every coldInterval, far more
	// than it may send.
	maxAtOnce = 4
	// burstPeriod is the time from one burst to the next. In a pause each entry earns as
	// much as it can hold, and all send at once after it.
	burstPeriod, pause = 2300 * time.Millisecond, 800 * time.Millisecond
)

// newColdFleet is newFleet with endpoints that are cold from the first one on.
func newColdFleet(groups, cold int) FleetMsg {
	msg := newFleet(groups, idle)
	for i := range cold {
		msg.Endpoints[i].Cold = true
	}
	return msg
}

// coldFleet is a number of entries before one cold endpoint, in virtual time.
type coldFleet struct {
	random   *rand.Rand
	sharer   *sharer.Sharer
	entries  []*Chooser
	apart    map[int]bool // apart holds the entries that do not reach control.
	arrivals []time.Duration
	sent     int
}

func newColdEntries(entries int, seed uint64) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(seed, 2)), sharer: sharer.New(), apart: map[int]bool{}}
	for i := range entries {
		c := New("d0", WithSeed(seed+uint64(i)))
		msg := newColdFleet(1, 1)
		msg.EntryCount = 1 // Each entry alone may fill the endpoint, so that only its allowance limits it.
		msg.Endpoints[0].Slots = 1 << 16
		c.Update(msg)
		f.entries = append(f.entries, c)
	}
	return f
}

func (f *coldFleet) sync(i int, sentAt, now time.Duration) {
	f.sharer.Update(sharer.PoolsMsg{Now: now, Rates: map[sharer.Pool]float64{{Service: "s", FailureDomain: "d0"}: coldRate}})
	for _, g := range f.sharer.Update(sharer.AskMsg{Now: now, FailureDomain: "d0", Entries: []string{fmt.Sprint(i)}}) {
		share := ColdShare{Service: g.Pool.Service, FailureDomain: g.Pool.FailureDomain, Rate: g.Share * coldRate}
		f.entries[i].Update(ShareMsg{Now: now, Until: sentAt + sharer.Validity, Shares: []ColdShare{share}})
	}
}

// run sends as many requests as each entry picks the endpoint for, every few milliseconds,
// all the time or in bursts.
func (f *coldFleet) run(bursts bool) {
	for at := time.Minute; at < time.Minute+coldFor; at += coldInterval {
		for i, c := range f.entries {
			phase := time.Duration(i) * syncEvery / time.Duration(len(f.entries))
			if (at+phase)%syncEvery < coldInterval && !f.apart[i] {
				f.sync(i, at-40*time.Millisecond, at)
			}
			for n := 0; n < maxAtOnce && (!bursts || at%burstPeriod >= pause); n++ {
				target, ok := c.Pick(Request{Service: "s", Model: "m", Now: at, Urgency: Urgency(f.random.IntN(3))})
				if !ok {
					break
				}
				c.Update(AttemptStartedMsg{ID: target.ID})
				c.Update(AttemptEndedMsg{ID: target.ID, Now: at, Outcome: Served})
				f.sent++
				f.arrivals = append(f.arrivals, at+time.Duration(f.random.Float64()*float64(maxDelay)))
			}
		}
	}
	slices.Sort(f.arrivals)
}

// mostInOneSecond returns the largest number of requests that arrived in any second.
func (f *coldFleet) mostInOneSecond() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for f.arrivals[first] <= at-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdEndpointGetsNoMoreThanItsRateFromAllEntries guards against a returned endpoint
// that is flooded by entries which do not know of each other's requests, while each of
// them has more requests than it may send: first tries, repeats and resumed streams.
func TestColdEndpointGetsNoMoreThanItsRateFromAllEntries(t *testing.T) {
	for _, entries := range []int{1, 3, 17, 20, 40, 250} {
		for _, bursts := range []bool{false, true} {
			f := newColdEntries(entries, uint64(entries))
			f.run(bursts)
			most, mean := f.mostInOneSecond(), float64(f.sent)/coldFor.Seconds()
			t.Logf("%d entries, bursts %v: at most %d requests in a second, %.1f on average", entries, bursts, most, mean)
			assert.Assert(t, most <= coldBound, "%d entries: %d requests in one second", entries, most)
			if bursts {
				mean /= 1 - float64(pause)/float64(burstPeriod)
			}
			assert.Assert(t, mean > coldRate/2, "%d entries: %.1f requests per second", entries, mean)
		}
	}
}

// TestEntriesWithoutControlSendNothingToColdEndpoints guards against entries that go on
// with a share which has been given to others.
func TestEntriesWithoutControlSendNothingToColdEndpoints(t *testing.T) {
	f := newColdEntries(17, 1)
	for i := range f.entries {
		f.apart[i] = true
		f.entries[i].Update(ShareMsg{Now: time.Minute, Until: time.Minute + sharer.Validity, Shares: []ColdShare{{"s", "d0", coldRate / 17}}})
	}
	f.run(false)
	assert.Assert(t, f.sent > 0)
	assert.Assert(t, f.arrivals[len(f.arrivals)-1] < time.Minute+sharer.Validity+maxDelay)
	assert.Assert(t, f.sent <= coldBound, "%d requests", f.sent)
}

// TestEarnedRequestsAreLostWithAnExpiredShare guards against an entry that keeps what it
// earned with an earlier share, and sends it while others have the whole rate.
func TestEarnedRequestsAreLostWithAnExpiredShare(t *testing.T) {
	c := New("d0")
	c.Update(newColdFleet(1, 1))
	share := func(now time.Duration) {
		c.Update(ShareMsg{Now: now, Until: now + time.Second, Shares: []ColdShare{{"s", "d0", 2}}})
	}
	at := func(now time.Duration) bool {
		_, ok := c.Pick(Request{Service: "s", Model: "m", Now: now})
		return ok
	}
	share(time.Minute)
	assert.Assert(t, !at(time.Minute+400*time.Millisecond))
	assert.Assert(t, at(time.Minute+600*time.Millisecond))
	assert.Assert(t, !at(time.Minute+time.Second), "the share has expired")
	share(time.Minute + 5*time.Second)
	assert.Assert(t, !at(time.Minute+5100*time.Millisecond))
	assert.Assert(t, at(time.Minute+5600*time.Millisecond))
}

// TestWarmEndpointsGetRequestsWithoutAShare guards against endpoints that are held back
// although they are warm, or became so.
func TestWarmEndpointsGetRequestsWithoutAShare(t *testing.T) {
	c := New("d0")
	c.Update(newColdFleet(3, 1))
	assert.DeepEqual(t, picks(c, time.Minute), map[string]bool{"e1": true, "e2": true})
	c.Update(newColdFleet(3, 0))
	assert.DeepEqual(t, picks(c, time.Minute), map[string]bool{"e0": true, "e1": true, "e2": true})
	c.Update(newColdFleet(3, 3))
	assert.DeepEqual(t, picks(c, time.Minute), map[string]bool{})
}

// TestNextBootOfAColdEndpointBeginsWithoutAllowance guards against an endpoint that gets
// what an earlier boot of it could have got.
func TestNextBootOfAColdEndpointBeginsWithoutAllowance(t *testing.T) {
	c := New("d0")
	c.Update(newColdFleet(1, 1))
	c.Update(ShareMsg{Now: time.Minute, Until: time.Minute + time.Second, Shares: []ColdShare{{"s", "d0", coldRate}}})
	_, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute + 500*time.Millisecond})
	assert.Assert(t, ok)
	next := newColdFleet(1, 1)
	next.Now = time.Minute + 500*time.Millisecond
	next.Endpoints[0].Born = 2
	c.Update(next)
	_, ok = c.Pick(Request{Service: "s", Model: "m", Now: time.Minute + 510*time.Millisecond})
	assert.Assert(t, !ok)
}

// TestWaitForColdEndpoints guards against clients that are told to come back after an
// endpoint is warm for long, or before any may take a request.
func TestWaitForColdEndpoints(t *testing.T) {
	c := New("d0")
	c.Update(newColdFleet(2, 1))
	_, all := c.AllCold("s", "m", 3*time.Second, time.Minute)
	assert.Assert(t, !all, "one is warm")
	c.Update(newColdFleet(2, 2))
	wait, all := c.AllCold("s", "m", 3*time.Second, time.Minute+time.Second)
	assert.Assert(t, all)
	assert.Equal(t, wait, 2*time.Second)
	c.Update(ShareMsg{Now: time.Minute + time.Second, Until: time.Minute + 2*time.Second, Shares: []ColdShare{{"s", "d1", 4}}})
	wait, _ = c.AllCold("s", "m", 3*time.Second, time.Minute+time.Second)
	assert.Equal(t, wait, 250*time.Millisecond)
	wait, all = c.AllCold("s", "m", 3*time.Second, time.Minute+4*time.Second)
	assert.Assert(t, all)
	assert.Equal(t, wait, time.Duration(0), "nothing is known")
	_, all = c.AllCold("s", "other", 3*time.Second, time.Minute)
	assert.Assert(t, !all, "no endpoint serves it")
}

// TestDecisionsAreUnchangedWithoutColdEndpoints guards against changed decisions where no
// service declares a cold rate: the same picks, in the same order, after the same loads.
func TestDecisionsAreUnchangedWithoutColdEndpoints(t *testing.T) {
	plain, other := New("d0", WithSeed(7)), New("d0", WithSeed(7))
	other.Update(ShareMsg{Now: time.Minute, Until: time.Hour, Shares: []ColdShare{{"s", "d0", coldRate}}})
	for i := range 400 {
		if i%50 == 0 {
			msg := newFleet(6, func(g int) (int, int) { return (g*7 + i) % 24, 0 })
			plain.Update(msg)
			msg.Endpoints = append(slices.Clone(msg.Endpoints), messenger.EndpointView{Instance: "x", Service: "elsewhere", Cold: true})
			other.Update(msg)
		}
		a, okA := plain.Pick(request)
		b, okB := other.Pick(request)
		assert.Equal(t, a, b)
		assert.Equal(t, okA, okB)
		plain.Update(AttemptStartedMsg{ID: a.ID})
		other.Update(AttemptStartedMsg{ID: b.ID})
	}
}

// TestWaitForColdEndpointsLeavesOutEvacuatedOnes guards against a refusal that counts as a
// lack of slots, or that tells a wait until an endpoint which gets nothing could take a
// request, where one failure domain is evacuated and the endpoints of the other are cold.
func TestWaitForColdEndpointsLeavesOutEvacuatedOnes(t *testing.T) {
	for _, evacuatedIsCold := range []bool{false, true} {
		c := New("d0")
		msg := newFleet(2, idle)
		msg.Now = time.Minute
		msg.Endpoints[0].Cold, msg.Endpoints[1].Cold = evacuatedIsCold, true
		c.Update(msg)
		c.Update(ShareMsg{Now: time.Minute, Until: time.Minute + time.Second, Shares: []ColdShare{{"s", "d0", 32}, {"s", "d1", 2}}})
		c.Update(EvacuationMsg{Now: time.Minute, Domains: []string{"d0"}, PhaseOutEnd: time.Minute})
		wait, all := c.AllCold("s", "m", 3*time.Second, time.Minute)
		assert.Assert(t, all)
		assert.Equal(t, wait, 500*time.Millisecond)
	}
}
