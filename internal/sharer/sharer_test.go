package sharer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	rounding = 1e-9
	coldRate = 32.0
)

var writers = Pool{"writers", "d0"}

// asker is an entry: it has one request under way at a time, and uses the share in the
// last response until it expires.
type asker struct {
	name     string
	domain   string
	sentAt   time.Duration
	asking   bool
	response []Grant // response is under way; nil if there is none.
	held     map[Pool]Grant
	until    map[Pool]time.Duration
}

func (a *asker) receive() {
	for _, g := range a.response {
		a.held[g.Pool], a.until[g.Pool] = g, a.sentAt+Validity
	}
	a.asking, a.response = false, nil
}

// system is a leader, its predecessor and the entries, in virtual time.
type system struct {
	now       time.Duration
	leader    *Sharer
	old       *Sharer // old is the predecessor, which still answers what was sent before the change.
	changedAt time.Duration
	cold      map[Pool]float64
	askers    []*asker
	named     int
}

func newSystem(n int) *system {
	s := &system{now: time.Hour, leader: New(), old: New(), cold: map[Pool]float64{}}
	for range n {
		s.join()
	}
	return s
}

func (s *system) join() *asker {
	a := &asker{name: fmt.Sprint("entry", s.named), domain: fmt.Sprint("d", s.named%3), held: map[Pool]Grant{}, until: map[Pool]time.Duration{}}
	s.named++
	s.askers = append(s.askers, a)
	return a
}

func (s *system) pools() { s.leader.Update(PoolsMsg{Now: s.now, Rates: maps.Clone(s.cold)}) }

// ask lets a leader answer an entry's request. The grants are lost where none is under way.
func (s *system) ask(leader *Sharer, a *asker) {
	grants := leader.Update(AskMsg{Now: s.now, FailureDomain: a.domain, Entries: []string{a.name}})
	if a.asking {
		a.response = grants
	}
}

// inUse returns the sum of the shares of a pool that entries may use now, and their number.
func (s *system) inUse(p Pool) (sum float64, holders int) {
	for _, a := range s.askers {
		if s.now < a.until[p] {
			sum += a.held[p].Share
			holders++
		}
	}
	return sum, holders
}

// TestSharesInUseNeverExceedTheWhole guards against a cold endpoint that gets more than
// its rate because entries use shares that others have been granted as well: after delays,
// losses, partitions, changes of the leader, and entries that join and leave.
func TestSharesInUseNeverExceedTheWhole(t *testing.T) {
	pools := []Pool{writers, {"writers", "d1"}, {"desk", "d0"}}
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(rapid.IntRange(1, 30).Draw(t, "entries"))
		s.cold[writers] = coldRate
		s.pools()
		some := func(t *rapid.T) *asker { return s.askers[rapid.IntRange(0, len(s.askers)-1).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
				s.pools()
			},
			"all ask": func(*rapid.T) {
				for _, a := range s.askers {
					a.asking, a.sentAt, a.response = true, s.now, nil
				}
			},
			"the leader answers all": func(*rapid.T) {
				for _, a := range s.askers {
					s.ask(s.leader, a)
				}
			},
			"responses arrive": func(t *rapid.T) {
				lost := rapid.IntRange(1, 4).Draw(t, "lost")
				for i, a := range s.askers {
					if a.response != nil && i%4 != lost {
						a.receive()
					}
				}
			},
			"all sync": func(t *rapid.T) {
				step := time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
				for _, a := range s.askers {
					a.asking, a.sentAt = true, s.now
					s.now += step / time.Duration(len(s.askers))
					s.ask(s.leader, a)
					a.receive()
				}
			},
			"one asks":           func(t *rapid.T) { a := some(t); a.asking, a.sentAt, a.response = true, s.now, nil },
			"the leader answers": func(t *rapid.T) { s.ask(s.leader, some(t)) },
			"a response arrives": func(t *rapid.T) { some(t).receive() },
			"a response is lost": func(t *rapid.T) { some(t).response = nil },
			"the demand changes": func(t *rapid.T) {
				s.leader.Update(DemandMsg{some(t).name, "writers", rapid.Float64Range(0, 1e6).Draw(t, "work")})
			},
			"an entry joins":      func(*rapid.T) { s.join() },
			"an endpoint is cold": func(t *rapid.T) { s.cold[rapid.SampledFrom(pools).Draw(t, "pool")] = coldRate; s.pools() },
			"it is warm":          func(t *rapid.T) { delete(s.cold, rapid.SampledFrom(pools).Draw(t, "pool")); s.pools() },
			"the leader changes": func(*rapid.T) {
				s.old, s.leader, s.changedAt = s.leader, New(WithTakeover(s.now)), s.now
				s.pools()
			},
			"the old leader answers": func(t *rapid.T) {
				if a := some(t); a.asking && a.sentAt < s.changedAt {
					s.ask(s.old, a)
				}
			},
			"": func(t *rapid.T) {
				for _, p := range pools {
					sum, holders := s.inUse(p)
					assert.Assert(t, sum <= 1+rounding, "%v: shares of %g are in use", p, sum)
					assert.Assert(t, holders <= s.leader.maxHolders(coldRate), "%v: %d entries have shares", p, holders)
				}
			},
		})
	})
}

// run lets each entry sync every 200 ms for a time.
func (s *system) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 200 * time.Millisecond {
		s.pools()
		for _, a := range s.askers {
			a.asking, a.sentAt = true, s.now
			s.ask(s.leader, a)
			a.receive()
		}
	}
}

// TestWholeRateIsUsedAtOnce guards against a rate that lies idle while entries wait for
// shares: all entries that ask get theirs with their first request after an endpoint
// became cold.
func TestWholeRateIsUsedAtOnce(t *testing.T) {
	for _, entries := range []int{1, 3, 17, 250} {
		s := newSystem(entries)
		s.run(time.Second)
		assert.Assert(t, !s.leader.Sharing(s.now))
		s.cold[writers] = coldRate
		s.run(200 * time.Millisecond)
		sum, holders := s.inUse(writers)
		assert.Assert(t, math.Abs(sum-1) < rounding, "%d entries: %g", entries, sum)
		assert.Equal(t, holders, min(entries, 19))
	}
}

// TestSharesFollowTheDemandAndLeaveEachEntrySome guards against an entry with most
// requests that must refuse them, and against one that gets none for its first requests.
func TestSharesFollowTheDemandAndLeaveEachEntrySome(t *testing.T) {
	s := newSystem(4)
	s.cold[writers] = coldRate
	s.run(time.Second)
	s.leader.Update(DemandMsg{"entry2", "writers", 300})
	s.leader.Update(DemandMsg{"entry3", "writers", 100})
	s.run(6 * time.Second)
	for i, share := range []float64{0.125, 0.125, 0.5, 0.25} {
		assert.Assert(t, math.Abs(s.askers[i].held[writers].Share-share) < rounding, "%s: %v", s.askers[i].name, s.askers[i].held)
	}
}

// TestManyEntriesLeaveTheRateToThoseWithDemandNearby guards against shares so small that
// no entry may send a request in a second, and against requests that cross failure domains.
func TestManyEntriesLeaveTheRateToThoseWithDemandNearby(t *testing.T) {
	s := newSystem(250)
	s.cold[writers] = coldRate
	s.run(time.Second)
	for i := range 60 {
		s.leader.Update(DemandMsg{s.askers[i].name, "writers", float64(100 + i)})
	}
	s.run(8 * time.Second)
	var holders []string
	for _, a := range s.askers {
		if s.now < a.until[writers] {
			holders = append(holders, a.name)
			assert.Equal(t, a.domain, "d0")
			assert.Assert(t, a.held[writers].Share*coldRate >= 1, "%v", a.held)
		}
	}
	assert.Equal(t, len(holders), 19)
	assert.Assert(t, slices.Contains(holders, "entry57"), "%v: the most demand in the domain", holders)
}

// TestJoinedEntryGetsItsShareOnceOthersHaveLessLeft guards against an entry that starts
// beside others and would never get a share, or at once what they may still use.
func TestJoinedEntryGetsItsShareOnceOthersHaveLessLeft(t *testing.T) {
	s := newSystem(2)
	s.cold[writers] = coldRate
	s.run(2 * time.Second)
	joined := s.join()
	s.run(200 * time.Millisecond)
	assert.Equal(t, len(joined.held), 0)
	s.run(2 * time.Second)
	assert.Assert(t, math.Abs(joined.held[writers].Share-1.0/3) < rounding, "%v", joined.held)
}

// TestShareOfAnEndedEntryIsGivenToOthers guards against a rate that lies idle after
// entries have ended.
func TestShareOfAnEndedEntryIsGivenToOthers(t *testing.T) {
	s := newSystem(2)
	s.cold[writers] = coldRate
	s.run(time.Second)
	s.askers = s.askers[:1]
	s.run(4 * time.Second)
	sum, _ := s.inUse(writers)
	assert.Assert(t, math.Abs(sum-1) < rounding, "%g", sum)
}

// TestNewLeaderGrantsNothingBeforeEarlierSharesExpire guards against shares of two leaders
// that are in use together.
func TestNewLeaderGrantsNothingBeforeEarlierSharesExpire(t *testing.T) {
	s := New(WithTakeover(time.Minute))
	ask := func(at time.Duration) []Grant {
		s.Update(PoolsMsg{Now: at, Rates: map[Pool]float64{writers: coldRate}})
		return s.Update(AskMsg{Now: at, Entries: []string{"entry0"}})
	}
	assert.Equal(t, len(ask(time.Minute)), 0)
	assert.Equal(t, len(ask(time.Minute+Validity-1)), 0)
	assert.Equal(t, len(ask(time.Minute+2*Validity)), 1)
}

// TestPoolsAreForgottenAfterTheirGrants guards against state and messages that remain
// after all endpoints are warm.
func TestPoolsAreForgottenAfterTheirGrants(t *testing.T) {
	s := newSystem(3)
	s.cold[writers] = coldRate
	s.run(time.Second)
	assert.Assert(t, s.leader.Sharing(s.now))
	clear(s.cold)
	s.run(2 * linger)
	assert.Assert(t, !s.leader.Sharing(s.now))
	s.run(2 * Validity)
	assert.Equal(t, len(s.leader.pools), 0)
	s.askers = nil
	s.run(2 * liveFor)
	assert.Equal(t, len(s.leader.entries), 0)
}

// TestMeterForgetsOldDemand guards against shares by a demand that is over, and against
// readings of entries that have ended.
func TestMeterForgetsOldDemand(t *testing.T) {
	m := NewMeter()
	for at := time.Duration(0); at < 20*time.Second; at += 200 * time.Millisecond {
		m.Update(WorkMsg{Now: time.Hour + at, Entry: "entry0", Service: "writers", Work: 20})
	}
	demand := m.Demands(time.Hour + 20*time.Second)
	assert.Equal(t, len(demand), 1)
	assert.Assert(t, math.Abs(demand[0].Work-100) < 10, "%v", demand)
	assert.Assert(t, m.Demands(time.Hour + 26*time.Second)[0].Work < 10)
	assert.Equal(t, len(m.Demands(2*time.Hour)), 0)
}

// BenchmarkGrant measures what the digests of all control processes cost the leader of 250
// entries in one round, while endpoints of two services are cold in three failure domains.
func BenchmarkGrant(b *testing.B) {
	s := newSystem(250)
	for _, service := range []string{"writers", "desk"} {
		for i := range 3 {
			s.cold[Pool{service, fmt.Sprint("d", i)}] = coldRate
		}
	}
	s.run(2 * time.Second)
	for b.Loop() {
		s.now += 20 * time.Millisecond
		s.pools()
		for i := 0; i < len(s.askers); i += 3 {
			names := []string{s.askers[i].name}
			for _, a := range s.askers[i+1 : min(i+3, len(s.askers))] {
				names = append(names, a.name)
			}
			s.leader.Update(AskMsg{Now: s.now, FailureDomain: s.askers[i].domain, Entries: names})
		}
	}
}
