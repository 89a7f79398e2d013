package gatekeeper_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaseam/internal/gatekeeper"
	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeHealth answers health checks.
type fakeHealth struct {
	mu     sync.Mutex
	asked  int
	answer func() (time.Duration, error)
}

func (h *fakeHealth) ColdTime(_ context.Context, _ messenger.EndpointView, path string) (time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	if path != "/health" {
		return 0, errors.New("no such path")
	}
	return h.answer()
}

func (h *fakeHealth) set(answer func() (time.Duration, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer = answer
}

func (h *fakeHealth) askedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked
}

var errNoAnswer = errors.New("no answer")

func noAnswer() (time.Duration, error) { return 0, errNoAnswer }

// restart starts an endpoint's server again at its old address.
func (e *fakeEndpoint) restart(t *testing.T) {
	l, err := net.Listen("tcp", strings.TrimPrefix(e.server.URL, "http://"))
	assert.NilError(t, err)
	handler := e.server.Config.Handler
	e.server = httptest.NewUnstartedServer(handler)
	_ = e.server.Listener.Close()
	e.server.Listener = l
	e.server.Start()
	t.Cleanup(e.server.Close)
}

// TestRestartedEndpointIsSparedBeforeControlKnows guards against a flood on an endpoint that
// was restarted cold, from an entry that has only the view of its last boot: at once after
// the restart, and while the entry does not reach control.
func TestRestartedEndpointIsSparedBeforeControlKnows(t *testing.T) {
	const coldFor, declaredColdTime = 400 * time.Millisecond, 3 * time.Second
	for _, unknown := range []bool{false, true} {
		health := &fakeHealth{answer: noAnswer}
		s := newSystemWith(t, time.Minute, health)
		s.declare(5)
		e := s.addColdEndpoint("desk", false)
		s.waitReady()
		status := func() int {
			response, _, err := s.call(http.MethodPost, "/orders/1", "x")
			assert.NilError(t, err)
			return response.StatusCode
		}
		assert.Equal(t, status(), http.StatusOK)
		s.setConfirmed(false)
		e.server.CloseClientConnections()
		e.server.Close()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status() == http.StatusServiceUnavailable && health.askedCount() > 1 {
				return poll.Success()
			}
			return poll.Continue("the endpoint is not checked")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
		e.restart(t)
		before := e.requestCount()
		warmAt := time.Now().Add(coldFor)
		if unknown {
			warmAt = time.Now().Add(declaredColdTime)
		}
		health.set(func() (time.Duration, error) {
			if unknown {
				return 0, errors.Mark(errNoAnswer, gatekeeper.ErrColdUnknown)
			}
			return time.Until(warmAt), nil
		})
		for time.Until(warmAt) > coldFor/2 {
			assert.Equal(t, status(), http.StatusServiceUnavailable)
		}
		assert.Equal(t, e.requestCount(), before)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status() == http.StatusOK {
				return poll.Success()
			}
			return poll.Continue("the endpoint is not used again")
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	}
}

// TestEndpointsAreNotCheckedWithoutADeclaredRate guards against checks, and endpoints that
// get nothing until they are checked, where services limit no cold endpoints.
func TestEndpointsAreNotCheckedWithoutADeclaredRate(t *testing.T) {
	health := &fakeHealth{answer: noAnswer}
	s := newSystemWith(t, time.Minute, health)
	e := s.addEndpoint("desk", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	s.start()
	e.server.CloseClientConnections()
	e.server.Close()
	for range 3 {
		_, _, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
	}
	e.restart(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if response, _, err := s.call(http.MethodPost, "/orders/1", "x"); err == nil && response.StatusCode == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("the endpoint is not used again")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, health.askedCount(), 0)
}
