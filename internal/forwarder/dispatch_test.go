package forwarder

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/router"

	"gotest.tools/v3/assert"
)

// newForwarder returns a Forwarder that knows two groups of a plain service or model. The
// stand-in of their leaders returns the body of an event stream, for each attempt
// counted from 1, and whether the endpoint ended it in order.
func newForwarder(t *testing.T, spec messenger.GroupSpec, stream func(attempt int) (body string, whole bool)) (f *Forwarder, attempts *atomic.Int32) {
	attempts = &atomic.Int32{}
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request messenger.AttemptRequest
		assert.Check(t, json.NewDecoder(r.Body).Decode(&request))
		body, whole := stream(int(attempts.Add(1)))
		relay := newResponseRelay(nil, &clientRequest{})
		_, _ = relay.digest.Write([]byte(body))
		final := messenger.Frame{Attempt: request.Attempt, Final: true, Verdict: "answered", Length: len(body), Digest: hexDigest(relay.digest)}
		if !whole {
			final.Verdict, final.Kind = "may-have-run", "endpoint-broke"
		}
		encoder := json.NewEncoder(w)
		_ = encoder.Encode(messenger.Frame{Attempt: request.Attempt, Status: http.StatusOK, ContentType: eventStreamType, Data: []byte(body)})
		_ = encoder.Encode(final)
	}))
	t.Cleanup(leader.Close)
	f = New(Config{Name: "e1"}, exposer.NewLogger(io.Discard, "e1"), exposer.NewHealth())
	var groups []router.Group
	var loads []messenger.GroupLoad
	for _, name := range []string{"g1", "g2"} {
		spec.Epoch, spec.Active = 1, true
		spec.Members = []messenger.Member{{Instance: name, Address: strings.TrimPrefix(leader.URL, "http://")}}
		groups = append(groups, router.Group{Name: name, Spec: spec})
		loads = append(loads, messenger.GroupLoad{Group: name, Epoch: 1, Ready: true, Parallel: 8, Incarnation: "x.1"})
	}
	f.router.Update(f.now(), router.GroupsMsg{Groups: groups})
	f.router.Update(f.now(), router.LoadsMsg{Loads: loads})
	for range 20 { // Requests earn retries.
		f.budget.RecordRequest("press")
	}
	return f, attempts
}

// TestBegunStreamOfServiceIsNotRunAgain guards against a client that gets events twice, or
// pieces of two runs joined, because the stream of a plain service broke off and the
// request was sent to another group from its beginning.
func TestBegunStreamOfServiceIsNotRunAgain(t *testing.T) {
	f, attempts := newForwarder(t, messenger.GroupSpec{Service: "orders"}, func(attempt int) (string, bool) {
		if attempt == 1 {
			return "id: 1\ndata: run-1\n\nid: 2\nda", false
		}
		return "id: 1\ndata: run-2\n\nid: 2\ndata: run-2\n\n", true
	})
	w := httptest.NewRecorder()
	f.dispatch(w, httptest.NewRequest(http.MethodGet, "/", nil), &clientRequest{id: "r1", organisation: "press", service: "orders", method: http.MethodGet, path: "/", repeatable: true, startedAt: f.now()})
	body, ok := strings.CutPrefix(w.Body.String(), "id: 1\ndata: run-1\n\n")
	assert.Assert(t, ok, w.Body.String())
	assert.Assert(t, !strings.Contains(body, "run-2"), "events of another run follow: %q", body)
	assert.Assert(t, strings.Contains(body, `"code":"stream-not-continued"`), "%q", body)
	assert.Equal(t, attempts.Load(), int32(1))
}

// TestStreamOfServiceIsRunAgainBeforeItsFirstEvent guards against an error for a request
// of which the client has nothing yet.
func TestStreamOfServiceIsRunAgainBeforeItsFirstEvent(t *testing.T) {
	f, attempts := newForwarder(t, messenger.GroupSpec{Service: "orders"}, func(attempt int) (string, bool) {
		if attempt == 1 {
			return "id: 1\ndata: ru", false
		}
		return "id: 1\ndata: run-2\n\n", true
	})
	w := httptest.NewRecorder()
	f.dispatch(w, httptest.NewRequest(http.MethodGet, "/", nil), &clientRequest{id: "r1", organisation: "press", service: "orders", method: http.MethodGet, path: "/", repeatable: true, startedAt: f.now()})
	assert.Equal(t, w.Body.String(), "id: 1\ndata: run-2\n\n")
	assert.Equal(t, attempts.Load(), int32(2))
}

// TestFinishedTextIsNotContinued guards against more text after a model's whole answer,
// because its stream broke off between the last token and the end mark, or after it.
func TestFinishedTextIsNotContinued(t *testing.T) {
	const finished = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	for _, end := range []string{finished, finished + "data: [DONE]\n\n", "data: [DONE]\n\n"} {
		f, attempts := newForwarder(t, messenger.GroupSpec{Model: "m"}, func(attempt int) (string, bool) {
			if attempt == 1 {
				return roleChunk + contentChunk("here") + end, false
			}
			return roleChunk + contentChunk(" and more") + finished, true
		})
		w := httptest.NewRecorder()
		f.dispatch(w, httptest.NewRequest(http.MethodPost, "/", nil), &clientRequest{
			id: "r1", organisation: "press", model: "m", method: http.MethodPost, path: "/", body: []byte(`{"messages":[]}`), repeatable: true, stream: true, startedAt: f.now(),
		})
		assert.Assert(t, !strings.Contains(w.Body.String(), "and more"), "%s", w.Body)
		assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"), "%s", w.Body)
		assert.Assert(t, strings.Contains(w.Body.String(), `"code":"stream-not-continued"`), "%s", w.Body)
		assert.Equal(t, attempts.Load(), int32(1))
	}
}
