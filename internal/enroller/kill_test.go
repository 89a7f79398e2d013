package enroller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	tenth       = 100 * time.Millisecond
	settleTime  = 3 * time.Second
	recoverTime = 8 * time.Second
	killSeeds   = 20
	// refusedFrom is the delay from which on a second machine may be gone for good where the
	// address of the killed process refuses connections, and silent ones where it swallows them.
	refusedFrom        = 3 * tenth
	silentFollowerFrom = 5 * tenth
	silentLeaderFrom   = 16 * tenth
)

// secondLoss is what happens to another machine after the first one was killed.
type secondLoss func(l *timeline, id string, silent bool)

// emptied loses the disk of a machine, which is back after a while.
func emptied(l *timeline, id string, silent bool) { l.empty(id, silent, 1500*time.Millisecond) }

// gone takes a machine away for good and adds one at another address.
func gone(l *timeline, id string, silent bool) {
	l.kill(id, silent)
	l.after(1500*time.Millisecond, func() { l.found("successor@9", nil) })
}

// survives kills the leader or a follower of four voters without notice, loses another machine
// after the delay and reports whether control is whole again.
func survives(seed uint64, killsLeader, silent bool, delay time.Duration, second int, lose secondLoss) bool {
	l := newTimeline(4, seed)
	l.run(settleTime + time.Duration(seed)*7*time.Millisecond)
	leader := l.leader()
	if leader == nil {
		return false
	}
	others := l.others(leader.id)
	killed, candidates := leader.id, others
	if !killsLeader {
		killed = others[seed%uint64(len(others))]
		candidates = append([]string{leader.id}, l.others(killed)...)
	}
	l.kill(killed, silent)
	l.run(delay)
	// The new leader is the worst second loss, unless it is already known.
	lost := candidates[second%len(candidates)]
	if next := l.leader(); second == 0 && next != nil {
		lost = next.id
	}
	if lost == killed {
		lost = others[0]
	}
	lose(l, lost, silent)
	l.run(recoverTime)
	return l.settled() && l.fewest >= modelledMinimum-1
}

// playKills plays both losses with each delay, kind of end and first machine, and calls check
// with the number of plays after which control is lost.
func playKills(lose secondLoss, check func(killsLeader, silent bool, delay time.Duration, lost int)) {
	for _, silent := range []bool{false, true} {
		for _, killsLeader := range []bool{false, true} {
			for delay := time.Duration(0); delay <= 20*tenth; delay += tenth {
				lost := 0
				for seed := range uint64(killSeeds) {
					for second := range 2 {
						if !survives(seed, killsLeader, silent, delay, second, lose) {
							lost++
						}
					}
				}
				check(killsLeader, silent, delay, lost)
			}
		}
	}
}

// TestLostDiskAfterAKillWithoutNotice plays, with the real replica by the clock, a voter of
// four that is killed without notice and another disk lost after each tenth of a second. It
// guards against a spare voter that counts for the quorum for so long that the lost disk
// leaves no majority for good, at whatever time it comes.
func TestLostDiskAfterAKillWithoutNotice(t *testing.T) {
	playKills(emptied, func(killsLeader, silent bool, delay time.Duration, lost int) {
		assert.Check(t, lost == 0, "silent=%t leader=%t delay=%s: %d lost", silent, killsLeader, delay, lost)
	})
}

// TestAnotherLossAfterAKillWithoutNotice plays the same with a second machine that is gone
// for good. Nothing proves that its disk is lost, so that the first one must have been removed.
func TestAnotherLossAfterAKillWithoutNotice(t *testing.T) {
	playKills(gone, func(killsLeader, silent bool, delay time.Duration, lost int) {
		from := refusedFrom
		if silent {
			from = silentFollowerFrom
		}
		if silent && killsLeader {
			from = silentLeaderFrom
		}
		t.Logf("silent=%t leader=%t delay=%s: %d lost", silent, killsLeader, delay, lost)
		assert.Check(t, delay < from || lost == 0, "silent=%t leader=%t delay=%s", silent, killsLeader, delay)
	})
}

// TestProcessThatComesAndGoesCausesFewChanges guards against a membership change every
// 200 ms for a process that is killed and started again and again.
func TestProcessThatComesAndGoesCausesFewChanges(t *testing.T) {
	const period, cycles = 2 * time.Second, 60
	l := newTimeline(4, 1)
	l.run(settleTime)
	flapping := l.others(l.leader().id)[0]
	for range cycles {
		l.kill(flapping, false)
		l.run(tenth)
		l.start(l.processes[flapping])
		l.run(period - tenth)
	}
	// The bars double from 2 s to 16 s: eleven times in the two minutes, of two changes each.
	assert.Assert(t, l.changes <= 22, "%d changes", l.changes)
	l.run(2 * lastBar)
	assert.Assert(t, l.settled(), "the process never votes again")
}

// TestFrozenProcessesLeaveTheNeededVoters guards against voters that are given up one after
// another while they, or the leader, are frozen and thaw again.
func TestFrozenProcessesLeaveTheNeededVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "processes")
		l := newTimeline(n, rapid.Uint64().Draw(t, "seed"))
		l.run(settleTime)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			p := l.processes[fmt.Sprint("f@", rapid.IntRange(0, n-1).Draw(t, "process"))]
			p.frozen = !p.frozen
			l.run(time.Duration(rapid.IntRange(10, 2500).Draw(t, "milliseconds")) * time.Millisecond)
		}
		for _, p := range l.processes {
			p.frozen = false
		}
		l.run(2*lastBar + recoverTime)
		if l.fewest < modelledMinimum {
			t.Fatalf("%d voters were left", l.fewest)
		}
		if !l.settled() {
			t.Fatalf("control does not settle")
		}
	})
}

// TestSuccessorThatMustWaitReplacesALostVoter guards against a successor that was given up
// under load and still waits while one of the voters that are needed has ended.
func TestSuccessorThatMustWaitReplacesALostVoter(t *testing.T) {
	l := newTimeline(4, 1)
	l.run(settleTime)
	others := l.others(l.leader().id)
	for range 4 {
		l.run(lastBar)
		l.kill(others[0], false)
		l.run(tenth)
		l.start(l.processes[others[0]])
	}
	l.kill(others[1], false)
	l.run(lastBar / 2)
	assert.Assert(t, l.settled(), "the successor waits")
}
