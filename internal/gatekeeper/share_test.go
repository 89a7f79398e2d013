package gatekeeper

import (
	"io"
	"testing"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/sharer"
	"papayaseam/internal/timekeeper"

	"gotest.tools/v3/assert"
)

// TestShareIsCheckedRightBeforeTheRequestIsSent guards against a request that is picked with
// a valid share, and sent after a pause in which the share expired or the endpoint became
// cold.
func TestShareIsCheckedRightBeforeTheRequestIsSent(t *testing.T) {
	g := New(Config{Name: "entry"}, nil, exposer.NewLogger(io.Discard, "entry"))
	now := timekeeper.Now()
	view := messenger.EndpointView{Instance: "i-1", Born: 1, Service: "desk", FailureDomain: "d0"}
	g.chooser.Update(chooser.FleetMsg{Now: now, Endpoints: []messenger.EndpointView{view}})
	target := chooser.Target{ID: "i-1", BootTime: 1}
	limited, plain := &exchange{service: describer.Service{Name: "desk", ColdRate: 32}}, &exchange{}
	assert.Assert(t, g.maySend(limited, target), "the endpoint is warm")
	view.Cold = true
	g.chooser.Update(chooser.FleetMsg{Now: now, Endpoints: []messenger.EndpointView{view}})
	assert.Assert(t, !g.maySend(limited, target), "the endpoint became cold")
	assert.Assert(t, g.maySend(plain, target), "the service limits no cold endpoints")
	share := chooser.ColdShare{Service: "desk", FailureDomain: "d0", Rate: 32}
	g.chooser.Update(chooser.ShareMsg{Now: now, Until: now + time.Hour, Shares: []chooser.ColdShare{share}})
	assert.Assert(t, g.maySend(limited, target))
	g.chooser.Update(chooser.ShareMsg{Now: now, Until: timekeeper.Now(), Shares: []chooser.ColdShare{share}})
	assert.Assert(t, !g.maySend(limited, target), "the share has expired")
}

// TestShareIsCountedFromTheRequestNotFromTheAnswer guards against an entry that uses a share
// for as long after a late answer as after a prompt one: control has given it to others
// by then.
func TestShareIsCountedFromTheRequestNotFromTheAnswer(t *testing.T) {
	g := New(Config{Name: "entry"}, nil, exposer.NewLogger(io.Discard, "entry"))
	service := describer.Service{Name: "desk", ColdRate: 32}
	g.active.Store(&activeConfig{config: &describer.Configuration{Version: 1, Services: []describer.Service{service}}})
	now := timekeeper.Now()
	view := messenger.EndpointView{Instance: "i-1", Born: 1, Service: "desk", Cold: true}
	g.chooser.Update(chooser.FleetMsg{Now: now, Endpoints: []messenger.EndpointView{view}})
	response := messenger.FleetResponse{Shares: []messenger.ColdShare{{Service: "desk", Share: 1}}}
	g.applyShares(response, now-sharer.Validity)
	assert.Assert(t, !g.maySend(&exchange{service: service}, chooser.Target{ID: "i-1", BootTime: 1}))
	g.applyShares(response, now)
	assert.Assert(t, g.maySend(&exchange{service: service}, chooser.Target{ID: "i-1", BootTime: 1}))
}

// TestPlainDemandIsReportedForLimitedServicesOnly guards against shares by no demand at all
// for services without groups, and against reports that other deployments do not send.
func TestPlainDemandIsReportedForLimitedServicesOnly(t *testing.T) {
	g := New(Config{Name: "entry"}, nil, exposer.NewLogger(io.Discard, "entry"))
	for _, service := range []describer.Service{{Name: "desk", ColdRate: 32}, {Name: "desk", ColdRate: 32}, {Name: "press"}} {
		g.recordRequest(&exchange{service: service})
	}
	assert.DeepEqual(t, g.resetDemand(), []messenger.DemandReport{{Service: "desk", WorkMs: 2}})
}
