package supervisor

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/exposer"
	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"
)

// eventuallyTimeout bounds the wait for a condition that the test has caused.
const eventuallyTimeout = 20 * time.Second

// runEffectsUntil executes queued effects until the condition holds. It fails the
// test after eventuallyTimeout.
func (s *Supervisor) runEffectsUntil(t *testing.T, condition func() bool) {
	t.Helper()
	timeout := time.After(eventuallyTimeout)
	for {
		s.mu.Lock()
		met := condition()
		s.mu.Unlock()
		if met {
			return
		}
		select {
		case effect := <-s.effects:
			s.execute(s.baseCtx, effect)
			<-s.ended
		case <-timeout:
			t.Fatal("condition not met before the timeout")
		}
	}
}

// TestClosedConnectionRevealsDeadMember stops a member's process while its lease
// is valid for another hour. The leader must stop dispatching when the member's
// connection closes, without waiting for the lease to expire.
func TestClosedConnectionRevealsDeadMember(t *testing.T) {
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request messenger.RenewRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		_ = json.NewEncoder(w).Encode(messenger.RenewAnswer{Instance: "i2", Epoch: request.Epoch, Sequence: request.Sequence, Granted: true})
	}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := New(Config{Name: "i1", ControlAddresses: []string{"127.0.0.1:1"}, QueueSize: 8}, exposer.NewLogger(io.Discard, "i1"), exposer.NewHealth())
	s.baseCtx = ctx
	s.granter = granter.New("i1", -2*time.Hour, granter.WithGrant(time.Hour, time.Hour))
	s.mu.Lock()
	s.updateMembership(granter.EndpointMsg{Endpoint: granter.Endpoint{Up: true, Loaded: "m:v:0", FencingNumber: 3}})
	s.updateMembership(granter.ConfigMsg{Assignment: granter.Assignment{Group: "m-0", Spec: messenger.GroupSpec{
		Model: "m", Version: "v", Epoch: 3, Active: true,
		Members: []messenger.Member{{Instance: "i1"}, {Instance: "i2", Address: strings.TrimPrefix(member.URL, "http://")}},
	}}})
	s.updateMembership(granter.TickMsg{})
	s.mu.Unlock()
	s.runEffectsUntil(t, func() bool { return s.granter.MayDispatch(s.now()) })
	member.Close()
	s.runEffectsUntil(t, func() bool { return !s.granter.MayDispatch(s.now()) })
}
