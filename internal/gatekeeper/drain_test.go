package gatekeeper_test

import (
	"context"
	"io"
	"net/http"
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

// assertSentElsewhere checks a response that sends the client to another entry.
func assertSentElsewhere(t *testing.T, response *http.Response, body string) {
	t.Helper()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, body, "not run: this entry stops\n")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
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

// callWhile sends an order of at most once with a minute's limit, runs a function
// meanwhile, and returns the reply.
func (s *testSystem) callWhile(body io.Reader, meanwhile func()) reply {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/ledger/1", body)
	assert.NilError(s.t, err)
	r.Host = "a.example"
	r.Header.Set("Key", "k1")
	r.Header.Set("Attempt", "a1")
	done := make(chan reply, 1)
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			done <- reply{err: err}
			return
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		done <- reply{response, string(text), err}
	}()
	meanwhile()
	return <-done
}

// Guards against a request whose body ends late in the grace, and that is passed on
// since its header came before SIGTERM.
func TestStoppingEntryPassesNoRequestOnWhoseBodyEndsLate(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	body, rest := io.Pipe()
	got := s.callWhile(body, func() {
		_, err := io.WriteString(rest, "two ")
		assert.NilError(t, err)
		s.awaitTrue("the request is in flight", func() bool { return s.entry.Open() == 1 })
		s.drain(graceOfTests)
		_, err = io.WriteString(rest, "sheets")
		assert.NilError(t, err)
		assert.NilError(t, rest.Close())
	})
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
	got := s.callWhile(strings.NewReader("x"), func() {
		<-arrived
		s.drain(graceOfTests)
		close(release)
	})
	assert.NilError(t, got.err)
	assertSentElsewhere(t, got.response, got.body)
	assert.Equal(t, first.requestCount()+second.requestCount(), 1)
}
