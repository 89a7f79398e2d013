package gatekeeper_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// addEndpointIn starts an endpoint of a service in a failure domain.
func (s *testSystem) addEndpointIn(domain, service string, handle http.HandlerFunc) *fakeEndpoint {
	e := s.addEndpoint(service, handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints := s.response.Changes.Endpoints
	endpoints[len(endpoints)-1].FailureDomain = domain
	return e
}

// evacuate makes control tell which failure domains are evacuated, and waits until the
// entry has asked twice since, so that it has applied the answer.
func (s *testSystem) evacuate(revision int, domains ...string) {
	list := &messenger.EvacuationList{Revision: revision}
	for _, domain := range domains {
		list.FailureDomains = append(list.FailureDomains, messenger.Evacuation{FailureDomain: domain, Active: true, Modified: revision})
	}
	s.mu.Lock()
	s.response.Evacuations = list
	before := s.syncs
	s.mu.Unlock()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.syncCount() >= before+2 {
			return poll.Success()
		}
		return poll.Continue("no sync")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestEntryServesFromOtherDomainsThanItsOwnEvacuatedOne guards against an entry that goes on
// to send to its own failure domain, or that refuses the clients which still reach it.
func TestEntryServesFromOtherDomainsThanItsOwnEvacuatedOne(t *testing.T) {
	s := newSystem(t, time.Minute)
	own := s.addEndpointIn("ne-a", "desk", respond(200, "printed"))
	other := s.addEndpointIn("ne-b", "desk", respond(200, "printed"))
	s.start()
	s.evacuate(1, "ne-a")
	call := func() (*http.Response, string) {
		response, body, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
		return response, body
	}
	for range 20 {
		response, _ := call()
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, own.requestCount(), 0)
	assert.Assert(t, s.entry.Ready())
	s.evacuate(2, "ne-a", "ne-b")
	reached := other.requestCount()
	start := time.Now()
	response, body := call()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "evacuated"), body)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 2*time.Second, "the request was held back")
	assert.Equal(t, own.requestCount()+other.requestCount(), reached)
	s.evacuate(3)
	for range 40 {
		_, _ = call()
	}
	assert.Assert(t, own.requestCount() > 0, "the revoked failure domain gets nothing")
}

// TestRetriesLeaveEvacuatedEndpointsAlone guards against a second attempt that reaches an
// evacuated failure domain because all other endpoints were tried.
func TestRetriesLeaveEvacuatedEndpointsAlone(t *testing.T) {
	s := newSystem(t, time.Minute)
	own := s.addEndpointIn("ne-a", "desk", respond(200, "printed"))
	s.addEndpointIn("ne-b", "desk", rejectNotExecuted)
	s.start()
	s.evacuate(1, "ne-a")
	for range 10 {
		response, _, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, own.requestCount(), 0)
}

// TestRunningStreamsOfAnEvacuatedDomainEndThere guards against streams that are cut by an
// evacuation, and against the resumption of an interrupted one in the evacuated failure
// domain.
func TestRunningStreamsOfAnEvacuatedDomainEndThere(t *testing.T) {
	s := newSystem(t, time.Minute)
	begun, goOn := make(chan struct{}), make(chan struct{})
	waitAmid := func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-goOn
		writeEvents(w, 4, 6)
	}
	first := s.addEndpointIn("ne-a", "writers", waitAmid)
	s.start()
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
		done <- result{body, err}
	}()
	<-begun
	s.evacuate(1, "ne-a")
	close(goOn)
	r := <-done
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, completeStream(6))
	assert.Equal(t, first.requestCount(), 1)
}

// TestInterruptedStreamDoesNotResumeInAnEvacuatedDomain has the only other endpoint of a
// model in an evacuated failure domain.
func TestInterruptedStreamDoesNotResumeInAnEvacuatedDomain(t *testing.T) {
	s := newSystem(t, time.Minute)
	own := s.addEndpointIn("ne-a", "writers", interruptFirstStream)
	s.addEndpointIn("ne-b", "writers", interruptFirstStream)
	s.start()
	s.evacuate(1, "ne-a")
	_, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.Assert(t, err != nil, "the stream ended as if it were whole")
	assert.Equal(t, own.requestCount(), 0)
}
