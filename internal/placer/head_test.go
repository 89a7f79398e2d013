package placer

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

// planColdEndpoints returns the members of the one group that is formed of endpoints of
// which some are cold.
func planColdEndpoints(cold ...bool) []string {
	msg := PlanMsg{Now: time.Hour, Service: "s", Engine: describer.Engine{Slots: 8, Models: []describer.Model{{Name: "m", GroupSize: len(cold), InitialShare: 1}}}}
	for i, isCold := range cold {
		view := messenger.EndpointView{Instance: fmt.Sprint("i-", i), Born: 1, Service: "s", Cold: isCold}
		msg.Endpoints = append(msg.Endpoints, tracker.Endpoint{View: view, LastHeard: time.Hour, ReportedAt: time.Hour, Report: messenger.EndpointReport{FabricDomain: "d"}})
	}
	p := New(1)
	p.Update(msg)
	var members []string
	for _, g := range p.Groups() {
		for _, m := range g.Members {
			members = append(members, m.Instance)
		}
	}
	return members
}

// TestHeadOfANewGroupIsWarm guards against groups that form after a failure domain has
// returned and can not take more than a cold endpoint's requests, although warm members
// were there to lead them.
func TestHeadOfANewGroupIsWarm(t *testing.T) {
	assert.DeepEqual(t, planColdEndpoints(true, true, false), []string{"i-2", "i-1", "i-0"})
	assert.DeepEqual(t, planColdEndpoints(true, true, true), []string{"i-0", "i-1", "i-2"})
	assert.DeepEqual(t, planColdEndpoints(false, true, false), []string{"i-0", "i-1", "i-2"})
	assert.DeepEqual(t, planColdEndpoints(false, false, false), []string{"i-0", "i-1", "i-2"})
}
