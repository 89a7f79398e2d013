package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCallerWhoLeavesCancelsItsWork closes a stream in the middle: the leader
// stops the work at the endpoint.
func TestCallerWhoLeavesCancelsItsWork(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 2, 1
	s := start(t, d)
	s.declare(d, 1)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":5000,"messages":[{"role":"user","content":"x"}]}`, d.model)
	response, err := s.post(0, "/v1/chat/completions", body, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	s.until("it runs", func() bool { return s.group(d.model+"-0").Running == 1 })
	assert.NilError(t, response.Body.Close())
	s.until("nothing runs any more", func() bool { return s.group(d.model+"-0").Running == 0 })
}

// TestSecondSignalSaysWhatItCuts stops an entry twice while a stream is open.
func TestSecondSignalSaysWhatItCuts(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	d.instances, d.services = 2, 1
	s := start(t, d)
	s.declare(d, 1)
	r := s.chat(0, d, "long report", 400, true, func(n int) {
		switch n {
		case 5:
			s.signal("entry-1", syscall.SIGTERM)
		case 30:
			s.signal("entry-1", syscall.SIGTERM)
		}
	})
	assert.Assert(t, !r.whole)
	assert.NilError(t, s.awaitEnd("entry-1"))
	data, err := os.ReadFile(s.processes["entry-1"].log)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), `msg="stop forced"`) && strings.Contains(string(data), "cut=1"), string(data))
}

// TestLeavingEndpointGetsNoNewWork stops endpoints, a model engine's and a
// service's, under load: nothing is cut, nothing new comes after a few seconds,
// and the group comes back without the side process being touched.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.services = 2
	s := start(t, d)
	s.declare(d, 2)
	leaving := []string{s.group(d.model + "-0").Members[1] + "-endpoint", "orders-1-endpoint"}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("cove %d %d", i, n)
				if r := s.chat(i%2, d, prompt, 30, true, nil); r.text != expected(prompt, 30) || !r.whole {
					failures <- fmt.Sprintf("%q: %+v %v", prompt, r.err, r.broken)
				}
				if r := s.order(i%2, d, prompt, ""); r.status != 201 {
					failures <- fmt.Sprintf("order %q: %+v %v", prompt, r.err, r.broken)
				}
			}
		}()
	}
	for _, name := range leaving {
		s.signal(name, syscall.SIGTERM)
	}
	for _, name := range leaving {
		assert.NilError(t, s.awaitEnd(name))
		data, err := os.ReadFile(s.processes[name].log)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(data), "work after leaving"), string(data))
		assert.Assert(t, strings.Contains(string(data), `msg="stop complete" process=`) && strings.Contains(string(data), "cut=0"), string(data))
	}
	close(stop)
	wg.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
	for _, name := range leaving {
		s.launch(s.processes[name])
	}
	s.untilServing(2 + d.services)
}

// TestStragglerIsReplacedWhileItsGroupServes starts one endpoint that is five
// times as slow as the others: it is replaced by the free instance, and every
// request meanwhile is answered.
func TestStragglerIsReplacedWhileItsGroupServes(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	d.services, d.slow = 1, "instance-2"
	s := start(t, d)
	s.declare(d, 2)
	held := func() bool {
		for _, group := range s.status().Groups {
			if slices.Contains(group.Members, d.slow) {
				return true
			}
		}
		return false
	}
	assert.Assert(t, held())
	n := 0
	s.until("the straggler is replaced", func() bool {
		n++
		prompt := fmt.Sprintf("stain %d", n)
		r := s.chat(n%2, d, prompt, 3, false, nil)
		assert.Equal(t, r.text, expected(prompt, 3), "%+v", r.err)
		return !held()
	})
	s.untilServing(2 + d.services)
}

// TestCutMemberEndsServiceWithoutControl cuts a member off from its leader:
// the group must stop serving by its own grants, and serve again after.
func TestCutMemberEndsServiceWithoutControl(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 2, 1
	d.forwarded = []string{"instance-1", "instance-2"}
	s := start(t, d)
	s.declare(d, 1)
	member := s.group(d.model + "-0").Members[1]
	for i := range 3 {
		s.signal(fmt.Sprintf("control-%d", i+1), syscall.SIGSTOP)
	}
	s.forwards[member].setCut(true)
	leader := s.processes[s.leaderOf(d, member)]
	s.until("the leader gave up serving", func() bool {
		data, _ := os.ReadFile(leader.log)
		return strings.Contains(string(data), "complete=false")
	})
	s.forwards[member].setCut(false)
	s.until("the leader serves again", func() bool {
		data, _ := os.ReadFile(leader.log)
		return strings.Count(string(data), "complete=true") >= 2
	})
	for i := range 3 {
		s.signal(fmt.Sprintf("control-%d", i+1), syscall.SIGCONT)
	}
	r := s.chat(0, d, "after the cut", 5, false, nil)
	assert.Equal(t, r.text, expected("after the cut", 5), "%+v", r.err)
}

// leaderOf returns the other instance of a group of two.
func (s *system) leaderOf(d deployment, member string) string {
	for i := range d.instances {
		if name := fmt.Sprintf("instance-%d", i+1); name != member {
			return name
		}
	}
	return ""
}

// TestServiceGoesOnWithoutControl stops all control processes: requests are
// still answered, and an order with a key, whose claim can not be committed, is
// refused as not run.
func TestServiceGoesOnWithoutControl(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	d.instances, d.services = 2, 1
	s := start(t, d)
	s.declare(d, 1)
	for i := range 3 {
		s.kill(fmt.Sprintf("control-%d", i+1))
	}
	for i := range 8 {
		prompt := fmt.Sprintf("stain %d", i)
		assert.Equal(t, s.chat(i%2, d, prompt, 5, false, nil).text, expected(prompt, 5))
	}
	assert.Equal(t, s.order(0, d, "12 sheets", "").status, 201)
	keyed := s.order(0, d, "12 sheets", "k-1")
	assert.Equal(t, keyed.err.Code, "claim-unavailable")
	assert.Equal(t, keyed.err.Verdict, "not-run")
	assert.Equal(t, s.runs(d.service), 1)
}
