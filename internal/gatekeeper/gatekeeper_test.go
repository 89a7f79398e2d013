package gatekeeper_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/exposer"
	"papayaseam/internal/gatekeeper"
	"papayaseam/internal/messenger"
	"papayaseam/internal/packer"
	"papayaseam/internal/quarantiner"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testConfiguration decodes every document to the same configuration, but that version 4
// has another key, version 5 limits the cold endpoints of its services, and version 6 allows
// long bodies.
func testConfiguration(document []byte) (*describer.Configuration, error) {
	version, key := 3, "k1"
	if string(document) == "4" {
		version, key = 4, "k4"
	}
	coldTime, coldRate := time.Duration(0), 0.0
	if string(document) == "5" {
		version, coldTime, coldRate = 5, 3*time.Second, 32
	}
	maxBodyBytes := 1000
	if string(document) == "6" {
		version, maxBodyBytes = 6, 2*uploadBytes
	}
	splits := func(service string) []describer.Split { return []describer.Split{{Service: service, Weight: 1}} }
	model := describer.Model{Name: "m", GroupSize: 2, InitialShare: 1, TimeFactor: 1, ColdLoadTime: time.Second, WarmLoadTime: time.Second}
	return &describer.Configuration{
		Version: version,
		Routes: []describer.Route{
			{Name: "orders", Host: "a.example", Prefix: "/orders/", Kind: describer.KindUnsafe, Timeout: 2 * time.Second, MaxAttempts: 2, Splits: splits("desk")},
			{Name: "look", Host: "a.example", Prefix: "/look/", Kind: describer.KindSafe, Timeout: 2 * time.Second, MaxAttempts: 2, Splits: splits("desk")},
			{Name: "ledger", Host: "a.example", Prefix: "/ledger/", Kind: describer.KindUnsafe, Timeout: time.Minute, MaxAttempts: 2, Splits: splits("desk")},
			{Name: "archive", Host: "a.example", Prefix: "/archive/", Kind: describer.KindSafe, Timeout: time.Minute, MaxAttempts: 2, Splits: splits("desk")},
			{Name: "verse", Host: "a.example", Prefix: "/verse/", Kind: describer.KindStreaming, Timeout: 4 * time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Resumable: true, Splits: splits("writers")},
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: describer.KindStreaming, Timeout: 4 * time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Splits: splits("writers")},
		},
		Services: []describer.Service{
			{Name: "desk", HealthPath: "/health", ColdTime: coldTime, ColdRate: coldRate},
			{Name: "writers", ColdTime: coldTime, ColdRate: coldRate, Engine: &describer.Engine{Slots: 8, Models: []describer.Model{model}}},
		},
		RequiresKeys:  true,
		Organisations: []describer.Organisation{{Name: "press", Keys: []string{key}}},
		Limits:        describer.Limits{MaxBodyBytes: maxBodyBytes},
	}, nil
}

// testDialect uses plain headers that exist in these tests only.
type testDialect struct{}

func (testDialect) ParseRequest(r *http.Request) gatekeeper.RequestMetadata {
	left, _ := strconv.Atoi(r.Header.Get("Left-Ms"))
	return gatekeeper.RequestMetadata{
		AttemptID: r.Header.Get("Attempt"), Timeout: time.Duration(left) * time.Millisecond, APIKey: r.Header.Get("Key"),
		Model: r.Header.Get("Model"), LastEventID: r.Header.Get("Last-Event"), PromptParts: strings.Fields(r.Header.Get("Parts")),
	}
}

func (testDialect) ForwardHeader(in http.Header, metadata gatekeeper.ForwardMetadata) http.Header {
	out := in.Clone()
	out.Del("Key")
	out.Set("Instance", metadata.Instance)
	out.Set("Organisation", metadata.Organisation)
	out.Set("Left-Ms", strconv.Itoa(int(metadata.Timeout/time.Millisecond)))
	out.Set("Last-Event", metadata.LastEventID)
	return out
}

func (testDialect) ParseResponse(status int, h http.Header) gatekeeper.ResponseMetadata {
	away, _ := time.ParseDuration(h.Get("Stay-Away"))
	return gatekeeper.ResponseMetadata{
		AttemptID: h.Get("Attempt"), NotExecuted: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Leaving: h.Get("Leaving") != "", StayAway: away,
	}
}

func (testDialect) CopyResponseHeader(out, in http.Header) {
	for _, name := range []string{"Attempt", "Signature", "Content-Type", "Location"} {
		out.Set(name, in.Get(name))
	}
}

func (testDialect) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
}

// testSystem is one entry with a fake control process and fake endpoints.
type testSystem struct {
	t          testing.TB
	entry      *gatekeeper.Gatekeeper
	server     *httptest.Server
	mu         sync.Mutex
	response   messenger.FleetResponse
	syncs      int                           // syncs is the number of sync requests to control.
	commands   []messenger.QuarantineCommand // commands holds the reports of crashes to control.
	quarantine *quarantiner.Table            // quarantine, if set, is control's table, driven by the commands.
	endpoints  []*fakeEndpoint
	logged     logBuffer // logged is what the entry has logged.
}

// logBuffer keeps what is written to it. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// syncCount returns the number of sync requests to control.
func (s *testSystem) syncCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncs
}

// fakeEndpoint records the requests that it receives.
type fakeEndpoint struct {
	server   *httptest.Server
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	crashed  atomic.Bool // crashed means that crash was called.
}

func newSystem(t testing.TB, lease time.Duration) *testSystem { return newSystemWith(t, lease, nil) }

// newSystemWith is newSystem for an entry that checks endpoints that broke.
func newSystemWith(t testing.TB, lease time.Duration, health gatekeeper.HealthClient) *testSystem {
	s := &testSystem{t: t, response: messenger.FleetResponse{Changes: &messenger.FleetChanges{Whole: true}}}
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.URL.Path == "/fleet/quarantine" {
			var command messenger.QuarantineCommand
			assert.Check(t, json.NewDecoder(r.Body).Decode(&command))
			s.commands = append(s.commands, command)
			s.applyCommand(command)
			_ = json.NewEncoder(w).Encode(messenger.QuarantineAnswer{Accepted: true})
			return
		}
		s.syncs++
		if s.quarantine != nil {
			s.response.Quarantine = s.quarantine.ChangesSince(0)
		}
		_ = json.NewEncoder(w).Encode(s.response)
	}))
	t.Cleanup(control.Close)
	address := strings.TrimPrefix(control.URL, "http://")
	s.entry = gatekeeper.New(gatekeeper.Config{
		Name: "entry", FailureDomain: "ne-a", Seeds: []string{address}, Lease: lease, RetryRatio: 1, Decode: testConfiguration, Health: health,
	}, testDialect{}, exposer.NewLogger(&s.logged, "entry"))
	s.server = httptest.NewServer(s.entry)
	t.Cleanup(s.server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.entry.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// addEndpoint starts an endpoint of a service.
func (s *testSystem) addEndpoint(service string, handle http.HandlerFunc) *fakeEndpoint {
	e := &fakeEndpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.requests = append(e.requests, r.Clone(context.Background()))
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Signature", "signature-"+strconv.Itoa(len(s.endpoints)))
		handle(w, r)
	}))
	s.t.Cleanup(e.server.Close)
	id := fmt.Sprintf("i-%d", len(s.endpoints))
	s.endpoints = append(s.endpoints, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	view := messenger.EndpointView{Instance: id, Born: 1, Address: strings.TrimPrefix(e.server.URL, "http://"), Service: service, Slots: 8}
	s.response.Changes.Endpoints = append(s.response.Changes.Endpoints, view)
	if service == "writers" {
		s.response.Changes.Groups = append(s.response.Changes.Groups, messenger.GroupView{Name: "g" + id, Epoch: 1, Service: service, Model: "m", Members: []string{id}, Open: true})
	}
	s.response.Changes.View++
	return e
}

// declare makes control return a version of the configuration.
func (s *testSystem) declare(version int) {
	packed, err := packer.Pack([]byte(strconv.Itoa(version)))
	assert.NilError(s.t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response.Confirmed, s.response.Version, s.response.Document, s.response.Changes.Term = true, version, packed, 1
}

// start makes control return the configuration and waits until the entry is ready.
func (s *testSystem) start() {
	s.declare(3)
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.entry.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// setConfirmed sets whether control confirms the configuration.
func (s *testSystem) setConfirmed(confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response.Confirmed = confirmed
}

// call sends a request with default headers to the entry. Headers are pairs of a
// name and a value that override the defaults.
func (s *testSystem) call(method, path, body string, headers ...string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	r.Host = "a.example"
	r.Header.Set("Key", "k1")
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Model", "m")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

func (e *fakeEndpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func respond(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// rejectNotExecuted responds that the request was not executed.
func rejectNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestRequestsAreRejectedWithoutConfiguration(t *testing.T) {
	s := newSystem(t, time.Minute)
	for _, path := range []string{"/orders/1", "/nowhere"} {
		response, _, err := s.call(http.MethodPost, path, "x")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	}
}

func TestForwardedRequestCarriesMetadata(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	response, body, err := s.call(http.MethodPost, "/orders/a%2Fb?x=1", "parchment", "Organisation", "forged", "Left-Ms", "1500")
	assert.NilError(t, err)
	assert.Equal(t, body, "printed")
	assert.Equal(t, response.Header.Get("Signature"), "signature-1")
	forwarded := e.requests[0]
	assert.Equal(t, forwarded.URL.RequestURI(), "/orders/a%2Fb?x=1")
	assert.Equal(t, forwarded.Host, "a.example")
	assert.Equal(t, e.bodies[0], "parchment")
	assert.Equal(t, forwarded.Header.Get("Key"), "")
	assert.Equal(t, forwarded.Header.Get("Organisation"), "press")
	assert.Equal(t, forwarded.Header.Get("Instance"), "i-0")
	left, err := strconv.Atoi(forwarded.Header.Get("Left-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 1500, "left %d ms", left)
}

func TestInvalidKeyRouteAndBodyHaveDistinctStatuses(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	for _, c := range []struct {
		path, key, body string
		status          int
	}{
		{"/orders/1", "k2", "x", http.StatusUnauthorized},
		{"/other/1", "k1", "x", http.StatusNotFound},
		{"/orders/1", "k1", strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge},
	} {
		response, _, err := s.call(http.MethodPost, c.path, c.body, "Key", c.key)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, c.status, c.path)
	}
	assert.Equal(t, s.endpoints[0].requestCount(), 0)
}

// TestUnsafeRequestThatMayHaveRunIsNotRetried guards against executing an unsafe
// request twice after the connection broke.
func TestUnsafeRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	s := newSystem(t, time.Minute)
	a, b := s.addEndpoint("desk", abortConnection), s.addEndpoint("desk", abortConnection)
	s.start()
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, a.requestCount()+b.requestCount(), 1)
}

// TestGetOnUnsafeRouteIsNotRetried guards against retries by net/http itself, which
// assumes that GET requests are safe.
func TestGetOnUnsafeRouteIsNotRetried(t *testing.T) {
	s := newSystem(t, time.Minute)
	calls := 0
	e := s.addEndpoint("desk", func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls > 1 {
			abortConnection(w, r)
		}
	})
	s.start()
	_, _, err := s.call(http.MethodGet, "/orders/1", "")
	assert.NilError(t, err)
	// The second request uses a kept-alive connection, on which net/http would
	// retry a GET by itself.
	response, _, err := s.call(http.MethodGet, "/orders/2", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, e.requestCount(), 2)
}

func TestUnsafeRequestThatWasNotExecutedIsRetried(t *testing.T) {
	s := newSystem(t, time.Minute)
	a, b := s.addEndpoint("desk", rejectNotExecuted), s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	for range 8 {
		response, _, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
	}
	assert.Equal(t, b.requestCount(), 8)
	assert.Assert(t, a.requestCount() <= 8)
}

func TestRejectionByAllEndpointsIsReportedAsNotExecuted(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("desk", rejectNotExecuted)
	s.start()
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

func TestResponseOfAnotherRequestIsNotForwarded(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Attempt", "a0")
		_, _ = io.WriteString(w, "somebody else's")
	})
	s.start()
	response, body, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(body, "somebody"))
}

func TestSafeRequestIsRetriedAfterServerError(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("desk", respond(500, "broken"))
	s.addEndpoint("desk", respond(200, "found"))
	s.start()
	for range 6 {
		response, body, err := s.call(http.MethodGet, "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, "found")
	}
}

func TestAuthenticatedRequestsAreRejectedAfterLeaseExpiry(t *testing.T) {
	const lease = 300 * time.Millisecond
	s := newSystem(t, lease)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	s.setConfirmed(false)
	time.Sleep(lease)
	assert.Assert(t, !s.entry.Ready())
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, e.requestCount(), 0)
}

// TestEntryWithoutControlServesButClosesConnections loses the confirmation of the
// configuration: until the lease expires, the entry still serves, but it closes
// connections so that clients move to other entries.
func TestEntryWithoutControlServesButClosesConnections(t *testing.T) {
	s := newSystem(t, 4*time.Second)
	s.addEndpoint("writers", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	s.start()
	response, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Assert(t, !response.Close)
	s.setConfirmed(false)
	waitUntil(t, func() bool { return !s.entry.Ready() })
	response, _, err = s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, "the lease has not run out")
	assert.Assert(t, response.Close)
	s.setConfirmed(true)
	waitUntil(t, s.entry.Ready)
}

func TestMetricsCountOutcomesAndReasons(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	_, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	_, _, err = s.call(http.MethodPost, "/verse/1", "x")
	assert.NilError(t, err)
	var out strings.Builder
	metrics.WritePrometheus(&out, false)
	for _, name := range []string{
		`papayaseam_requests_total{kind="unsafe",outcome="answered"}`,
		`papayaseam_requests_total{kind="streaming",outcome="refused"}`,
		`papayaseam_refusals_total{reason="no endpoint serves it"}`,
		`papayaseam_request_seconds_count{kind="unsafe"}`,
	} {
		assert.Assert(t, strings.Contains(out.String(), name), name)
	}
}

// writeEvents writes the events from one number up to another.
func writeEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// completeStream returns the body of a stream with events 1 up to the given number.
func completeStream(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word%d\n\n", i, i)
	}
	return b.String()
}

// interruptFirstStream completes a resumed stream. It answers a first request with
// three events and part of the next, then aborts the connection.
func interruptFirstStream(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	if from > 0 {
		writeEvents(w, from+1, 6)
		return
	}
	writeEvents(w, 1, 3)
	_, _ = io.WriteString(w, "id: 4\ndata: wo")
	_ = http.NewResponseController(w).Flush()
	abortConnection(w, r)
}

func TestInterruptedStreamResumesElsewhere(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("writers", interruptFirstStream)
	s.addEndpoint("writers", interruptFirstStream)
	s.start()
	response, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, completeStream(6))
	assert.Assert(t, strings.HasPrefix(response.Header.Get("Signature"), "signature-"))
	assert.Equal(t, s.endpoints[0].requestCount()+s.endpoints[1].requestCount(), 2)
}

// TestErrorOfSecondEndpointIsNotWrittenIntoStream guards against an error of the
// endpoint at which a stream is resumed that appears amid the client's events, or that
// ends the stream as if it were complete.
func TestErrorOfSecondEndpointIsNotWrittenIntoStream(t *testing.T) {
	withType := func(contentType string, status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for name, second := range map[string]http.HandlerFunc{
		"server error":         withType("text/plain", http.StatusInternalServerError, "out of memory\n\n"),
		"server error, events": withType("text/event-stream", http.StatusInternalServerError, "data: out of memory\n\n"),
		"success of the error": withType("application/json", http.StatusOK, "{\"error\":\"out of memory\"}\n\n"),
		"success without type": withType("", http.StatusOK, ""),
		"empty page":           withType("text/html; charset=utf-8", http.StatusOK, ""),
		"no content":           withType("text/event-stream", http.StatusNoContent, ""),
		"endless error": func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, time.Minute)
			for range 2 {
				s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Last-Event") == "" {
						interruptFirstStream(w, r)
					}
					second(w, r)
				})
			}
			s.start()
			start := time.Now()
			_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
			assert.Assert(t, err != nil, "the stream ended as if it were complete")
			assert.Equal(t, body, completeStream(3))
			assert.Assert(t, time.Since(start) < 2*time.Second, "the client waited for the error's end")
		})
	}
}

// TestResumedStreamThatBeginsAnewIsNotForwarded guards against events that the client
// gets twice, or pieces of two runs joined, from an endpoint that does not resume where
// the last one broke off.
func TestResumedStreamThatBeginsAnewIsNotForwarded(t *testing.T) {
	s := newSystem(t, time.Minute)
	for range 2 {
		s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event") == "" {
				interruptFirstStream(w, r)
			}
			writeEvents(w, 1, 6)
		})
	}
	s.start()
	_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.Assert(t, err != nil, "the stream ended as if it were complete")
	assert.Equal(t, body, completeStream(3))
}

func TestInterruptedStreamOfNonResumableRouteIsAborted(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("writers", interruptFirstStream)
	s.addEndpoint("writers", interruptFirstStream)
	s.start()
	_, body, err := s.call(http.MethodPost, "/once/1", "prompt")
	assert.Assert(t, err != nil, "an interrupted stream ended without an error")
	assert.Equal(t, body, completeStream(3))
	assert.Equal(t, s.endpoints[0].requestCount()+s.endpoints[1].requestCount(), 1)
}

// TestErrorOfEntryCarriesNoEndpointSignature guards against copying an endpoint's
// header to the client before its first complete event.
func TestErrorOfEntryCarriesNoEndpointSignature(t *testing.T) {
	s := newSystem(t, time.Minute)
	partialEvent := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: wo")
		_ = http.NewResponseController(w).Flush()
		abortConnection(w, r)
	}
	s.addEndpoint("writers", partialEvent)
	s.start()
	response, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Signature"), "")
}

func TestStreamOfLostGroupResumesElsewhere(t *testing.T) {
	s := newSystem(t, time.Minute)
	hangFirstStream := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		if from > 0 {
			writeEvents(w, from+1, 6)
			return
		}
		writeEvents(w, 1, 3)
		<-r.Context().Done()
	}
	s.addEndpoint("writers", hangFirstStream)
	s.addEndpoint("writers", hangFirstStream)
	s.start()
	done := make(chan string, 1)
	go func() {
		_, body, _ := s.call(http.MethodPost, "/verse/1", "prompt")
		done <- body
	}()
	first := -1
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, e := range s.endpoints {
			if e.requestCount() > 0 {
				first = i
				return poll.Success()
			}
		}
		return poll.Continue("no attempt received")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	s.mu.Lock()
	s.response.Changes.Groups[first].Open = false
	s.response.Changes.Groups[first].Broken = true
	s.response.Changes.View++
	s.mu.Unlock()
	assert.Equal(t, <-done, completeStream(6))
}

// TestPartialViewCancelsNoStreamAndKeepsGroups guards against treating a partial
// view of a new leader as complete, which would remove the groups it lacks.
func TestPartialViewCancelsNoStreamAndKeepsGroups(t *testing.T) {
	s := newSystem(t, time.Minute)
	resume := make(chan struct{})
	e := s.addEndpoint("writers", func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		<-resume
		writeEvents(w, 4, 6)
	})
	s.start()
	done := make(chan string, 1)
	go func() {
		_, body, _ := s.call(http.MethodPost, "/verse/1", "prompt")
		done <- body
	}()
	waitUntil(t, func() bool { return e.requestCount() > 0 })
	s.mu.Lock()
	endpoints, groups := s.response.Changes.Endpoints, s.response.Changes.Groups
	s.response.Changes.Endpoints, s.response.Changes.Groups = nil, nil
	s.response.Changes.Partial = true
	s.response.Changes.Term++
	s.mu.Unlock()
	syncs := s.syncCount()
	waitUntil(t, func() bool { return s.syncCount() > syncs+1 })
	close(resume)
	assert.Equal(t, <-done, completeStream(6))
	response, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	s.mu.Lock()
	s.response.Changes.Endpoints, s.response.Changes.Groups = endpoints, groups[:0]
	s.response.Changes.Partial = false
	s.response.Changes.View++
	s.mu.Unlock()
	syncs = s.syncCount()
	waitUntil(t, func() bool { return s.syncCount() > syncs+1 })
	response, _, err = s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, "a complete view removes the group")
}

// waitUntil fails the test if the condition is not met within 5 s.
func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("condition not met")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	s := newSystem(t, time.Minute)
	ended := make(chan struct{})
	s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 1)
		<-r.Context().Done()
		close(ended)
	})
	s.start()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/verse/1", strings.NewReader("p"))
	assert.NilError(t, err)
	r.Host = "a.example"
	r.Header.Set("Key", "k1")
	r.Header.Set("Model", "m")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	cancel()
	_ = response.Body.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint was not canceled after the client disconnected")
	}
}

func TestDrainingEntryIsNotReadyAndFinishesRequests(t *testing.T) {
	s := newSystem(t, time.Minute)
	release := make(chan struct{})
	s.addEndpoint("desk", func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "printed")
	})
	s.start()
	done := make(chan string, 1)
	go func() {
		_, body, _ := s.call(http.MethodPost, "/orders/1", "x")
		done <- body
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.entry.Open() == 1 {
			return poll.Success()
		}
		return poll.Continue("no request in flight")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	drained := make(chan struct{})
	go func() {
		s.entry.Drain(context.Background())
		close(drained)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !s.entry.Ready() {
			return poll.Success()
		}
		return poll.Continue("still ready")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	close(release)
	assert.Equal(t, <-done, "printed")
	<-drained
}

// ledger counts how often each request was executed, over all endpoints.
type ledger struct {
	mu       sync.Mutex
	executed map[string]int
}

func (l *ledger) execute(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executed[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executed[id]
}

// addRepeatingEndpoint starts an endpoint of the desk that refuses the first request of
// each connection, and writes that refusal once more before its answer to each further
// request, which it executes.
func (s *testSystem) addRepeatingEndpoint(l *ledger) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatRefusal(conn, l)
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response.Changes.Endpoints = append(s.response.Changes.Endpoints, messenger.EndpointView{
		Instance: "repeating", Born: 1, Address: listener.Addr().String(), Service: "desk", Slots: 8,
	})
	s.response.Changes.View++
}

func repeatRefusal(conn net.Conn, l *ledger) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Attempt")
		if refusal == "" {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		l.execute(id)
		_, _ = io.WriteString(conn, refusal)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: "+id+"\r\nContent-Length: 7\r\n\r\nprinted")
	}
}

// TestRefusalWrittenOnceMoreIsNotBelieved guards against an earlier refusal that arrives
// where the answer to another request is due: the request may be running, and must be
// neither reported as not run nor sent to a second endpoint.
func TestRefusalWrittenOnceMoreIsNotBelieved(t *testing.T) {
	s := newSystem(t, time.Minute)
	l := &ledger{executed: map[string]int{}}
	s.addRepeatingEndpoint(l)
	s.addEndpoint("desk", func(w http.ResponseWriter, r *http.Request) {
		l.execute(r.Header.Get("Attempt"))
		_, _ = io.WriteString(w, "printed")
	})
	s.start()
	failed := 0
	for i := 0; i < 40 && failed == 0; i++ {
		// The entry leaves an endpoint that refused alone for a moment.
		time.Sleep(100 * time.Millisecond)
		id := fmt.Sprint("order", i)
		response, body, err := s.call(http.MethodPost, "/orders/"+id, "x", "Attempt", id)
		assert.NilError(t, err)
		assert.Check(t, l.count(id) <= 1, "%s ran %d times", id, l.count(id))
		switch response.StatusCode {
		case http.StatusOK:
			assert.Check(t, body == "printed" && response.Header.Get("Attempt") == id, "%s: %s for %s", id, body, response.Header.Get("Attempt"))
		case http.StatusServiceUnavailable:
			assert.Check(t, l.count(id) == 0, "%s was reported as not run and ran", id)
		default:
			failed++
		}
	}
	assert.Check(t, failed > 0, "the endpoint never repeated its refusal")
}
