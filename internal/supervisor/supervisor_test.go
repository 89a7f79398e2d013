package supervisor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"papayaseam/internal/exposer"
	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// newServing returns a side process that leads the group of a plain service. The
// handler acts as the endpoint.
func newServing(t *testing.T, handler http.HandlerFunc) *Supervisor {
	endpoint := httptest.NewServer(handler)
	t.Cleanup(endpoint.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := New(Config{Name: "i1", ControlAddresses: []string{"127.0.0.1:1"}, QueueSize: 8, DrainTimeout: time.Second, MaxRetainedBytes: 1000}, exposer.NewLogger(io.Discard, "i1"), exposer.NewHealth())
	s.baseCtx = ctx
	s.granter = granter.New("i1", -time.Hour)
	address := strings.TrimPrefix(endpoint.URL, "http://")
	s.applyAnnouncement(ctx, messenger.Announcement{Instance: "i1", Address: address, Service: "orders", Started: "incarnation-1"})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateMembership(granter.ConfigMsg{Assignment: granter.Assignment{Group: "orders@i1", Spec: messenger.GroupSpec{
		Service: "orders", Epoch: 3, Active: true, Members: []messenger.Member{{Instance: "i1"}},
	}}})
	assert.Assert(t, s.granter.MayDispatch(s.now()))
	return s
}

// newRequest returns a valid attempt request with the given attempt ID.
func (s *Supervisor) newRequest(id string) messenger.AttemptRequest {
	return messenger.AttemptRequest{
		Request: "r-" + id, Attempt: id, Group: "orders@i1", Epoch: 3, Incarnation: s.tokenIssuer.TokenAt(s.now()),
		Method: http.MethodPost, Path: "/new", Body: []byte("one map"),
	}
}

// finalFrame waits for the last frame of an attempt and returns it.
func finalFrame(a *attempt) messenger.Frame {
	for {
		frames, changed := a.framesFrom(0, false)
		if len(frames) > 0 && frames[len(frames)-1].Final {
			return frames[len(frames)-1]
		}
		<-changed
	}
}

// TestResponseToAnotherAttemptIsDropped guards against passing on a response whose
// X-Attempt-Id names another attempt.
func TestResponseToAnotherAttemptIsDropped(t *testing.T) {
	s := newServing(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Attempt-Id", "another-one")
		_, _ = io.WriteString(w, "the response to another attempt")
	})
	a := s.submit(s.newRequest("a1"))
	frame := finalFrame(a)
	assert.Equal(t, frame.Kind, "foreign-answer")
	assert.Equal(t, frame.Length, 0)
}

// TestTruncatedResponseIsNotComplete guards against reporting a response as
// complete when the endpoint closes the connection before Content-Length bytes.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	s := newServing(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/announcement" {
			_, _ = fmt.Fprint(w, `{"started":"incarnation-1"}`)
			return
		}
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half a response")
	})
	frame := finalFrame(s.submit(s.newRequest("a1")))
	assert.Equal(t, frame.Verdict, "may-have-run")
	assert.Equal(t, frame.Kind, "endpoint-broke")
}

// TestEndpointCrashDiffersFromBrokenCall checks that a broken call counts as a crash
// if the endpoint then announces another incarnation.
func TestEndpointCrashDiffersFromBrokenCall(t *testing.T) {
	s := newServing(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/announcement" {
			_, _ = fmt.Fprint(w, `{"started":"incarnation-2"}`)
			return
		}
		panic(http.ErrAbortHandler)
	})
	frame := finalFrame(s.submit(s.newRequest("a1")))
	assert.Equal(t, frame.Kind, granter.ReasonEndpointDown)
	assert.Equal(t, frame.Replica, "orders@i1#incarnation-1")
}

// TestReplayedCallIsNotReportedAsNotRun guards against the verdict "not run" for a call
// that ran, broke and was replayed by the HTTP library, and whose replay was refused.
func TestReplayedCallIsNotReportedAsNotRun(t *testing.T) {
	var runs atomic.Int32
	s := newServing(t, func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 2 {
			_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
			return
		}
		_, _ = io.WriteString(w, "done")
	})
	for i, verdict := range []string{"answered", "may-have-run"} {
		request := s.newRequest(fmt.Sprint("a", i))
		request.Method, request.Body, request.Repeatable = http.MethodGet, nil, true
		assert.Equal(t, finalFrame(s.submit(request)).Verdict, verdict)
	}
	assert.Equal(t, runs.Load(), int32(2))
}

// TestMisdirectedAttemptsNeverRun guards against running an attempt that is meant
// for another group, epoch or incarnation of the leader.
func TestMisdirectedAttemptsNeverRun(t *testing.T) {
	s := newServing(t, func(http.ResponseWriter, *http.Request) { t.Error("the attempt ran") })
	for name, change := range map[string]func(*messenger.AttemptRequest){
		"another epoch":       func(r *messenger.AttemptRequest) { r.Epoch = 2 },
		"another group":       func(r *messenger.AttemptRequest) { r.Group = "orders@i2" },
		"another incarnation": func(r *messenger.AttemptRequest) { r.Incarnation = "x.0" },
		"no token":            func(r *messenger.AttemptRequest) { r.Incarnation = "" },
	} {
		request := s.newRequest(name)
		change(&request)
		frame := finalFrame(s.submit(request))
		assert.Equal(t, frame.Verdict, "not-run", name)
	}
}

// TestRevokedAttemptNeverRuns guards against running an attempt that arrives after
// its revocation was answered with "not run".
func TestRevokedAttemptNeverRuns(t *testing.T) {
	s := newServing(t, func(http.ResponseWriter, *http.Request) { t.Error("the attempt ran") })
	answer := s.handleRevoke(context.Background(), messenger.RevokeRequest{Attempt: "a1", Incarnation: s.tokenIssuer.TokenAt(s.now())})
	assert.Assert(t, answer.NotRun)
	frame := finalFrame(s.submit(s.newRequest("a1")))
	assert.Equal(t, frame.Verdict, "not-run")
}

// TestDuplicateAttemptRunsOnce guards against running an attempt twice when it is
// submitted twice.
func TestDuplicateAttemptRunsOnce(t *testing.T) {
	runs := make(chan string, 4)
	s := newServing(t, func(w http.ResponseWriter, r *http.Request) {
		runs <- r.Header.Get("X-Attempt-Id")
		_, _ = io.WriteString(w, "done")
	})
	first := s.submit(s.newRequest("a1"))
	second := s.submit(s.newRequest("a1"))
	assert.Equal(t, finalFrame(first).Verdict, "answered")
	assert.Equal(t, finalFrame(second).Verdict, "answered")
	assert.Equal(t, len(runs), 1)
}

// TestRevocationOfRunningAttemptReportsMayHaveRun guards against answering "not
// run" for an attempt that has already started.
func TestRevocationOfRunningAttemptReportsMayHaveRun(t *testing.T) {
	release := make(chan struct{})
	s := newServing(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	})
	a := s.submit(s.newRequest("a1"))
	answer := s.handleRevoke(context.Background(), messenger.RevokeRequest{Attempt: "a1", Incarnation: s.tokenIssuer.TokenAt(s.now())})
	assert.Assert(t, !answer.NotRun)
	close(release)
	assert.Equal(t, finalFrame(a).Verdict, "answered")
}

// TestRevocationByAnotherIncarnationIsInconclusive guards against answering "not
// run" for an unknown attempt that an earlier incarnation may have run.
func TestRevocationByAnotherIncarnationIsInconclusive(t *testing.T) {
	s := newServing(t, func(http.ResponseWriter, *http.Request) {})
	answer := s.handleRevoke(context.Background(), messenger.RevokeRequest{Attempt: "a1", Incarnation: "earlier.0"})
	assert.Assert(t, !answer.NotRun)
}

// TestClosedConnectionRevealsDeadEndpoint closes the connection that carried the
// announcements of an endpoint which aborts every request. The leader must stop
// dispatching without waiting for a missed announcement.
func TestClosedConnectionRevealsDeadEndpoint(t *testing.T) {
	s := newServing(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s.announcerAddress = "10.0.0.9:4000"
	s.ConnectionClosed("10.0.0.8:4000")
	assert.Equal(t, len(s.effects), 0, "a closed connection of another process caused a probe of the endpoint")
	s.ConnectionClosed("10.0.0.9:4000")
	s.execute(s.baseCtx, <-s.effects)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, !s.granter.MayDispatch(s.now()))
}

// TestRetainedResponsesStayWithinLimit guards against unbounded memory use by the
// responses of ended attempts: five attempts exceed MaxRetainedBytes, and only the
// newest two may be retained.
func TestRetainedResponsesStayWithinLimit(t *testing.T) {
	s := newServing(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 400)) })
	for i := range 5 {
		finalFrame(s.submit(s.newRequest(fmt.Sprint("a", i))))
		for s.Open() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	assert.Equal(t, finalFrame(s.submit(s.newRequest("a0"))).Verdict, "may-have-run", "the attempt ran, but its response was dropped")
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.retainedBytes <= 1000, "%d bytes retained", s.retainedBytes)
	assert.Equal(t, len(s.retained), 2)
	assert.Assert(t, s.attempts["a4"] != nil && s.attempts["a0"] == nil)
}
