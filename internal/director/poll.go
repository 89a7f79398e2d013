package director

import (
	"context"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/prober"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
)

const (
	orderTimeout  = 900 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
)

// poll reads the state of all endpoints that are due.
func (d *Director) poll(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading || d.config == nil {
		return
	}
	_, stalled := d.streamProgress()
	p := d.fleet.prober
	for _, probe := range p.Update(prober.TickMsg{Now: now(), Endpoints: d.engineEndpoints(), Roles: d.probeRoles(stalled)}) {
		view := probe.Endpoint.View
		d.spawnLocked("report", func() {
			d.pollEndpoint(ctx, view, probe.Timeout)
			d.mu.Lock()
			defer d.mu.Unlock()
			p.Update(prober.ProbeDoneMsg{ID: view.Instance})
		})
	}
}

// engineEndpoints returns the endpoints of services that form groups. The caller
// holds mu.
func (d *Director) engineEndpoints() []tracker.Endpoint {
	var endpoints []tracker.Endpoint
	for _, e := range d.tracker().Endpoints() {
		if service, ok := d.config.Service(e.View.Service); ok && service.Engine != nil {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// probeRoles returns the roles of group members, which determine how often they are
// read. The caller holds mu.
func (d *Director) probeRoles(stalled map[string]bool) map[string]prober.Role {
	roles := map[string]prober.Role{}
	for _, p := range d.fleet.placers {
		for _, g := range p.Groups() {
			for i, m := range g.Members {
				switch {
				case p.HasDetached(g, m):
				case stalled[g.Head().Instance]:
					roles[m.Instance] = prober.Stalled
				case g.State != placer.Open:
					roles[m.Instance] = prober.Changing
				case i == 0:
					roles[m.Instance] = prober.Head
				}
			}
		}
	}
	return roles
}

// pollEndpoint reads the state of one endpoint and updates the endpoint table; it
// logs when the endpoint stops or resumes responding.
func (d *Director) pollEndpoint(ctx context.Context, view messenger.EndpointView, timeout time.Duration) {
	start := now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, born, err := d.endpoints.Report(callCtx, view)
	d.mu.Lock()
	defer d.mu.Unlock()
	var msg tracker.Msg
	switch {
	case err == nil && born == view.Born:
		msg = tracker.ReportMsg{Now: now(), ID: view.Instance, BootTime: view.Born, Report: report}
	case err == nil && born > view.Born:
		msg = tracker.LaterBootMsg{ID: view.Instance, BootTime: view.Born}
	default:
		msg = tracker.CallFailedMsg{CalledAt: start, ID: view.Instance, BootTime: view.Born, Refused: errors.Is(err, ErrNotAtAddress)}
	}
	before, _ := d.tracker().Endpoint(view.Instance)
	if d.tracker().Update(msg) {
		d.triggerPlan()
	}
	after, _ := d.tracker().Endpoint(view.Instance)
	if (before.FailingSince == 0) != (after.FailingSince == 0) || (before.RefusedSince == 0) != (after.RefusedSince == 0) || before.BootEnded != after.BootEnded {
		d.log.Info("endpoint", "id", view.Instance, "boot", view.Born, "answers", after.FailingSince == 0, "refused", after.RefusedSince != 0, "replaced", after.BootEnded, "answering-boot", born, "err", err)
	}
}
