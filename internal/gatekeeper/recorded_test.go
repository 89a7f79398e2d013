package gatekeeper

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/rationer"
	"papayaseam/internal/throttler"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

const (
	recordedRequests = 6000
	// recordedDecisions is the digest of the decisions on the inputs of
	// replayDecisions, taken from the code before requests had priorities.
	recordedDecisions = "4bb5389098b969aa"
)

// prioritiesConfiguration declares one engine service with two models and a route for
// each of the priorities.
func prioritiesConfiguration(priorities ...int) *describer.Configuration {
	models := []describer.Model{{Name: "m", GroupSize: 2, TimeFactor: 1}, {Name: "n", GroupSize: 1, TimeFactor: 1}}
	config := &describer.Configuration{
		Version: 3, RequiresKeys: true,
		Services:      []describer.Service{{Name: "writers", Engine: &describer.Engine{Slots: 32, PrefillTokensPerSec: 1000, Models: models}}},
		Organisations: []describer.Organisation{{Name: "press", Keys: []string{"k1"}}, {Name: "huts", Keys: []string{"k2"}}},
	}
	for i, priority := range priorities {
		name := fmt.Sprintf("r%d", i)
		config.Routes = append(config.Routes, describer.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: describer.KindStreaming, Timeout: 4 * time.Second, Objective: 400 * time.Millisecond,
			Priority: priority, MaxAttempts: 2, Splits: []describer.Split{{Service: "writers", Weight: 1}},
		})
	}
	config.Index()
	return config
}

// newPicker returns an entry that knows a configuration and three groups of each model,
// and draws its random numbers from a seed.
func newPicker(mode rationer.Mode, config *describer.Configuration) *Gatekeeper {
	g := New(Config{Name: "entry", FailureDomain: "d0", RetryRatio: 0.2, OrganisationShares: mode}, nil, exposer.NewLogger(io.Discard, "entry"))
	g.random = rand.New(rand.NewPCG(3, 3)).Float64
	g.active.Store(&activeConfig{config: config})
	g.planRationing(config)
	fleet := chooser.FleetMsg{EntryCount: 1}
	for i, model := range []string{"m", "m", "m", "n", "n", "n"} {
		id := fmt.Sprintf("i-%d", i)
		fleet.Endpoints = append(fleet.Endpoints, messenger.EndpointView{Instance: id, Born: 1, Service: "writers", Slots: 32, FailureDomain: "d0"})
		fleet.Groups = append(fleet.Groups, messenger.GroupView{Name: "g" + id, Epoch: 1, Service: "writers", Model: model, Members: []string{id}, Open: true})
	}
	g.chooser.Update(fleet)
	return g
}

// replayDecisions offers recorded requests beyond the capacity and returns a digest of
// the decisions.
func replayDecisions(g *Gatekeeper) string {
	inputs := rand.New(rand.NewPCG(5, 5))
	digest := xxhash.New()
	config := g.active.Load().config
	var running []chooser.Target
	for i := range recordedRequests {
		if len(running) > 0 && inputs.IntN(16) < 7 {
			g.recordAttemptEnd(running[0], chooser.Served)
			running = running[1:]
		}
		route := config.Routes[inputs.IntN(len(config.Routes))]
		e := &exchange{
			route: route, priority: route.Priority, service: config.Services[0], organisation: []string{"press", "huts"}[inputs.IntN(2)],
			metadata:    RequestMetadata{Model: []string{"m", "n"}[inputs.IntN(4)/3], PromptTokens: inputs.IntN(2000), OutputTokens: inputs.IntN(300), Timeout: time.Duration(1000+inputs.IntN(3000)) * time.Millisecond},
			fingerprint: fmt.Sprint(i), startedAt: time.Duration(i) * 5 * time.Millisecond, deadline: time.Hour,
		}
		g.recordRequest(e)
		target, ok := g.pickEndpoint(e)
		if ok {
			running = append(running, target)
			latency := time.Duration(100+inputs.IntN(500)) * time.Millisecond
			g.throttler.Update(throttler.FirstEventMsg{Model: e.metadata.Model, Latency: latency, Objective: route.Objective})
		}
		_, _ = fmt.Fprintf(digest, "%s %t %s %.4f %d\n", target.ID, ok, e.failureReason, e.utilization, e.urgency())
	}
	for _, report := range []demandKey{{"writers", "m"}, {"writers", "n"}} {
		_, _ = fmt.Fprintf(digest, "%.6f\n", g.demand[report])
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// TestDecisionsWithoutPrioritiesAreUnchanged guards against a change of any decision of
// a deployment whose kinds of requests have equal priorities, or that switches priorities
// off.
func TestDecisionsWithoutPrioritiesAreUnchanged(t *testing.T) {
	assert.Equal(t, replayDecisions(newPicker("", prioritiesConfiguration(1, 1, 1))), recordedDecisions)
	assert.Equal(t, replayDecisions(newPicker(rationer.Auto, prioritiesConfiguration(1, 1, 1))), recordedDecisions)
	assert.Equal(t, replayDecisions(newPicker(rationer.Off, prioritiesConfiguration(0, 1, 2))), recordedDecisions)
	assert.Assert(t, replayDecisions(newPicker(rationer.Auto, prioritiesConfiguration(0, 1, 2))) != recordedDecisions, "the inputs do not reach the part")
}
