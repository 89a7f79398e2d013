package gatekeeper_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// crash ends the process of a fake endpoint as seen from outside: its connections
// break, nothing listens at its address, and control no longer names it.
func (s *testSystem) crash(e *fakeEndpoint, w http.ResponseWriter, r *http.Request) {
	e.crashed.Store(true)
	_ = e.server.Listener.Close()
	s.mu.Lock()
	changes := s.response.Changes
	changes.Groups = slices.DeleteFunc(slices.Clone(changes.Groups), func(g messenger.GroupView) bool { return g.Members[0] == r.Header.Get("Instance") })
	changes.View++
	s.mu.Unlock()
	abortConnection(w, r)
}

// addCrashingEndpoint starts an endpoint of the writers that crashes when it begins a
// request with the given end of its path or part of its prompt, and serves all others.
func (s *testSystem) addCrashingEndpoint(deadly string) *fakeEndpoint {
	var e *fakeEndpoint
	e = s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, deadly) || slices.Contains(strings.Fields(r.Header.Get("Parts")), deadly) {
			s.crash(e, w, r)
		}
		writeEvents(w, 1, 2)
	})
	return e
}

// metricLine returns the exposed line of a metric, or "" if there is none.
func metricLine(name string) string {
	var out strings.Builder
	metrics.WritePrometheus(&out, false)
	for line := range strings.Lines(out.String()) {
		if strings.HasPrefix(line, name+" ") {
			return line
		}
	}
	return ""
}

// TestCrashIsToldFromLostConnection guards against a count of crashes that includes
// endpoints which only lost a connection.
func TestCrashIsToldFromLostConnection(t *testing.T) {
	const name = "papayaseam_endpoint_crashes_total"
	s := newSystem(t, time.Minute)
	s.addEndpoint("writers", abortConnection)
	s.start()
	before := metricLine(name)
	_, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, metricLine(name), before)

	s = newSystem(t, time.Minute)
	s.addCrashingEndpoint("/deadly")
	s.start()
	_, _, err = s.call(http.MethodPost, "/verse/deadly", "prompt")
	assert.NilError(t, err)
	assert.Assert(t, metricLine(name) != before)
}

// TestLostRequestTellsWhatWasObservedAndProved guards against a log in which a cut that
// refuses connections can't be told from a crash.
func TestLostRequestTellsWhatWasObservedAndProved(t *testing.T) {
	s := newSystem(t, time.Minute)
	var e *fakeEndpoint
	e = s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/later") {
			s.addSuccessor()
			syncs := s.syncCount()
			waitUntil(t, func() bool { return s.syncCount() > syncs+1 })
		}
		_ = e.server.Listener.Close()
		abortConnection(w, r)
	})
	s.start()
	_, _, _ = s.call(http.MethodPost, "/verse/later", "prompt")
	waitUntil(t, func() bool { return strings.Contains(s.logged.String(), "observed=refused proof=later-boot") })

	s = newSystem(t, time.Minute)
	s.addCrashingEndpoint("/deadly")
	s.start()
	_, _, _ = s.call(http.MethodPost, "/verse/deadly", "prompt")
	waitUntil(t, func() bool { return strings.Contains(s.logged.String(), "observed=refused proof=none") })
}

// addSuccessor makes control name a later boot at the address of the first endpoint.
func (s *testSystem) addSuccessor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.response.Changes
	successor := changes.Endpoints[0]
	successor.Instance, successor.Born = "successor", successor.Born+1
	changes.Endpoints = append(slices.Clone(changes.Endpoints), successor)
	changes.View++
}

// TestEndOfAnEndpointThatSaidItLeavesIsNoCrash guards against requests that are held since
// endpoints have ended under them that had said in their answers that they leave, while
// control did not know.
func TestEndOfAnEndpointThatSaidItLeavesIsNoCrash(t *testing.T) {
	const name = "papayaseam_endpoint_crashes_total"
	s := newSystem(t, time.Minute)
	var e *fakeEndpoint
	e = s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		_ = http.NewResponseController(w).Flush()
		s.crash(e, w, r)
	})
	s.start()
	before := metricLine(name)
	_, _, _ = s.call(http.MethodPost, "/verse/1", "prompt")
	assert.Assert(t, e.crashed.Load())
	assert.Equal(t, metricLine(name), before)
}

// endedEndpoints returns how many endpoints have crashed.
func (s *testSystem) endedEndpoints() int {
	ended := 0
	for _, e := range s.endpoints {
		if e.crashed.Load() {
			ended++
		}
	}
	return ended
}

// TestRequestThatCrashesEndpointsIsHeldAfterThree guards against a request that
// crashes what runs it and comes again and again, each time as a new client attempt,
// until no endpoint is left.
func TestRequestThatCrashesEndpointsIsHeldAfterThree(t *testing.T) {
	s := newSystem(t, time.Minute)
	for range 8 {
		s.addCrashingEndpoint("/deadly")
	}
	s.start()
	for i := range 8 {
		_, _, _ = s.call(http.MethodPost, "/verse/deadly", "prompt", "Attempt", fmt.Sprint("deadly", i))
		response, body, err := s.call(http.MethodPost, fmt.Sprint("/verse/", i), "prompt", "Attempt", fmt.Sprint("sound", i))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, completeStream(2))
	}
	assert.Equal(t, s.endedEndpoints(), 3)
}

// setQuarantine makes control tell the entry of crashes under a key.
func (s *testSystem) setQuarantine(revision int, records ...messenger.QuarantineRecord) {
	s.setQuarantineChanges(messenger.QuarantineChanges{Revision: revision, Whole: true, Records: records})
}

// setQuarantineChanges makes control send changes of its table to the entry.
func (s *testSystem) setQuarantineChanges(changes messenger.QuarantineChanges) {
	s.t.Helper()
	s.mu.Lock()
	s.response.Quarantine = &changes
	syncs := s.syncs
	s.mu.Unlock()
	waitUntil(s.t, func() bool { return s.syncCount() > syncs+1 })
}

// reported returns the commands that the entry sent to control.
func (s *testSystem) reported() []messenger.QuarantineCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

// deadlyKey is the fingerprint of the request /verse/deadly of these tests.
var deadlyKey = quarantiner.Fingerprint("press", "a.example", http.MethodPost, "/verse/deadly", "prompt")

// TestContentHeldByControlReachesNoEndpoint guards against an entry that waits for
// crashes of its own although others have seen enough.
func TestContentHeldByControlReachesNoEndpoint(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("writers", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	s.start()
	s.setQuarantine(1, messenger.QuarantineRecord{Key: deadlyKey, Crashes: 3})
	response, _, err := s.call(http.MethodPost, "/verse/deadly", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Equal(t, time.Duration(after)*time.Second, quarantiner.FirstHold)
	assert.Equal(t, e.requestCount(), 0)
	for _, other := range []string{"/verse/sound", "/verse/deadly/2"} {
		response, _, err = s.call(http.MethodPost, other, "prompt")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	s.setQuarantine(2)
	response, _, err = s.call(http.MethodPost, "/verse/deadly", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, "control no longer holds it")
}

// TestCrashIsReportedToControl guards against crashes that each entry keeps for
// itself.
func TestCrashIsReportedToControl(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addCrashingEndpoint("/deadly")
	s.start()
	_, _, err := s.call(http.MethodPost, "/verse/deadly", "prompt")
	assert.NilError(t, err)
	waitUntil(t, func() bool { return len(s.reported()) == 1 })
	assert.DeepEqual(t, s.reported()[0], messenger.QuarantineCommand{
		Crashes: []messenger.CrashReport{{Boot: "i-0/1", Trials: []messenger.CrashTrial{{Key: deadlyKey}}}},
	})
}

// TestSuspectedRequestThatIsAnsweredIsCleared guards against holding a sound request
// that was running beside the cause of crashes.
func TestSuspectedRequestThatIsAnsweredIsCleared(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("writers", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	s.addEndpoint("desk", respond(200, "found"))
	s.start()
	look := quarantiner.Fingerprint("press", "a.example", http.MethodPost, "/look/1", "prompt")
	s.setQuarantine(1, messenger.QuarantineRecord{Key: deadlyKey, Crashes: 2}, messenger.QuarantineRecord{Key: look, Crashes: 1})
	for i, path := range []string{"/verse/deadly", "/look/1"} {
		_, _, err := s.call(http.MethodPost, path, "prompt")
		assert.NilError(t, err)
		waitUntil(t, func() bool { return len(s.reported()) == i+1 })
		assert.DeepEqual(t, s.reported()[i].Survived, []string{[]string{deadlyKey, look}[i]})
	}
}

// TestWaitingAttemptOfHeldContentIsCanceled guards against requests in the queues of
// other endpoints, which crash those when they begin.
func TestWaitingAttemptOfHeldContentIsCanceled(t *testing.T) {
	s := newSystem(t, time.Minute)
	canceled := make(chan struct{}, 1)
	e := s.addEndpoint("writers", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	s.start()
	done := make(chan int, 1)
	go func() {
		response, _, err := s.call(http.MethodPost, "/verse/deadly", "prompt")
		if assert.Check(t, err) {
			done <- response.StatusCode
		}
	}()
	waitUntil(t, func() bool { return e.requestCount() == 1 })
	s.setQuarantine(1, messenger.QuarantineRecord{Key: deadlyKey, Crashes: 3})
	<-canceled
	assert.Equal(t, <-done, http.StatusBadGateway, "the request had reached an endpoint")
}

// applyCommand applies an entry's report to control's table; mu is held.
func (s *testSystem) applyCommand(command messenger.QuarantineCommand) {
	if s.quarantine == nil {
		return
	}
	s.quarantine.Update(quarantiner.ReportMsg{Command: command})
}

// callWithParts sends one request of its own path and prompt with the given parts
// before its last one.
func (s *testSystem) callWithParts(number int, parts string) (*http.Response, string, error) {
	id := fmt.Sprint(strings.Fields(parts)[len(strings.Fields(parts))-1], number)
	return s.call(http.MethodPost, "/verse/"+id, "prompt "+id, "Attempt", id, "Parts", parts+" own"+id)
}

// TestPartThatCrashesEndpointsIsHeldAndItsBeginningIsNot guards against requests of
// which no two are alike and which crash endpoint after endpoint by one part of their
// prompts, and against holding the sound requests that share their beginning.
func TestPartThatCrashesEndpointsIsHeldAndItsBeginningIsNot(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.quarantine = quarantiner.New()
	for range 10 {
		s.addCrashingEndpoint("tainted")
	}
	s.start()
	for i := range 8 {
		s.waitForReports(func() { _, _, _ = s.callWithParts(i, "shared tainted") })
		response, body, err := s.callWithParts(i, "shared")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, "request %d: %s", i, body)
	}
	assert.Assert(t, s.endedEndpoints() <= 5, "%d endpoints ended", s.endedEndpoints())
}

// waitForReports makes a call and, if endpoints crashed under it, waits until the entry
// has reported that and has learned control's answer.
func (s *testSystem) waitForReports(call func()) {
	ended := s.endedEndpoints()
	call()
	if s.endedEndpoints() == ended {
		return
	}
	reportedBoots := func() int {
		boots := map[string]bool{}
		for _, command := range s.reported() {
			for _, c := range command.Crashes {
				boots[c.Boot] = true
			}
		}
		return len(boots)
	}
	waitUntil(s.t, func() bool { return reportedBoots() == s.endedEndpoints() })
	syncs := s.syncCount()
	waitUntil(s.t, func() bool { return s.syncCount() > syncs+1 })
}

// TestBegunStreamOfHeldContentEndsAtOnce guards against a client that waits for an
// endpoint which its request may not be sent to.
func TestBegunStreamOfHeldContentEndsAtOnce(t *testing.T) {
	s := newSystem(t, time.Minute)
	release := make(chan struct{})
	for range 2 {
		s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
			writeEvents(w, 1, 3)
			<-release
			abortConnection(w, r)
		})
	}
	s.start()
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := s.call(http.MethodPost, "/verse/deadly", "prompt")
		done <- result{body, err}
	}()
	waitUntil(t, func() bool { return s.endpoints[0].requestCount()+s.endpoints[1].requestCount() == 1 })
	s.setQuarantine(1, messenger.QuarantineRecord{Key: deadlyKey, Crashes: 3})
	before := metricLine("papayaseam_held_requests_total")
	start := time.Now()
	close(release)
	r := <-done
	assert.Assert(t, r.err != nil)
	assert.Equal(t, r.body, completeStream(3))
	assert.Assert(t, time.Since(start) < time.Second, "the client waited %s", time.Since(start))
	assert.Assert(t, metricLine("papayaseam_held_requests_total") != before)
}

// TestHoldEndsAsControlFindsTheEndpointsRunning guards against an entry that holds a
// sound request by its own count after control has withdrawn the crashes.
func TestHoldEndsAsControlFindsTheEndpointsRunning(t *testing.T) {
	s := newSystem(t, time.Minute)
	for range 5 {
		s.addCrashingEndpoint("/deadly")
	}
	s.start()
	for i := range 4 {
		_, _, _ = s.call(http.MethodPost, "/verse/deadly", "prompt", "Attempt", fmt.Sprint("first", i))
	}
	assert.Equal(t, s.endedEndpoints(), 3, "the request is not held")
	var running []messenger.RunningBoot
	for i, e := range s.endpoints {
		if e.crashed.Load() {
			running = append(running, messenger.RunningBoot{Boot: fmt.Sprintf("i-%d/1", i), Modified: 2})
		}
	}
	s.setQuarantineChanges(messenger.QuarantineChanges{Revision: 2, Whole: true, Running: running[:1]})
	_, _, _ = s.call(http.MethodPost, "/verse/deadly", "prompt", "Attempt", "second")
	assert.Equal(t, s.endedEndpoints(), 4, "the request is held for two crashes")
	response, _, err := s.call(http.MethodPost, "/verse/deadly", "prompt", "Attempt", "third")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, "the request is sent after three crashes")
}
