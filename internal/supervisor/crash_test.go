package supervisor

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// newLeading returns a side process that leads a group with the member i2, while an
// attempt with the fingerprint "f" runs.
func newLeading(t *testing.T) *Supervisor {
	s := newServing(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request messenger.RenewRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		_ = json.NewEncoder(w).Encode(messenger.RenewAnswer{Instance: "i2", Epoch: request.Epoch, Sequence: request.Sequence, Granted: true})
	}))
	t.Cleanup(member.Close)
	s.granter = granter.New("i1", -2*time.Hour, granter.WithGrant(time.Hour, time.Hour))
	s.mu.Lock()
	s.updateMembership(granter.EndpointMsg{Endpoint: granter.Endpoint{Up: true, Incarnation: "incarnation-1"}})
	s.updateMembership(granter.ConfigMsg{Assignment: granter.Assignment{Group: "orders@i1", Spec: messenger.GroupSpec{
		Service: "orders", Epoch: 3, Active: true,
		Members: []messenger.Member{{Instance: "i1"}, {Instance: "i2", Address: strings.TrimPrefix(member.URL, "http://")}},
	}}})
	s.updateMembership(granter.TickMsg{})
	s.mu.Unlock()
	s.runEffectsUntil(t, func() bool { return s.granter.MayDispatch(s.now()) })
	request := s.newRequest("a1")
	request.Fingerprint = "f"
	s.submit(request)
	assert.Equal(t, s.Open(), 1)
	return s
}

// TestLostMemberThatReturnsHasNotCrashed guards against holding back a sound request
// because a member was cut off from its endpoint while the group ran it.
func TestLostMemberThatReturnsHasNotCrashed(t *testing.T) {
	s := newLeading(t)
	c := attachControl(t, s)
	notice := messenger.WithdrawNotice{Group: "orders@i1", Epoch: 3, Instance: "i2", Reason: granter.ReasonEndpointDown}
	s.handleWithdraw(s.baseCtx, notice)
	s.runEffectsUntil(t, func() bool { return c.crashes("f") == 1 })
	s.announce("incarnation-1")
	s.runEffectsUntil(t, func() bool { return len(s.effects) == 0 })
	assert.Equal(t, c.crashes("f"), 1, "the leader's own endpoint disproved the crash of the member's")
	notice.Reason = granter.ReasonEndpointReturned
	s.handleWithdraw(s.baseCtx, notice)
	s.runEffectsUntil(t, func() bool { return c.crashes("f") == 0 })
}
