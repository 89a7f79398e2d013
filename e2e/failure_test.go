package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"papayaseam/internal/faker"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// TestKilledMemberLosesNoAnswer kills the engine of a member, then the side
// process of a leader, each in the middle of a stream: the caller still gets
// the whole answer.
func TestKilledMemberLosesNoAnswer(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	s := start(t, d)
	s.declare(d, 2)
	for _, victim := range []func() string{
		func() string { return s.running(d).Members[1] + "-endpoint" },
		func() string { return s.running(d).Members[0] },
	} {
		killed := ""
		r := s.chat(0, d, "the map of seven coves", 60, true, func(n int) {
			if n == 10 {
				killed = victim()
				s.kill(killed)
			}
		})
		assert.NilError(t, r.broken)
		assert.Equal(t, r.err.Message, "", "after %s was killed", killed)
		assert.Equal(t, r.text, expected("the map of seven coves", 60))
		assert.Assert(t, r.whole)
		s.launch(s.processes[killed])
		s.untilServing(2 + d.services)
	}
}

// running returns the model group that runs something now.
func (s *system) running(d deployment) messenger.GroupState {
	var found messenger.GroupState
	s.until("a group runs a request", func() bool {
		for _, group := range s.status().Groups {
			if group.Model == d.model && group.Running > 0 {
				found = group
				return true
			}
		}
		return false
	})
	return found
}

// TestOrderRunsAtMostOnce sends keyed orders while side processes of the
// service and an entry are killed, and sends each again through both entries.
func TestOrderRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	s := start(t, d)
	s.declare(d, 1)
	var wg sync.WaitGroup
	answered := make([]bool, 12)
	for i := range answered {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answered[i] = s.order(i%2, d, fmt.Sprintf("order %d", i), fmt.Sprintf("key-%d", i)).status == 201
		}()
	}
	s.kill("orders-1")
	s.kill("entry-1")
	s.launch(s.processes["orders-1"])
	s.launch(s.processes["entry-1"])
	wg.Wait()
	s.untilServing(1 + d.services)
	s.untilListening(0)
	for i := range answered {
		for entry := range 2 {
			r := s.order(entry, d, fmt.Sprintf("order %d", i), fmt.Sprintf("key-%d", i))
			certain := r.status == 201 || r.err.Verdict == "may-have-run" || r.err.Verdict == "not-run"
			assert.Assert(t, certain, "order %d: status %d, %+v, %v", i, r.status, r.err, r.broken)
		}
	}
	for i := range answered {
		n := s.placed(fmt.Sprintf("order %d", i))
		assert.Assert(t, n <= 1, "order %d ran %d times", i, n)
	}
	assert.Assert(t, s.runs("orders") <= len(answered), "%d runs of %d orders", s.runs("orders"), len(answered))
}

// placed is the number of starts of an order that the logs of the service's
// endpoints show.
func (s *system) placed(body string) int {
	n := 0
	for name, p := range s.processes {
		if !strings.HasSuffix(name, "-endpoint") {
			continue
		}
		data, _ := os.ReadFile(p.log)
		n += strings.Count(string(data), fmt.Sprintf("body=%q", body))
	}
	return n
}

// TestReusedKeyWithOtherContentIsRefused checks that a key stands for one
// content, and that the same content gets the same answer.
func TestReusedKeyWithOtherContentIsRefused(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	s := start(t, d)
	s.declare(d, 1)
	first := s.order(0, d, "12 blankets", "pickup-7")
	assert.Equal(t, first.status, 201)
	again := s.order(1, d, "12 blankets", "pickup-7")
	assert.Equal(t, again.status, 201)
	assert.Equal(t, again.text, first.text)
	other := s.order(1, d, "99 blankets", "pickup-7")
	assert.Equal(t, other.err.Code, "key-reused")
	assert.Equal(t, other.err.Verdict, "not-run")
	assert.Equal(t, s.runs(d.service), 1)
}

// TestSilentConnectionIsLeftForANewOne makes the connections to a group's
// leader go silent in the middle of a stream and of an order.
func TestSilentConnectionIsLeftForANewOne(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 2, 1
	d.forwarded = []string{"instance-1", "instance-2", "orders-1"}
	s := start(t, d)
	s.declare(d, 1)
	r := s.chat(0, d, "under the third pine", 80, true, func(n int) {
		if n == 10 {
			s.forwards[s.group(d.model + "-0").Members[0]].silence()
		}
	})
	assert.NilError(t, r.broken)
	assert.Equal(t, r.text, expected("under the third pine", 80))
	assert.Assert(t, r.whole)
	s.forwards["orders-1"].silence()
	o := s.order(0, d, "one parchment", "silent-1")
	assert.Equal(t, o.status, 201, "%+v", o.err)
	assert.Equal(t, s.runs("orders"), 1)
}

// TestRunningOrderIsFoundAgainAfterSilence makes the connection go silent while
// the order runs, which must not be repeated: its answer is fetched over a new
// connection.
func TestRunningOrderIsFoundAgainAfterSilence(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	d.instances, d.services, d.first = 2, 1, 5000
	d.forwarded = []string{"collections-1"}
	s := start(t, d)
	s.declare(d, 1)
	replies := make(chan reply, 1)
	go func() { replies <- s.order(0, d, "12 bundles", "") }()
	s.until("the order runs", func() bool { return s.runs(d.service) == 1 })
	s.forwards["collections-1"].silence()
	r := <-replies
	assert.Equal(t, r.status, 201, "%+v", r.err)
	assert.Assert(t, strings.Contains(r.text, "12 bundles"), r.text)
	assert.Equal(t, s.runs(d.service), 1)
}

// TestCrashingRequestIsStoppedEverywhere sends a request that crashes each
// engine that runs it, again and again through both entries.
func TestCrashingRequestIsStoppedEverywhere(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	s := start(t, d)
	s.declare(d, 2)
	for i := range 6 {
		r := s.chat(i%2, d, faker.CrashWord, 10, i%3 == 0, nil)
		assert.Assert(t, !r.whole)
		assert.Equal(t, r.err.Code, "request-held", "%+v", r.err)
	}
	crashes := 0
	for name, p := range s.processes {
		if strings.HasSuffix(name, "-endpoint") {
			data, _ := os.ReadFile(p.log)
			crashes += strings.Count(string(data), "engine crashed")
		}
	}
	assert.Assert(t, crashes <= 2, "%d crashes", crashes)
	s.untilServing(2 + d.services)
	for i, hold := range s.status().Holds {
		out, code := s.submit(fmt.Sprintf("[ticket]\nnumber = %d\nauthor = hana\nreason = engine mended\n[remove hold %s]\n", 10+i, hold))
		assert.Equal(t, code, 0, out)
	}
	assert.Equal(t, len(s.status().Holds), 0)
	r := s.chat(0, d, "an honest verse", 10, false, nil)
	assert.Equal(t, r.text, expected("an honest verse", 10))
}

// TestPausedLeaderServesNothingStale stops a leader's side process until its
// group was given up and rebuilt elsewhere, then lets it go on.
func TestPausedLeaderServesNothingStale(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	s := start(t, d)
	s.declare(d, 1)
	before := s.group(d.model + "-0")
	s.signal(before.Members[0], syscall.SIGSTOP)
	s.until("the group has moved on without the paused member", func() bool {
		group := s.group(d.model + "-0")
		return group.Ready && group.Epoch > before.Epoch
	})
	s.signal(before.Members[0], syscall.SIGCONT)
	for i := range 10 {
		prompt := fmt.Sprintf("verse %d", i)
		r := s.chat(i%2, d, prompt, 5, false, nil)
		assert.Equal(t, r.text, expected(prompt, 5), "%+v", r.err)
	}
	s.until("the returned member holds no group", func() bool {
		for _, p := range s.status().Processes {
			if p.Instance == before.Members[0] {
				return p.AgeMs < 2000 && p.Group == ""
			}
		}
		return false
	})
}

// TestPlannedStopCutsNothing stops an entry and a leader's side process while
// streams run through them.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	s := start(t, d)
	s.declare(d, 2)
	stopped := ""
	r := s.chat(0, d, "blankets for the upper hut", 100, true, func(n int) {
		switch n {
		case 10:
			stopped = s.running(d).Members[0]
			s.signal(stopped, syscall.SIGTERM)
		case 20:
			s.signal("entry-1", syscall.SIGTERM)
		}
	})
	assert.NilError(t, r.broken)
	assert.Equal(t, r.text, expected("blankets for the upper hut", 100))
	assert.Assert(t, r.whole)
	assert.NilError(t, s.awaitEnd(stopped))
	assert.NilError(t, s.awaitEnd("entry-1"))
	data, err := os.ReadFile(s.processes[stopped].log)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), `msg="stop complete"`), string(data))
	assert.Assert(t, strings.Contains(string(data), "verdict=answered"), string(data))
	late := s.chat(1, d, "more blankets", 5, false, nil)
	assert.Equal(t, late.text, expected("more blankets", 5))
}

// TestControlSurvivesItsLosses kills the control leader, loses a data folder,
// pauses a leader until it is replaced, and submits tickets all the while.
func TestControlSurvivesItsLosses(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	s := start(t, d)
	s.declare(d, 1)

	leader := s.leader()
	s.kill(leader)
	s.accept(ticketText(2, "hana", d, 1))
	s.launch(s.processes[leader])

	leader = s.leader()
	s.signal(leader, syscall.SIGSTOP)
	s.accept(ticketText(3, "hana", d, 1))
	s.signal(leader, syscall.SIGCONT)
	s.accept(ticketText(4, "hana", d, 1))

	lost := "control-1"
	s.kill(lost)
	assert.NilError(t, os.RemoveAll(filepath.Join(s.folder, lost)))
	s.launch(s.processes[lost])
	s.until("the lost one is a new voter", func() bool {
		voters := strings.Join(s.status().Voters, " ")
		return strings.Contains(voters, lost+"/") && !strings.Contains(voters, lost+"@")
	})
	s.accept(ticketText(5, "hana", d, 1))

	out, code := s.submit(ticketText(2, "hana", d, 1))
	assert.Equal(t, code, 0, "a resent ticket gets its first answer: %s", out)
	out, code = s.submit(ticketText(2, "ren", d, 2))
	assert.Equal(t, code, 3, "another ticket of a used number is refused: %s", out)
	assert.Assert(t, strings.Contains(out, "hana"), out)
	s.until("the newest version runs", func() bool {
		group := s.group(d.model + "-0")
		return group.Ready && group.Version == "v5"
	})
}

// accept submits a ticket until it is accepted, as an operator does who lost
// the answer.
func (s *system) accept(text string) {
	s.t.Helper()
	s.until("the ticket is accepted", func() bool {
		_, code := s.submit(text)
		return code == 0
	})
}

// leader returns the control process that leads.
func (s *system) leader() string {
	name := ""
	s.until("control has a leader", func() bool {
		name, _, _ = strings.Cut(s.status().Leader, "@")
		name, _, _ = strings.Cut(name, "/")
		return name != ""
	})
	return name
}

// TestRacingTicketsHaveOneWinner submits different tickets of one number at
// the same time.
func TestRacingTicketsHaveOneWinner(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	d.instances, d.services = 2, 1
	s := start(t, d)
	s.declare(d, 1)
	for number := 2; number < 6; number++ {
		codes := make([]int, 4)
		outs := make([]string, 4)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				outs[i], codes[i] = s.submit(ticketText(number, fmt.Sprintf("operator-%d", i), d, 1+i), "--output", "json")
			}()
		}
		wg.Wait()
		s.checkRace(codes, outs)
	}
}

func (s *system) checkRace(codes []int, outs []string) {
	s.t.Helper()
	winner := ""
	for i, code := range codes {
		if code == 0 {
			assert.Equal(s.t, winner, "", "two winners")
			winner = fmt.Sprintf("operator-%d", i)
		}
	}
	assert.Assert(s.t, winner != "", "no winner: %v", outs)
	for i, code := range codes {
		if code == 0 {
			continue
		}
		var answer messenger.TicketAnswer
		text, _, _ := strings.Cut(outs[i], "\npapayaseam:")
		assert.NilError(s.t, json.Unmarshal([]byte(text), &answer), outs[i])
		assert.Equal(s.t, answer.Winner, winner)
	}
}

// TestReturningProcessIsCurrentInOneExchange stops an entry, commits hundreds
// of changes, and starts it again.
func TestReturningProcessIsCurrentInOneExchange(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 2, 1
	s := start(t, d)
	s.declare(d, 1)
	s.signal("entry-2", syscall.SIGSTOP)
	s.kill("entry-1")
	for number := 2; number < 302; number++ {
		s.acceptDirect(number, d)
	}
	s.signal("entry-2", syscall.SIGCONT)
	s.launch(s.processes["entry-1"])
	out, code := s.command("ticket", "show", "301")
	s.until("both entries have the newest ticket", func() bool {
		out, code = s.command("ticket", "show", "301")
		return code == 0 && strings.Contains(out, "true")
	})
}
