package gatekeeper

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/rationer"
	"papayaseam/internal/timekeeper"

	"gotest.tools/v3/assert"
)

// newExchange returns a request to model m of the route with the given priority.
func newExchange(g *Gatekeeper, priority int, organisation, fingerprint string) *exchange {
	config := g.active.Load().config
	e := &exchange{
		route: config.Routes[priority], priority: priority, service: config.Services[0], organisation: organisation, fingerprint: fingerprint,
		metadata: RequestMetadata{Model: "m", PromptTokens: 100, OutputTokens: 100}, startedAt: timekeeper.Now(), deadline: time.Hour,
	}
	g.recordRequest(e)
	return e
}

// setLoad sets the load of all groups of model m, which have 32 slots each.
func setLoad(g *Gatekeeper, load int) {
	for i := range 3 {
		g.chooser.Update(chooser.LoadMsg{Now: timekeeper.Now(), ID: fmt.Sprint("i-", i), Running: load})
	}
}

// reasonFor returns why a new request gets no endpoint, or an empty string.
func reasonFor(g *Gatekeeper, priority int, organisation, fingerprint string) string {
	e := newExchange(g, priority, organisation, fingerprint)
	if target, ok := g.pickEndpoint(e); ok {
		g.recordAttemptEnd(target, chooser.Served)
	}
	return e.failureReason
}

// TestUrgentRequestsFindTheSlotsThatOthersLeave guards against refusing an urgent request
// although slots are kept for it, and against refusals of others without a reason of
// their own.
func TestUrgentRequestsFindTheSlotsThatOthersLeave(t *testing.T) {
	g := newPicker(rationer.Auto, prioritiesConfiguration(0, 1, 2))
	for i := range 3 {
		assert.Equal(t, reasonFor(g, i, "press", fmt.Sprint("first", i)), "")
	}
	setLoad(g, 27)
	assert.Equal(t, reasonFor(g, 0, "press", "a"), "")
	assert.Equal(t, reasonFor(g, 2, "press", "b"), string(rationer.LessUrgent))
	setLoad(g, 28)
	assert.Equal(t, reasonFor(g, 0, "press", "c"), noPlaceReason)
	assert.Equal(t, reasonFor(g, 2, "press", "d"), noPlaceReason)
	setLoad(g, 27)
	assert.Equal(t, reasonFor(g, 0, "press", "e"), "")
	assert.Equal(t, reasonFor(g, 0, "press", "c"), string(rationer.TooEarly))
	setLoad(g, 10)
	assert.Equal(t, reasonFor(g, 2, "press", "f"), "", "slots are free")
}

// crowd lets an organisation ask for much more than another for ten seconds until now,
// while the model is full.
func crowd(g *Gatekeeper, organisation string) {
	start := timekeeper.Now() - 10*time.Second
	for i := range 2000 {
		request := rationer.Request{Service: "writers", Model: "m", Organisation: organisation, Kind: "r0", Work: 200, Utilization: 0.87, Now: start + time.Duration(i)*5*time.Millisecond}
		if i%10 == 0 {
			request.Organisation = "huts"
		}
		g.rationer.Update(rationer.RequestMsg{Request: request})
		if request.Organisation == "huts" || (i%2 == 0 && !g.rationer.Decide(request).Refused) {
			g.rationer.Update(rationer.AdmittedMsg{Request: request})
		}
	}
}

// TestCrowdingOrganisationIsRefusedFirst guards against an organisation that gets the
// slots that another one needs, and against refusals while slots are free.
func TestCrowdingOrganisationIsRefusedFirst(t *testing.T) {
	g := newPicker(rationer.On, prioritiesConfiguration(1, 1, 1))
	crowd(g, "press")
	setLoad(g, 26)
	before := aboveShareRefusals.Get()
	refused := 0
	for i := range 400 {
		if reason := reasonFor(g, 1, "press", fmt.Sprint("p", i)); reason != "" {
			assert.Equal(t, reason, string(rationer.AboveShare))
			refused++
		}
		if i%20 == 0 {
			assert.Equal(t, reasonFor(g, 1, "huts", fmt.Sprint("h", i)), "")
		}
	}
	assert.Assert(t, refused > 0)
	assert.Equal(t, aboveShareRefusals.Get()-before, uint64(refused))
	setLoad(g, 10)
	assert.Equal(t, reasonFor(g, 1, "press", "free"), "")
}

// TestSecondAttemptIsNotRationed guards against a request that is charged or refused
// again after its first endpoint has failed partway: its organisation has paid for it.
func TestSecondAttemptIsNotRationed(t *testing.T) {
	g := newPicker(rationer.On, prioritiesConfiguration(1, 1, 1))
	e := newExchange(g, 1, "press", "a")
	g.retryBudget.RecordRequest(e.service.Name)
	for range 20 {
		g.retryBudget.RecordRequest(e.service.Name)
	}
	target, ok := g.pickEndpoint(e)
	assert.Assert(t, ok)
	g.recordAttemptEnd(target, chooser.Failed)
	e.attempts, e.tried = 1, []string{target.ID}
	crowd(g, "press")
	setLoad(g, 26)
	_, ok = g.pickEndpoint(e)
	assert.Assert(t, ok, e.failureReason)
}

// TestDemandOfAModelThatIsNotDeclaredIsNotKept guards against state that clients can make
// grow with invented names of models.
func TestDemandOfAModelThatIsNotDeclaredIsNotKept(t *testing.T) {
	g := newPicker(rationer.Auto, prioritiesConfiguration(0, 1, 2))
	e := &exchange{route: g.active.Load().config.Routes[0], service: g.active.Load().config.Services[0], metadata: RequestMetadata{Model: "invented"}, deadline: time.Hour}
	g.recordRequest(e)
	_, ok := g.pickEndpoint(e)
	assert.Assert(t, !ok)
	assert.Assert(t, !e.rationed)
	assert.Equal(t, e.failureReason, "no endpoint serves it")
}

// TestEffectOfPrioritiesIsLogged guards against a configuration of which nobody can tell
// whether its priorities are in effect.
func TestEffectOfPrioritiesIsLogged(t *testing.T) {
	var out bytes.Buffer
	g := New(Config{Name: "entry"}, nil, exposer.NewLogger(&out, "entry"))
	g.planRationing(prioritiesConfiguration(0, 2))
	assert.Assert(t, strings.Contains(out.String(), "writers on: priorities 0 2"), out.String())
	out.Reset()
	g.planRationing(prioritiesConfiguration(1, 1))
	assert.Assert(t, strings.Contains(out.String(), "writers off: all requests have priority 1"), out.String())
	assert.Assert(t, !g.rationer.Rations("writers"))
}

// TestCountsAreReportedOnceWhereRationed guards against floors by counts that control
// gets twice or not at all, and against longer messages without priorities.
func TestCountsAreReportedOnceWhereRationed(t *testing.T) {
	for priorities, want := range map[int][]messenger.DemandReport{2: {{Service: "writers", Model: "m", Asked: 3, Sent: 2}}, 1: nil} {
		g := newPicker(rationer.Auto, prioritiesConfiguration(1, priorities))
		assert.Equal(t, reasonFor(g, 0, "press", "a"), "")
		assert.Equal(t, reasonFor(g, 1, "press", "b"), "")
		setLoad(g, 32)
		assert.Equal(t, reasonFor(g, 0, "press", "c"), noPlaceReason)
		var counts []messenger.DemandReport
		for _, report := range g.resetDemand() {
			if report.Asked > 0 {
				counts = append(counts, report)
			}
		}
		assert.DeepEqual(t, counts, want)
		assert.Equal(t, len(g.resetDemand()), 0)
	}
}
