package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// traffic is a number of calls under way while failures are caused.
type traffic struct {
	s      *system
	d      deployment
	wg     sync.WaitGroup
	chats  []reply
	orders []reply
}

// startTraffic sends streamed model requests and keyed orders over both
// entries, all at once.
func (s *system) startTraffic(d deployment, n int) *traffic {
	f := &traffic{s: s, d: d, chats: make([]reply, n), orders: make([]reply, n)}
	f.wg.Add(2 * n)
	for i := range n {
		go func() {
			defer f.wg.Done()
			f.chats[i] = s.chat(i%2, d, f.prompt(i), 60, true, nil)
		}()
		go func() {
			defer f.wg.Done()
			f.orders[i] = s.order(i%2, d, f.body(i), f.body(i))
		}()
	}
	return f
}

func (f *traffic) prompt(i int) string { return fmt.Sprintf("island %d", i) }

func (f *traffic) body(i int) string { return fmt.Sprintf("parchment %d", i) }

// check waits for the calls: each model request must have been answered whole;
// where no group was left for longer than an entry waits, it may also have ended
// with its verdict, "not run" only without a word of an answer. Each order must
// have run at most once, also when it is sent again over the other entry, and
// have ended with a verdict.
func (f *traffic) check(groupLeft bool) {
	f.s.t.Helper()
	f.wg.Wait()
	for i, r := range f.chats {
		if !groupLeft && !r.whole {
			f.checkVerdict(i, r)
			continue
		}
		assert.Equal(f.s.t, r.text, expected(f.prompt(i), 60), "%s: %+v %v", f.prompt(i), r.err, r.broken)
		assert.Assert(f.s.t, r.whole, f.prompt(i))
	}
	for i := range f.orders {
		again := f.s.order((i+1)%2, f.d, f.body(i), f.body(i))
		for _, r := range []reply{f.orders[i], again} {
			certain := r.status == 201 || r.err.Verdict == "may-have-run" || r.err.Verdict == "not-run"
			assert.Assert(f.s.t, certain, "%s: status %d, %+v, %v", f.body(i), r.status, r.err, r.broken)
		}
		n := f.s.placed(f.body(i))
		assert.Assert(f.s.t, n <= 1, "%s ran %d times", f.body(i), n)
		answered := f.orders[i].status == 201 || again.status == 201
		assert.Assert(f.s.t, n == 1 || !answered, "%s was answered and never ran", f.body(i))
	}
}

func (f *traffic) checkVerdict(i int, r reply) {
	f.s.t.Helper()
	mayHaveRun := r.err.Verdict == "may-have-run" && strings.HasPrefix(expected(f.prompt(i), 60), r.text)
	notRun := r.err.Verdict == "not-run" && r.text == ""
	assert.Assert(f.s.t, mayHaveRun || notRun, "%s: %q, %+v %v", f.prompt(i), r.text, r.err, r.broken)
}

// healed checks that a new ticket is accepted and runs everywhere.
func (s *system) healed(d deployment, groups int) {
	s.t.Helper()
	s.accept(ticketText(2, "hana", d, groups))
	s.untilServing(groups + d.services)
	s.until("the new version runs everywhere", func() bool {
		for i := range groups {
			if group := s.group(fmt.Sprintf("%s-%d", d.model, i)); !group.Ready || group.Version != "v2" {
				return false
			}
		}
		return true
	})
}

// killInstance ends an instance's endpoint and side process.
func (s *system) killInstance(name string) {
	s.kill(name)
	s.kill(name + "-endpoint")
}

func (s *system) launchInstance(name string) {
	s.launch(s.processes[name])
	s.launch(s.processes[name+"-endpoint"])
}

// TestMemberAndControlLeaderDieTogether ends a member of a group that runs
// requests, and the control leader that would replace it.
func TestMemberAndControlLeaderDieTogether(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	s := start(t, d)
	s.declare(d, 2)
	control := s.leader()
	f := s.startTraffic(d, 8)
	member := s.running(d).Members[1]
	s.killInstance(member)
	s.kill(control)
	f.check(true)
	s.launch(s.processes[control])
	s.launchInstance(member)
	s.healed(d, 2)
}

// TestPausedLeaderAndDeadMemberOfAnotherGroup stops the leader of one group for
// a while and ends a member of the other one.
func TestPausedLeaderAndDeadMemberOfAnotherGroup(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	s := start(t, d)
	s.declare(d, 2)
	paused, dead := s.group(d.model + "-0").Members[0], s.group(d.model + "-1").Members[1]
	f := s.startTraffic(d, 8)
	s.running(d)
	s.signal(paused, syscall.SIGSTOP)
	s.killInstance(dead)
	s.launchInstance(dead)
	s.until("a group serves again", func() bool {
		return s.group(d.model+"-0").Ready || s.group(d.model+"-1").Ready
	})
	s.signal(paused, syscall.SIGCONT)
	f.check(false)
	s.healed(d, 2)
}

// TestSecondMemberDiesRightAfterTheRepairUnderACutControlLeader lets nothing
// reach the control leader any more when a member dies, and ends another
// member of the same group as soon as it was repaired.
func TestSecondMemberDiesRightAfterTheRepairUnderACutControlLeader(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.forwardControls = true
	s := start(t, d)
	s.declare(d, 1)
	control := s.leader()
	before := s.group(d.model + "-0")
	f := s.startTraffic(d, 8)
	s.forwards[control].setCut(true)
	s.killInstance(before.Members[1])
	var after []string
	s.until("the group was repaired", func() bool {
		group := s.group(d.model + "-0")
		after = group.Members
		return group.Epoch > before.Epoch && len(group.Members) == 2
	})
	s.killInstance(after[0])
	f.check(false)
	s.forwards[control].setCut(false)
	s.launchInstance(before.Members[1])
	s.launchInstance(after[0])
	s.healed(d, 1)
}

// TestEntryAndSideOfTheOrdersDieWhileControlIsWithoutAMajority ends an entry, the
// side process of an order service and two of three control processes.
func TestEntryAndSideOfTheOrdersDieWhileControlIsWithoutAMajority(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	d.instances = 2
	s := start(t, d)
	s.declare(d, 1)
	f := s.startTraffic(d, 8)
	side := d.service + "-1"
	lost := []string{"control-1", "control-2", side}
	for _, name := range lost {
		s.kill(name)
	}
	f.check(true)
	for _, name := range lost {
		s.launch(s.processes[name])
	}
	s.healed(d, 1)
}
