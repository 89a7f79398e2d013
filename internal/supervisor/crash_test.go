package supervisor

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"

	"gotest.tools/v3/assert"
)

// fakeControl applies the commands that it receives; while it is down, it answers none.
type fakeControl struct {
	down atomic.Bool

	mu        sync.Mutex
	index     int
	registrar *registrar.Registrar
}

// attachControl makes a new fakeControl the only control process of s.
func attachControl(t *testing.T, s *Supervisor) *fakeControl {
	c := &fakeControl{registrar: registrar.New()}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	s.cfg.ControlAddresses = []string{strings.TrimPrefix(server.URL, "http://")}
	return c
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.down.Load() {
		panic(http.ErrAbortHandler)
	}
	var command messenger.Command
	_ = json.NewDecoder(r.Body).Decode(&command)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	var answer messenger.CommandAnswer
	for _, effect := range c.registrar.Update(registrar.CommandMsg{Index: c.index, Command: command}) {
		if crash, ok := effect.(registrar.CrashEffect); ok {
			answer.Crash = &crash.Answer
		}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// crashes returns the number of replicas that are recorded as crashed under a
// fingerprint.
func (c *fakeControl) crashes(fingerprint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	object, ok := c.registrar.Object(registrar.KindHold, fingerprint)
	if !ok {
		return 0
	}
	return len(object.Hold.Replicas)
}

// loseEndpoint cuts the endpoint off with resets while it runs a request with the
// fingerprint "f", and waits until control has the report.
func loseEndpoint(t *testing.T) (*Supervisor, *fakeControl) {
	s := newServing(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := attachControl(t, s)
	request := s.newRequest("a1")
	request.Fingerprint = "f"
	assert.Equal(t, finalFrame(s.submit(request)).Kind, granter.ReasonEndpointDown)
	s.runEffectsUntil(t, func() bool { return c.crashes("f") == 1 })
	return s, c
}

// announce announces an incarnation of the endpoint.
func (s *Supervisor) announce(incarnation string) {
	s.applyAnnouncement(s.baseCtx, messenger.Announcement{Instance: "i1", Service: "orders", Started: incarnation})
}

// TestLostEndpointThatReturnsHasNotCrashed guards against holding back a sound request
// because a cut reset the connections to the endpoints that ran it: the count is taken
// back once the same incarnation announces itself, also if control does not answer then.
func TestLostEndpointThatReturnsHasNotCrashed(t *testing.T) {
	s, c := loseEndpoint(t)
	c.down.Store(true)
	s.announce("incarnation-1")
	s.runEffectsUntil(t, func() bool { return len(s.effects) == 0 })
	c.down.Store(false)
	s.announce("incarnation-1")
	s.runEffectsUntil(t, func() bool { return c.crashes("f") == 0 })
}

// TestRestartedEndpointHasCrashed guards against taking a crash back although another
// incarnation of the endpoint has announced itself.
func TestRestartedEndpointHasCrashed(t *testing.T) {
	s, c := loseEndpoint(t)
	s.announce("incarnation-2")
	s.announce("incarnation-2")
	s.runEffectsUntil(t, func() bool { return len(s.effects) == 0 })
	assert.Equal(t, c.crashes("f"), 1)
}
