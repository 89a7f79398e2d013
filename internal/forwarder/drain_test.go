package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
	"papayaseam/internal/timekeeper"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeFleet is a control process and the leader of one group, which serves the
// service desk.
type fakeFleet struct {
	attempts atomic.Int32
	revoked  messenger.RevokeAnswer
	serve    func(w http.ResponseWriter, r *http.Request, attempt messenger.AttemptRequest)
}

// newEntry returns an entry that has synchronised with the fleet.
func (f *fakeFleet) newEntry(t *testing.T) *Forwarder {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("POST /inner/sync", func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(deskConfiguration(address)))
	})
	mux.HandleFunc("POST /inner/revoke", func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(f.revoked))
	})
	mux.HandleFunc("POST /inner/attempt", func(w http.ResponseWriter, r *http.Request) {
		var attempt messenger.AttemptRequest
		assert.Check(t, json.NewDecoder(r.Body).Decode(&attempt))
		f.attempts.Add(1)
		f.serve(w, r, attempt)
	})
	entry := New(Config{Name: "entry-1", Controls: []string{address}}, exposer.NewLogger(io.Discard, "entry-1"), exposer.NewHealth())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-ended)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := entry.syncer.Object(registrar.KindService, "desk"); ok {
			return poll.Success()
		}
		return poll.Continue("not synchronised")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	return entry
}

// deskConfiguration declares the organisation press with the key k1, and the service
// desk with one ready group, whose leader has the given address.
func deskConfiguration(address string) messenger.SyncResponse {
	digest := sha256.Sum256([]byte("k1"))
	group := messenger.GroupSpec{Active: true, Epoch: 1, Service: "desk", Parallel: 4, Members: []messenger.Member{{Instance: "i-1", Address: address}}}
	return messenger.SyncResponse{
		Index: 1, Snapshot: true,
		Objects: []messenger.Object{
			{Kind: registrar.KindOrganisation, Name: "press", Organisation: &messenger.OrganisationSpec{Keys: []string{hex.EncodeToString(digest[:])}}},
			{Kind: registrar.KindService, Name: "desk", Service: &messenger.ServiceSpec{Parallel: 4}},
			{Kind: registrar.KindGroup, Name: "desk-0", Group: &group},
		},
		Loads: []messenger.GroupLoad{{Group: "desk-0", Epoch: 1, Ready: true, Parallel: 4, Incarnation: "t"}},
	}
}

// answerWhole answers an attempt that printed.
func answerWhole(w http.ResponseWriter, _ *http.Request, attempt messenger.AttemptRequest) {
	relay := newResponseRelay(httptest.NewRecorder(), &clientRequest{})
	relay.startAttempt()
	body := []byte("printed")
	relay.deliver(messenger.Frame{Data: body})
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(messenger.Frame{Attempt: attempt.Attempt, Status: http.StatusOK, ContentType: "text/plain", Data: body})
	_ = encoder.Encode(messenger.Frame{Attempt: attempt.Attempt, Offset: len(body), Final: true, Verdict: "answered", Length: len(body), Digest: hexDigest(relay.digest)})
}

// sendHeartbeats shows that an attempt goes on until its reader leaves.
func sendHeartbeats(w http.ResponseWriter, r *http.Request, attempt messenger.AttemptRequest) {
	for r.Context().Err() == nil {
		_ = json.NewEncoder(w).Encode(messenger.Frame{Attempt: attempt.Attempt})
		_ = http.NewResponseController(w).Flush()
		timekeeper.Sleep(r.Context(), frameTimeout/heartbeatsPerTimeout)
	}
}

const heartbeatsPerTimeout = 10

// newOrder returns an order that may run once, and how its client leaves.
func newOrder(body io.Reader) (*http.Request, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	r := httptest.NewRequest(http.MethodPost, "/services/desk/orders", body).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer k1")
	return r, cancel
}

func serve(entry *Forwarder, r *http.Request) *httptest.ResponseRecorder {
	api := http.NewServeMux()
	entry.RegisterAPI(api)
	w := httptest.NewRecorder()
	api.ServeHTTP(w, r)
	return w
}

// order sends an order to the entry's API.
func order(entry *Forwarder, body io.Reader) *httptest.ResponseRecorder {
	r, cancel := newOrder(body)
	defer cancel()
	return serve(entry, r)
}

// readerFunc is a body that runs a function before its first byte is read.
type readerFunc func(data []byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }

// Guards against a request that is passed on after the stop has found nothing in
// progress, and is cut as the process ends.
func TestDrainedEntryPassesNoRequestOnWhoseBodyEndsLate(t *testing.T) {
	fleet := &fakeFleet{serve: answerWhole}
	entry := fleet.newEntry(t)
	assert.Equal(t, order(entry, strings.NewReader("two sheets")).Code, http.StatusOK)
	rest := bytes.NewReader([]byte("two sheets"))
	w := order(entry, readerFunc(func(data []byte) (int, error) {
		entry.Drain(t.Context())
		return rest.Read(data)
	}))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(w.Body.String(), "not-run"), w.Body.String())
	assert.Equal(t, fleet.attempts.Load(), int32(1))
}

// Guards against a request that is cut without an answer at the end of a planned stop.
func TestEndOfStopAnswersWhatStillRuns(t *testing.T) {
	for _, c := range []struct {
		name    string
		revoked messenger.RevokeAnswer
		status  int
		verdict string
	}{
		{"waiting at its group", messenger.RevokeAnswer{NotRun: true}, http.StatusServiceUnavailable, "not-run"},
		{"running", messenger.RevokeAnswer{State: "running"}, http.StatusBadGateway, "may-have-run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			fleet := &fakeFleet{revoked: c.revoked, serve: func(w http.ResponseWriter, r *http.Request, attempt messenger.AttemptRequest) {
				arrived <- struct{}{}
				sendHeartbeats(w, r, attempt)
			}}
			entry := fleet.newEntry(t)
			replies := make(chan *httptest.ResponseRecorder, 1)
			r, cancel := newOrder(strings.NewReader("two sheets"))
			defer cancel()
			go func() { replies <- serve(entry, r) }()
			<-arrived
			ctx, cancelStop := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancelStop()
			entry.Drain(ctx)
			select {
			case w := <-replies:
				assert.Equal(t, w.Code, c.status)
				var answer messenger.ErrorResponse
				assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer))
				assert.Equal(t, answer.Error.Verdict, c.verdict)
				assert.Equal(t, answer.Error.Code, "draining")
			case <-time.After(5 * time.Second):
				t.Fatal("the request has no answer")
			}
			assert.Equal(t, fleet.attempts.Load(), int32(1))
		})
	}
}

// Guards against a client that keeps its connection to a stopping entry, which refuses
// every request on it until the process ends.
func TestStoppingEntryAsksToCloseConnection(t *testing.T) {
	fleet := &fakeFleet{serve: answerWhole}
	entry := fleet.newEntry(t)
	assert.Equal(t, order(entry, strings.NewReader("two sheets")).Header().Get("Connection"), "")
	fleet.serve = func(w http.ResponseWriter, r *http.Request, attempt messenger.AttemptRequest) {
		ended, end := context.WithCancel(t.Context())
		end()
		entry.Drain(ended)
		answerWhole(w, r, attempt)
	}
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		w := order(entry, strings.NewReader("two sheets"))
		assert.Equal(t, w.Code, status)
		assert.Equal(t, w.Header().Get("Connection"), "close", "status %d", status)
	}
}
