package gatekeeper_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// graceOfTests is the time until the end of a planned stop: a third of the time limits
// of the routes ledger and archive, and far more than any test of this file takes.
const graceOfTests = 20 * time.Second

// drain begins a planned stop, which ends with the test.
func (s *testSystem) drain(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.entry.Drain(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-drained
	})
	s.awaitTrue("the stop has begun", func() bool { return !s.entry.Ready() })
}

func (s *testSystem) awaitTrue(what string, holds func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// assertSentElsewhere checks a response that sends the client to another entry at once.
func assertSentElsewhere(t *testing.T, response *http.Response, body string) {
	t.Helper()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, body, "not run: this entry stops\n")
	assert.Equal(t, response.Header.Get("Retry-After"), "0")
	assert.Assert(t, response.Close)
}

// Guards against a request that is passed on after SIGTERM and cut at the end of the
// grace, because its time limit ends later.
func TestStoppingEntryPassesOnOnlyWhatCanEnd(t *testing.T) {
	for _, c := range []struct {
		name, path, limitMs string
		passedOn            int
	}{
		{"at most once, beyond the grace", "/ledger/1", "", 0},
		{"at most once, within the grace", "/ledger/1", "5000", 1},
		{"repeatable, a third within the grace", "/archive/1", "", 0},
		{"repeatable, two thirds within the grace", "/archive/1", "28000", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, time.Minute)
			e := s.addEndpoint("desk", respond(200, "printed"))
			s.start()
			s.drain(graceOfTests)
			response, body, err := s.call(http.MethodPost, c.path, "x", "Left-Ms", c.limitMs)
			assert.NilError(t, err)
			assert.Equal(t, e.requestCount(), c.passedOn)
			if c.passedOn == 0 {
				assertSentElsewhere(t, response, body)
				return
			}
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

// reply is what a client got for a request.
type reply struct {
	response *http.Response
	body     string
	err      error
}

// send sends a request of which the test does not wait for the reply at once.
func (s *testSystem) send(path string, body io.Reader) <-chan reply {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+path, body)
	assert.NilError(s.t, err)
	r.Host = "a.example"
	r.Header.Set("Key", "k1")
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Model", "m")
	replies := make(chan reply, 1)
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		replies <- reply{response, string(text), err}
	}()
	return replies
}

// Guards against a request whose body ends late in the grace, and that is passed on
// since its header came before SIGTERM.
func TestStoppingEntryPassesNoRequestOnWhoseBodyEndsLate(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	body, rest := io.Pipe()
	replies := s.send("/ledger/1", body)
	_, err := io.WriteString(rest, "two ")
	assert.NilError(t, err)
	s.awaitTrue("the request is in flight", func() bool { return s.entry.Open() == 1 })
	s.drain(graceOfTests)
	_, err = io.WriteString(rest, "sheets")
	assert.NilError(t, err)
	assert.NilError(t, rest.Close())
	got := <-replies
	assert.NilError(t, got.err)
	assertSentElsewhere(t, got.response, got.body)
	assert.Equal(t, e.requestCount(), 0)
}

// Guards against a request that an endpoint refused late in the grace, and that is
// passed on to another one where it is cut.
func TestStoppingEntryDoesNotRetryWhatItMayCut(t *testing.T) {
	s := newSystem(t, time.Minute)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	refuse := func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		rejectNotExecuted(w, r)
	}
	first, second := s.addEndpoint("desk", refuse), s.addEndpoint("desk", refuse)
	s.start()
	replies := s.send("/ledger/1", strings.NewReader("x"))
	<-arrived
	s.drain(graceOfTests)
	close(release)
	got := <-replies
	assert.NilError(t, got.err)
	assertSentElsewhere(t, got.response, got.body)
	assert.Equal(t, first.requestCount()+second.requestCount(), 1)
}

// Guards against a request that is cut without an answer at the end of a planned stop.
func TestEndOfStopAnswersWhatStillRuns(t *testing.T) {
	s := newSystem(t, time.Minute)
	arrived := make(chan struct{})
	s.addEndpoint("desk", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	s.start()
	replies := s.send("/ledger/1", strings.NewReader("x"))
	<-arrived
	s.drain(400 * time.Millisecond)
	select {
	case got := <-replies:
		assert.NilError(t, got.err)
		assert.Equal(t, got.response.StatusCode, http.StatusGatewayTimeout)
		assert.Equal(t, got.body, "may have run: this entry stops\n")
	case <-time.After(10 * time.Second):
		s.server.CloseClientConnections()
		t.Fatal("the request has no answer, and its time limit is far off")
	}
}

// Guards against an endpoint that works on when the entry that waits for it has ended.
func TestStoppingEntryHandsOnNoMoreTimeThanItHas(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	s.drain(graceOfTests)
	_, _, err := s.call(http.MethodPost, "/archive/1", "x", "Left-Ms", "28000")
	assert.NilError(t, err)
	assert.Equal(t, e.requestCount(), 1)
	left, err := strconv.Atoi(e.requests[0].Header.Get("Left-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(left)*time.Millisecond < graceOfTests, left)
}

// Guards against a client that keeps its connection to a stopping entry, since its
// request came before the stop, and is turned away there with the next one.
func TestAnswerDuringStopAsksToCloseConnection(t *testing.T) {
	for _, c := range []struct {
		service, path, contentType string
		status                     int
	}{
		{"desk", "/ledger/1", "text/plain", http.StatusOK},
		{"desk", "/ledger/1", "text/plain", http.StatusBadRequest},
		{"writers", "/verse/1", "text/event-stream", http.StatusOK},
	} {
		s := newSystem(t, time.Minute)
		arrived, release := make(chan struct{}), make(chan struct{})
		s.addEndpoint(c.service, func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-release
			w.Header().Set("Content-Type", c.contentType)
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		})
		s.start()
		replies := s.send(c.path, strings.NewReader("x"))
		<-arrived
		s.drain(graceOfTests)
		close(release)
		got := <-replies
		assert.NilError(t, got.err)
		assert.Equal(t, got.response.StatusCode, c.status)
		assert.Assert(t, got.response.Close, c.path)
	}
}
