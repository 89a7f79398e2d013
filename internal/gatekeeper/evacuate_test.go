package gatekeeper

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// newEvacuatingEntry returns an entry in the failure domain d0 with a plain endpoint in d0
// and one in d1, and its log. Control confirmed its configuration at the given time.
func newEvacuatingEntry(confirmedAt time.Duration) (*Gatekeeper, *bytes.Buffer) {
	var out bytes.Buffer
	g := New(Config{Name: "entry", FailureDomain: "d0", Lease: time.Minute, EvacuateWithin: 5 * time.Second}, nil, exposer.NewLogger(&out, "entry"))
	g.active.Store(&activeConfig{config: &describer.Configuration{}, confirmedAt: confirmedAt})
	g.applyFleetChanges(messenger.FleetResponse{Changes: &messenger.FleetChanges{Term: 1, View: 1, Whole: true, Endpoints: []messenger.EndpointView{
		{Instance: "a", Born: 1, Service: "desk", Slots: 8, FailureDomain: "d0"}, {Instance: "b", Born: 1, Service: "desk", Slots: 8, FailureDomain: "d1"},
	}}})
	return g, &out
}

func evacuated(revision int, domains ...string) messenger.EvacuationList {
	list := messenger.EvacuationList{Revision: revision}
	for _, domain := range domains {
		list.FailureDomains = append(list.FailureDomains, messenger.Evacuation{FailureDomain: domain, Active: true, Modified: revision})
	}
	return list
}

// picked reports whether any of many draws at one time goes to an endpoint.
func (g *Gatekeeper) picked(id string, at time.Duration) bool {
	for range 200 {
		if target, ok := g.chooser.Pick(chooser.Request{Service: "desk", Now: at}); ok && target.ID == id {
			return true
		}
	}
	return false
}

// TestEntryEndsItsRequestsWithinTheBound guards against a request that reaches an evacuated
// failure domain after the bound, counted from the last confirmation without the evacuation,
// since it may have been acknowledged right after that: also from an entry that was cut off,
// or stood still, and has just learned of it.
func TestEntryEndsItsRequestsWithinTheBound(t *testing.T) {
	now := timekeeper.Now() + time.Hour
	for _, c := range []struct {
		name           string
		silence        time.Duration
		first, last    time.Duration // first is when requests may still be sent, last when none may.
		stillServed    bool
		servedFromElse bool
	}{
		{"in touch", 200 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, true, true},
		{"learned late", 2500 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, true, true},
		{"cut off", 4 * time.Second, 0, 0, false, true},
	} {
		g, _ := newEvacuatingEntry(now - c.silence)
		g.applyEvacuations(evacuated(1, "d0"), now)
		assert.Equal(t, g.picked("a", now+c.first), c.stillServed, c.name)
		assert.Assert(t, !g.picked("a", now+c.last), c.name)
		assert.Assert(t, c.silence+c.last <= 4*time.Second, "%s: nothing is left of the bound", c.name)
		assert.Equal(t, g.picked("b", now+c.last), c.servedFromElse, c.name)
	}
}

// TestStartingEntryDoesNotPhaseOut guards against an entry that is started during an
// evacuation and begins to send to the failure domain.
func TestStartingEntryDoesNotPhaseOut(t *testing.T) {
	g, _ := newEvacuatingEntry(0)
	g.active.Store(nil)
	now := timekeeper.Now()
	g.applyEvacuations(evacuated(1, "d0"), now)
	assert.Assert(t, !g.picked("a", now))
	assert.Assert(t, g.picked("b", now))
}

// TestLateAnswerRevokesNothing guards against an entry that takes the evacuations of a
// process which lags behind the one that it asked before.
func TestLateAnswerRevokesNothing(t *testing.T) {
	g, out := newEvacuatingEntry(0)
	now := timekeeper.Now()
	g.applyEvacuations(evacuated(2, "d0", "d1"), now)
	g.applyEvacuations(evacuated(1, "d0"), now)
	assert.Assert(t, !g.picked("b", now))
	assert.Equal(t, strings.Count(out.String(), "evacuations applied"), 1)
	g.applyEvacuations(evacuated(3), now)
	assert.Assert(t, g.picked("a", now) && g.picked("b", now))
}

// TestRequestThatOnlyEvacuatedEndpointsServeIsRefusedWithItsReason guards against clients of
// a plain service that wait for a place which does not come.
func TestRequestThatOnlyEvacuatedEndpointsServeIsRefusedWithItsReason(t *testing.T) {
	g, _ := newEvacuatingEntry(0)
	g.applyEvacuations(evacuated(1, "d0", "d1"), timekeeper.Now())
	e := &exchange{service: describer.Service{Name: "desk"}}
	_, ok := g.pickEndpoint(e)
	assert.Assert(t, !ok)
	assert.Equal(t, e.failureReason, evacuatedReason)
}

// TestLogLineOfManyEvacuationsIsBounded guards against a line that grows with the names.
func TestLogLineOfManyEvacuationsIsBounded(t *testing.T) {
	g, out := newEvacuatingEntry(0)
	var domains []string
	for i := range 200 {
		domains = append(domains, strings.Repeat("x", 20)+string(rune('a'+i%26))+strings.Repeat("y", i))
	}
	g.applyEvacuations(evacuated(1, domains...), timekeeper.Now())
	assert.Assert(t, out.Len() < 1000+maxLoggedDomains*300, "%d bytes", out.Len())
}

// TestRequestSentAfterThePhaseOutIsLogged guards against a log and a metric that cannot tell
// a request which was under way as the phase-out ended from one that is allowed.
func TestRequestSentAfterThePhaseOutIsLogged(t *testing.T) {
	now := timekeeper.Now()
	g, out := newEvacuatingEntry(now)
	count := func(during string) uint64 {
		return metrics.GetOrCreateCounter(`papayaseam_requests_sent_to_evacuated_total{during="` + during + `"}`).Get()
	}
	allowed, late := count("phase-out"), count("evacuation")
	sent := func(id string, after time.Duration) {
		g.recordSentToEvacuated(&exchange{chosenAt: now}, chooser.Target{ID: id}, now+after)
	}
	sent("a", 0)
	g.applyEvacuations(evacuated(1, "d0"), now)
	sent("b", time.Second)
	sent("unknown", time.Second)
	sent("a", time.Second)
	assert.Equal(t, count("phase-out"), allowed+1)
	assert.Assert(t, !strings.Contains(out.String(), "request sent"))
	sent("a", 3*time.Second)
	assert.Equal(t, count("evacuation"), late+1)
	assert.Assert(t, strings.Contains(out.String(), "request sent to an evacuated failure domain"))
	assert.Assert(t, strings.Contains(out.String(), "chosen-ms=-2000 sent-ms=1000"), out.String())
}

// plainDialect sends no headers of its own and reads every answer as a served one.
type plainDialect struct{ Dialect }

func (plainDialect) ForwardHeader(http.Header, ForwardMetadata) http.Header { return http.Header{} }
func (plainDialect) ParseResponse(int, http.Header) ResponseMetadata        { return ResponseMetadata{} }

// TestRequestChosenBeforeTheEndOfThePhaseOutIsNotSentAfterIt guards against a request that
// reaches an evacuated failure domain after the bound because the process was suspended, or
// got no processor time, between the choice of the endpoint and the send.
func TestRequestChosenBeforeTheEndOfThePhaseOutIsNotSentAfterIt(t *testing.T) {
	received := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received++ }))
	defer server.Close()
	now := timekeeper.Now()
	g, _ := newEvacuatingEntry(now)
	g.dialect = plainDialect{}
	send := func() verdict {
		r := httptest.NewRequest(http.MethodPost, "/orders/1", http.NoBody)
		e := &exchange{r: r, body: &transporter.Body{}, startedAt: now, deadline: now + time.Minute, chosenAt: now}
		response, _, v, err := g.dispatch(t.Context(), e, chooser.Target{ID: "a", BootTime: 1, Address: server.Listener.Addr().String()})
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
		return v
	}
	assert.Equal(t, send(), answered)
	g.applyEvacuations(evacuated(1, "d0"), now)
	assert.Equal(t, send(), answered, "requests are phased out first")
	g.applyEvacuations(evacuated(2), now)
	g.applyEvacuations(evacuated(3, "d0"), now-time.Minute)
	assert.Equal(t, send(), notExecuted)
	assert.Equal(t, received, 2)
	g.applyEvacuations(evacuated(4), now)
	assert.Equal(t, send(), answered, "the evacuation is revoked")
}
