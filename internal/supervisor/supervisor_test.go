package supervisor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/exposer"
	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// serving returns a side process that leads a plain service's group, whose
// endpoint is the handler.
func serving(t *testing.T, handler http.HandlerFunc) *Supervisor {
	endpoint := httptest.NewServer(handler)
	t.Cleanup(endpoint.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := New(Config{Name: "i1", ControlAddresses: []string{"127.0.0.1:1"}, QueueSize: 8, DrainTimeout: time.Second, MaxRetainedBytes: 1000}, exposer.NewLogger(io.Discard, "i1"), exposer.NewHealth())
	s.base = ctx
	s.granter = granter.New("i1", -time.Hour)
	address := strings.TrimPrefix(endpoint.URL, "http://")
	s.announce(ctx, messenger.Announcement{Instance: "i1", Address: address, Service: "orders", Started: "life-1"})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(granter.ConfigMsg{Assignment: granter.Assignment{Group: "orders@i1", Spec: messenger.GroupSpec{
		Service: "orders", Epoch: 3, Active: true, Members: []messenger.Member{{Instance: "i1"}},
	}}})
	assert.Assert(t, s.granter.MayDispatch(s.now()))
	return s
}

func (s *Supervisor) request(id string) messenger.AttemptRequest {
	return messenger.AttemptRequest{
		Request: "r-" + id, Attempt: id, Group: "orders@i1", Epoch: 3, Incarnation: s.token.At(s.now()),
		Method: http.MethodPost, Path: "/new", Body: []byte("one map"),
	}
}

// final waits for the last frame of an attempt.
func final(a *attempt) messenger.Frame {
	for {
		frames, changed := a.next(0, false)
		if len(frames) > 0 && frames[len(frames)-1].Final {
			return frames[len(frames)-1]
		}
		<-changed
	}
}

func TestForeignAnswerIsNotPassedOn(t *testing.T) {
	s := serving(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Attempt-Id", "another-one")
		_, _ = io.WriteString(w, "a neighbour's answer")
	})
	a := s.submit(s.request("a1"))
	frame := final(a)
	assert.Equal(t, frame.Kind, "foreign-answer")
	assert.Equal(t, frame.Length, 0)
}

func TestAnswerCutShortIsNotTakenForWhole(t *testing.T) {
	s := serving(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/announcement" {
			_, _ = fmt.Fprint(w, `{"started":"life-1"}`)
			return
		}
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half an answer")
	})
	frame := final(s.submit(s.request("a1")))
	assert.Equal(t, frame.Verdict, "may-have-run")
	assert.Equal(t, frame.Kind, "endpoint-broke")
}

func TestCrashIsToldFromABrokenCall(t *testing.T) {
	s := serving(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/announcement" {
			_, _ = fmt.Fprint(w, `{"started":"life-2"}`)
			return
		}
		panic(http.ErrAbortHandler)
	})
	frame := final(s.submit(s.request("a1")))
	assert.Equal(t, frame.Kind, granter.ReasonEndpointDown)
	assert.Equal(t, frame.Replica, "orders@i1#life-1")
}

func TestMisdirectedAttemptsNeverRun(t *testing.T) {
	s := serving(t, func(http.ResponseWriter, *http.Request) { t.Error("the attempt ran") })
	for name, change := range map[string]func(*messenger.AttemptRequest){
		"another epoch": func(r *messenger.AttemptRequest) { r.Epoch = 2 },
		"another group": func(r *messenger.AttemptRequest) { r.Group = "orders@i2" },
		"another life":  func(r *messenger.AttemptRequest) { r.Incarnation = "x.0" },
		"no token":      func(r *messenger.AttemptRequest) { r.Incarnation = "" },
	} {
		request := s.request(name)
		change(&request)
		frame := final(s.submit(request))
		assert.Equal(t, frame.Verdict, "not-run", name)
	}
}

func TestRevokedAttemptNeverRuns(t *testing.T) {
	s := serving(t, func(http.ResponseWriter, *http.Request) { t.Error("the attempt ran") })
	answer := s.revoke(context.Background(), messenger.RevokeRequest{Attempt: "a1", Incarnation: s.token.At(s.now())})
	assert.Assert(t, answer.NotRun)
	frame := final(s.submit(s.request("a1")))
	assert.Equal(t, frame.Verdict, "not-run")
}

func TestDoubledAttemptRunsOnce(t *testing.T) {
	runs := make(chan string, 4)
	s := serving(t, func(w http.ResponseWriter, r *http.Request) {
		runs <- r.Header.Get("X-Attempt-Id")
		_, _ = io.WriteString(w, "done")
	})
	first := s.submit(s.request("a1"))
	second := s.submit(s.request("a1"))
	assert.Equal(t, final(first).Verdict, "answered")
	assert.Equal(t, final(second).Verdict, "answered")
	assert.Equal(t, len(runs), 1)
}

func TestRevocationAfterTheStartIsNotNotRun(t *testing.T) {
	release := make(chan struct{})
	s := serving(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	})
	a := s.submit(s.request("a1"))
	answer := s.revoke(context.Background(), messenger.RevokeRequest{Attempt: "a1", Incarnation: s.token.At(s.now())})
	assert.Assert(t, !answer.NotRun)
	close(release)
	assert.Equal(t, final(a).Verdict, "answered")
}

func TestRevocationAtAnotherLifeProvesNothing(t *testing.T) {
	s := serving(t, func(http.ResponseWriter, *http.Request) {})
	answer := s.revoke(context.Background(), messenger.RevokeRequest{Attempt: "a1", Incarnation: "earlier.0"})
	assert.Assert(t, !answer.NotRun)
}

// TestDeadEndpointIsNoticedByItsConnection closes the endpoint and the
// connection of its announcements: the group must break without waiting for a
// missed announcement.
func TestDeadEndpointIsNoticedByItsConnection(t *testing.T) {
	s := serving(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s.announcer = "10.0.0.9:4000"
	s.ConnectionClosed("10.0.0.8:4000")
	assert.Equal(t, len(s.effects), 0, "another connection was taken for the endpoint's")
	s.ConnectionClosed("10.0.0.9:4000")
	s.execute(s.base, <-s.effects)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, !s.granter.MayDispatch(s.now()))
}

// TestKeptAnswersStayWithinTheirBound answers more than may be kept.
func TestKeptAnswersStayWithinTheirBound(t *testing.T) {
	s := serving(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 400)) })
	for i := range 5 {
		final(s.submit(s.request(fmt.Sprint("a", i))))
		for s.Open() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	assert.Equal(t, final(s.submit(s.request("a0"))).Verdict, "may-have-run", "it ran, though its answer is gone")
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.keptBytes <= 1000, "%d bytes kept", s.keptBytes)
	assert.Equal(t, len(s.kept), 2)
	assert.Assert(t, s.attempts["a4"] != nil && s.attempts["a0"] == nil)
}
