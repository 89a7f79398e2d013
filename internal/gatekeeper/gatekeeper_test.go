package gatekeeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/exposer"
	"papayaseam/internal/gatekeeper"
	"papayaseam/internal/messenger"
	"papayaseam/internal/packer"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// configured is the configuration that control tells in these tests.
func configured([]byte) (*describer.Configuration, error) {
	to := func(service string) []describer.Split { return []describer.Split{{Service: service, Weight: 1}} }
	model := describer.Model{Name: "m", Size: 2, Share: 1, Pace: 1, Load: time.Second, Warm: time.Second}
	return &describer.Configuration{
		Version: 3,
		Routes: []describer.Route{
			{Name: "orders", Host: "a.example", Prefix: "/orders/", Kind: describer.KindUnsafe, Timeout: 2 * time.Second, MaxAttempts: 2, Splits: to("desk")},
			{Name: "look", Host: "a.example", Prefix: "/look/", Kind: describer.KindSafe, Timeout: 2 * time.Second, MaxAttempts: 2, Splits: to("desk")},
			{Name: "verse", Host: "a.example", Prefix: "/verse/", Kind: describer.KindStreaming, Timeout: 4 * time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Resumable: true, Splits: to("writers")},
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: describer.KindStreaming, Timeout: 4 * time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Splits: to("writers")},
		},
		Services:      []describer.Service{{Name: "desk"}, {Name: "writers", Engine: &describer.Engine{Slots: 8, Models: []describer.Model{model}}}},
		Organisations: []describer.Organisation{{Name: "press", Keys: []string{"k1"}}},
		Limits:        describer.Limits{BodyBytes: 1000},
	}, nil
}

// dialect is a plain way to speak, for these tests alone.
type dialect struct{}

func (dialect) ParseRequest(r *http.Request) gatekeeper.RequestMetadata {
	left, _ := strconv.Atoi(r.Header.Get("Left-Ms"))
	return gatekeeper.RequestMetadata{
		AttemptID: r.Header.Get("Attempt"), Timeout: time.Duration(left) * time.Millisecond, APIKey: r.Header.Get("Key"),
		Model: r.Header.Get("Model"), LastEventID: r.Header.Get("Last-Event"),
	}
}

func (dialect) ForwardHeader(in http.Header, d gatekeeper.ForwardMetadata) http.Header {
	out := in.Clone()
	out.Del("Key")
	out.Set("Instance", d.Instance)
	out.Set("Organisation", d.Organisation)
	out.Set("Left-Ms", strconv.Itoa(int(d.Timeout/time.Millisecond)))
	out.Set("Last-Event", d.LastEventID)
	return out
}

func (dialect) ParseResponse(status int, h http.Header) gatekeeper.ResponseMetadata {
	return gatekeeper.ResponseMetadata{AttemptID: h.Get("Attempt"), NotExecuted: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest}
}

func (dialect) CopyResponseHeader(out, in http.Header) {
	for _, name := range []string{"Attempt", "Proof", "Content-Type"} {
		out.Set(name, in.Get(name))
	}
}

func (dialect) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
}

// system is one entry with a stand-in for control and for endpoints.
type system struct {
	t         *testing.T
	entry     *gatekeeper.Gatekeeper
	front     *httptest.Server
	mu        sync.Mutex
	response  messenger.FleetResponse
	questions int // questions is how often the entry has asked control.
	endpoints []*endpoint
}

// asked returns how often the entry has asked control.
func (s *system) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.questions
}

type endpoint struct {
	server *httptest.Server
	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
}

func newSystem(t *testing.T, lease time.Duration) *system {
	s := &system{t: t, response: messenger.FleetResponse{Changes: &messenger.FleetChanges{Whole: true}}}
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.questions++
		_ = json.NewEncoder(w).Encode(s.response)
	}))
	t.Cleanup(control.Close)
	address := strings.TrimPrefix(control.URL, "http://")
	s.entry = gatekeeper.New(gatekeeper.Config{
		Name: "entry", FailureDomain: "ne-a", Seeds: []string{address}, Lease: lease, RetryRatio: 1, Decode: configured,
	}, dialect{}, exposer.NewLogger(io.Discard, "entry"))
	s.front = httptest.NewServer(s.entry)
	t.Cleanup(s.front.Close)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.entry.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// add starts an endpoint of a service.
func (s *system) add(service string, handle http.HandlerFunc) *endpoint {
	e := &endpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.seen = append(e.seen, r.Clone(context.Background()))
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Proof", "seal-of-"+strconv.Itoa(len(s.endpoints)))
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

// start lets control tell the configuration and waits until the entry is ready.
func (s *system) start() {
	packed, err := packer.Pack([]byte("3"))
	assert.NilError(s.t, err)
	s.mu.Lock()
	s.response.Confirmed, s.response.Version, s.response.Document, s.response.Changes.Term = true, 3, packed, 1
	s.mu.Unlock()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.entry.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (s *system) confirm(confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response.Confirmed = confirmed
}

func (s *system) call(method, path, body string, headers ...string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, s.front.URL+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	r.Host = "a.example"
	r.Header.Set("Key", "k1")
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Model", "m")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

func answer(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestEntryWithoutConfigurationSaysNotRun(t *testing.T) {
	s := newSystem(t, time.Minute)
	for _, path := range []string{"/orders/1", "/nowhere"} {
		response, _, err := s.call(http.MethodPost, path, "x")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	}
}

func TestRequestIsForwardedWithWhatTheSystemAdds(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.add("desk", answer(200, "printed"))
	s.start()
	response, body, err := s.call(http.MethodPost, "/orders/a%2Fb?x=1", "parchment", "Organisation", "forged", "Left-Ms", "1500")
	assert.NilError(t, err)
	assert.Equal(t, body, "printed")
	assert.Equal(t, response.Header.Get("Proof"), "seal-of-1")
	seen := e.seen[0]
	assert.Equal(t, seen.URL.RequestURI(), "/orders/a%2Fb?x=1")
	assert.Equal(t, seen.Host, "a.example")
	assert.Equal(t, e.bodies[0], "parchment")
	assert.Equal(t, seen.Header.Get("Key"), "")
	assert.Equal(t, seen.Header.Get("Organisation"), "press")
	assert.Equal(t, seen.Header.Get("Instance"), "i-0")
	left, err := strconv.Atoi(seen.Header.Get("Left-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 1500, "left %d ms", left)
}

func TestWrongKeyRouteAndBodyAreToldApart(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("desk", answer(200, "printed"))
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
	assert.Equal(t, s.endpoints[0].count(), 0)
}

func TestOrderThatMayHaveRunIsNeverSentAgain(t *testing.T) {
	s := newSystem(t, time.Minute)
	a, b := s.add("desk", hangUp), s.add("desk", hangUp)
	s.start()
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, a.count()+b.count(), 1)
}

func TestReadMethodOfAnUnsafeRouteIsNotSentAgainEither(t *testing.T) {
	s := newSystem(t, time.Minute)
	calls := 0
	e := s.add("desk", func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls > 1 {
			hangUp(w, r)
		}
	})
	s.start()
	_, _, err := s.call(http.MethodGet, "/orders/1", "")
	assert.NilError(t, err)
	// The second call goes over a kept connection, where the library would replay.
	response, _, err := s.call(http.MethodGet, "/orders/2", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, e.count(), 2)
}

func TestOrderThatDidNotRunGoesElsewhere(t *testing.T) {
	s := newSystem(t, time.Minute)
	a, b := s.add("desk", refuse), s.add("desk", answer(200, "printed"))
	s.start()
	for range 8 {
		response, _, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
	}
	assert.Equal(t, b.count(), 8)
	assert.Assert(t, a.count() <= 8)
}

func TestRefusalByAllIsSaidToBeNotRun(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("desk", refuse)
	s.start()
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Attempt", "a0")
		_, _ = io.WriteString(w, "somebody else's")
	})
	s.start()
	response, body, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(body, "somebody"))
}

func TestSafeRequestIsTriedElsewhereAfterAFailure(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("desk", answer(500, "broken"))
	s.add("desk", answer(200, "found"))
	s.start()
	for range 6 {
		response, body, err := s.call(http.MethodGet, "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, "found")
	}
}

func TestKeyedRequestsStopWhenTheLeaseHasRunOut(t *testing.T) {
	const lease = 300 * time.Millisecond
	s := newSystem(t, lease)
	e := s.add("desk", answer(200, "printed"))
	s.start()
	s.confirm(false)
	time.Sleep(lease)
	assert.Assert(t, !s.entry.Ready())
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, e.count(), 0)
}

func TestEntryOutOfTouchSendsItsClientsElsewhereWhileItCanServe(t *testing.T) {
	s := newSystem(t, 4*time.Second)
	s.add("writers", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
	s.start()
	response, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Assert(t, !response.Close)
	s.confirm(false)
	until(t, func() bool { return !s.entry.Ready() })
	response, _, err = s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, "the lease has not run out")
	assert.Assert(t, response.Close)
	s.confirm(true)
	until(t, s.entry.Ready)
}

func TestMetricsTellOutcomesAndReasons(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("desk", answer(200, "printed"))
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

// events writes events from one number to another.
func events(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func wholeStream(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word%d\n\n", i, i)
	}
	return b.String()
}

// breaking answers the first call up to an event and half of the next, then
// hangs up; a call that resumes is answered to the end.
func breaking(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	if from > 0 {
		events(w, from+1, 6)
		return
	}
	events(w, 1, 3)
	_, _ = io.WriteString(w, "id: 4\ndata: wo")
	_ = http.NewResponseController(w).Flush()
	hangUp(w, r)
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("writers", breaking)
	s.add("writers", breaking)
	s.start()
	response, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, wholeStream(6))
	assert.Assert(t, strings.HasPrefix(response.Header.Get("Proof"), "seal-of-"))
	assert.Equal(t, s.endpoints[0].count()+s.endpoints[1].count(), 2)
}

func TestStreamThatMayNotBeResumedNeverLooksComplete(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("writers", breaking)
	s.add("writers", breaking)
	s.start()
	_, body, err := s.call(http.MethodPost, "/once/1", "prompt")
	assert.Assert(t, err != nil, "the stream ended as complete")
	assert.Equal(t, body, wholeStream(3))
	assert.Equal(t, s.endpoints[0].count()+s.endpoints[1].count(), 1)
}

func TestOwnFailureBearsNoProofOfAnEndpoint(t *testing.T) {
	s := newSystem(t, time.Minute)
	headOnly := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: wo")
		_ = http.NewResponseController(w).Flush()
		hangUp(w, r)
	}
	s.add("writers", headOnly)
	s.start()
	response, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Proof"), "")
}

func TestStreamOfALostGroupGoesOnElsewhere(t *testing.T) {
	s := newSystem(t, time.Minute)
	standing := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		if from > 0 {
			events(w, from+1, 6)
			return
		}
		events(w, 1, 3)
		<-r.Context().Done()
	}
	s.add("writers", standing)
	s.add("writers", standing)
	s.start()
	done := make(chan string, 1)
	go func() {
		_, body, _ := s.call(http.MethodPost, "/verse/1", "prompt")
		done <- body
	}()
	first := -1
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, e := range s.endpoints {
			if e.count() > 0 {
				first = i
				return poll.Success()
			}
		}
		return poll.Continue("no attempt yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	s.mu.Lock()
	s.response.Changes.Groups[first].Open = false
	s.response.Changes.Groups[first].Broken = true
	s.response.Changes.View++
	s.mu.Unlock()
	assert.Equal(t, <-done, wholeStream(6))
}

func TestPartialViewEndsNoStreamAndHidesNoGroup(t *testing.T) {
	s := newSystem(t, time.Minute)
	goOn := make(chan struct{})
	e := s.add("writers", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		<-goOn
		events(w, 4, 6)
	})
	s.start()
	done := make(chan string, 1)
	go func() {
		_, body, _ := s.call(http.MethodPost, "/verse/1", "prompt")
		done <- body
	}()
	until(t, func() bool { return e.count() > 0 })
	s.mu.Lock()
	endpoints, groups := s.response.Changes.Endpoints, s.response.Changes.Groups
	s.response.Changes.Endpoints, s.response.Changes.Groups = nil, nil
	s.response.Changes.Partial = true
	s.response.Changes.Term++
	s.mu.Unlock()
	seen := s.asked()
	until(t, func() bool { return s.asked() > seen+1 })
	close(goOn)
	assert.Equal(t, <-done, wholeStream(6))
	response, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	s.mu.Lock()
	s.response.Changes.Endpoints, s.response.Changes.Groups = endpoints, groups[:0]
	s.response.Changes.Partial = false
	s.response.Changes.View++
	s.mu.Unlock()
	seen = s.asked()
	until(t, func() bool { return s.asked() > seen+1 })
	response, _, err = s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, "a whole view counts")
}

func until(t *testing.T, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestClientThatLeavesEndsTheWork(t *testing.T) {
	s := newSystem(t, time.Minute)
	ended := make(chan struct{})
	s.add("writers", func(w http.ResponseWriter, r *http.Request) {
		events(w, 1, 1)
		<-r.Context().Done()
		close(ended)
	})
	s.start()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/verse/1", strings.NewReader("p"))
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
		t.Fatal("the endpoint still works after its client has left")
	}
}

func TestStoppingEntryIsNotReadyAndEndsItsRequests(t *testing.T) {
	s := newSystem(t, time.Minute)
	release := make(chan struct{})
	s.add("desk", func(w http.ResponseWriter, _ *http.Request) {
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
		return poll.Continue("not open")
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
