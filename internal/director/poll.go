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

// poll reads the state of all engines that are due.
func (d *Director) poll(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading || d.config == nil {
		return
	}
	_, stalled := d.progress()
	p := d.fleet.prober
	for _, probe := range p.Update(prober.TickMsg{Now: now(), Endpoints: d.engines(), Roles: d.roles(stalled)}) {
		view := probe.Endpoint.View
		d.beginLocked("report", func() {
			d.pollOne(ctx, view, probe.Timeout)
			d.mu.Lock()
			defer d.mu.Unlock()
			p.Update(prober.EndedMsg{ID: view.Instance})
		})
	}
}

// engines returns the endpoints of services that form groups; mu is held.
func (d *Director) engines() []tracker.Endpoint {
	var list []tracker.Endpoint
	for _, e := range d.table().Endpoints() {
		if service, ok := d.config.Service(e.View.Service); ok && service.Engine != nil {
			list = append(list, e)
		}
	}
	return list
}

// roles returns what the members of groups do; mu is held.
func (d *Director) roles(stalled map[string]bool) map[string]prober.Role {
	roles := map[string]prober.Role{}
	for _, p := range d.fleet.placers {
		for _, g := range p.Groups() {
			for i, m := range g.Members {
				switch {
				case stalled[g.Head().Instance]:
					roles[m.Instance] = prober.Urgent
				case g.State != placer.Open:
					roles[m.Instance] = prober.Busy
				case i == 0:
					roles[m.Instance] = prober.Head
				}
			}
		}
	}
	return roles
}

func (d *Director) pollOne(ctx context.Context, view messenger.EndpointView, timeout time.Duration) {
	began := now()
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, born, err := d.endpoints.Report(call, view)
	d.mu.Lock()
	defer d.mu.Unlock()
	var msg tracker.Msg
	switch {
	case err == nil && born == view.Born:
		msg = tracker.ReportMsg{Now: now(), ID: view.Instance, BootTime: view.Born, Report: report}
	case err == nil:
		msg = tracker.CallFailedMsg{CalledAt: began, ID: view.Instance, BootTime: view.Born, BootEnded: true}
	default:
		msg = tracker.CallFailedMsg{CalledAt: began, ID: view.Instance, BootTime: view.Born, BootEnded: errors.Is(err, ErrBootEnded)}
	}
	before, _ := d.table().Endpoint(view.Instance)
	if d.table().Update(msg) {
		d.wakePlan()
	}
	after, _ := d.table().Endpoint(view.Instance)
	if (before.FailingSince == 0) != (after.FailingSince == 0) || before.BootEnded != after.BootEnded {
		d.log.Info("endpoint", "id", view.Instance, "answers", after.FailingSince == 0, "ended", after.BootEnded, "err", err)
	}
}
