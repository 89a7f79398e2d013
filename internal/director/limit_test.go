package director

import (
	"fmt"
	"testing"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

// TestAnyLoadLimitLetsALeaderPlan guards against a declared limit on loads that ends each
// process that leads: the loads of an earlier leader were listed one by one.
func TestAnyLoadLimitLetsALeaderPlan(t *testing.T) {
	for _, limit := range []float64{-1, 0, 0.4, 3, 1e9, 1e15, 1e300} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
			assert.NilError(t, err)
			d.config = &describer.Configuration{Services: []describer.Service{{Name: "s", Engine: &describer.Engine{
				Models: []describer.Model{{Name: "m", GroupSize: 2}}, MaxLoadsPerSec: limit, MaxConcurrentLoads: 6,
			}}}}
			d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Traffic: true}})
			d.leading, d.term, d.leaderSince = true, 1, now()-maxSettleTime
			d.startLeadership()
			d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: messenger.EndpointView{Instance: "e", Born: 5, Address: "e", Service: "s"}})
			d.confirmedAt = now()
			d.plan(t.Context())
			assert.Assert(t, d.fleet.placers["s"] != nil, "nothing was planned")
		})
	}
}
