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

// patience bounds the wait for something that the test has caused.
const patience = 20 * time.Second

// eventually executes the effects until a condition holds.
func (s *Supervisor) eventually(t *testing.T, condition func() bool) {
	t.Helper()
	limit := time.After(patience)
	for {
		s.mu.Lock()
		held := condition()
		s.mu.Unlock()
		if held {
			return
		}
		select {
		case effect := <-s.effects:
			s.execute(s.base, effect)
			<-s.ended
		case <-limit:
			t.Fatal("waited in vain")
		}
	}
}

// TestDeadMemberIsNoticedByItsConnection ends a member's process while its
// grant lasts for an hour: the group must break without waiting for that.
func TestDeadMemberIsNoticedByItsConnection(t *testing.T) {
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request messenger.RenewRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		_ = json.NewEncoder(w).Encode(messenger.RenewAnswer{Instance: "i2", Epoch: request.Epoch, Sequence: request.Sequence, Granted: true})
	}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := New(Config{Name: "i1", ControlAddresses: []string{"127.0.0.1:1"}, QueueSize: 8}, exposer.NewLogger(io.Discard, "i1"), exposer.NewHealth())
	s.base = ctx
	s.granter = granter.New("i1", -2*time.Hour, granter.WithGrant(time.Hour, time.Hour))
	s.mu.Lock()
	s.update(granter.EndpointMsg{Endpoint: granter.Endpoint{Up: true, Loaded: "m:v:0", FencingNumber: 3}})
	s.update(granter.ConfigMsg{Assignment: granter.Assignment{Group: "m-0", Spec: messenger.GroupSpec{
		Model: "m", Version: "v", Epoch: 3, Active: true,
		Members: []messenger.Member{{Instance: "i1"}, {Instance: "i2", Address: strings.TrimPrefix(member.URL, "http://")}},
	}}})
	s.update(granter.TickMsg{})
	s.mu.Unlock()
	s.eventually(t, func() bool { return s.granter.MayDispatch(s.now()) })
	member.Close()
	s.eventually(t, func() bool { return !s.granter.MayDispatch(s.now()) })
}
