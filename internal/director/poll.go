package director

import (
	"context"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
)

const (
	orderTimeout  = 900 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
	// urgentTimeout is for members of a group that stands still.
	urgentTimeout = 150 * time.Millisecond
	// pollBusy is the pace for groups that change.
	pollBusy = 60 * time.Millisecond
	// pollUrgent is the pace for members of a group that stands still.
	pollUrgent = 50 * time.Millisecond
	// pollHead is the pace for the load of heads that serve.
	pollHead = 200 * time.Millisecond
	// pollIdle is the pace for all other engines.
	pollIdle = 500 * time.Millisecond
)

// poll reads the state of all engines that are due.
func (d *Director) poll(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading || d.config == nil {
		return
	}
	_, stalled := d.progress()
	paces := d.paces(stalled)
	for _, e := range d.table().Endpoints() {
		service, ok := d.config.Service(e.View.Service)
		id := e.View.Instance
		if !ok || service.Engine == nil || e.Refused || d.fleet.inFlight[id] {
			continue
		}
		pace, ok := paces[id]
		if !ok {
			pace = pollIdle
		}
		if now()-d.fleet.polling[id] < pace {
			continue
		}
		d.fleet.polling[id] = now()
		timeout := reportTimeout
		if pace == pollUrgent {
			timeout = urgentTimeout
		}
		d.fleet.inFlight[id] = true
		d.beginLocked("report", func() {
			d.pollOne(ctx, e.View, timeout)
			d.mu.Lock()
			defer d.mu.Unlock()
			delete(d.fleet.inFlight, id)
		})
	}
}

// paces returns how often the members of groups are read; mu is held.
func (d *Director) paces(stalled map[string]bool) map[string]time.Duration {
	paces := map[string]time.Duration{}
	for _, p := range d.fleet.placers {
		for _, g := range p.Groups() {
			for i, m := range g.Members {
				switch {
				case stalled[g.Head().Instance]:
					paces[m.Instance] = pollUrgent
				case g.State != placer.Open:
					paces[m.Instance] = pollBusy
				case i == 0:
					paces[m.Instance] = pollHead
				}
			}
		}
	}
	return paces
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
		msg = tracker.ReportMsg{Now: now(), ID: view.Instance, Born: view.Born, Report: report}
	case err == nil:
		msg = tracker.FailedMsg{Began: began, ID: view.Instance, Born: view.Born, Refused: true}
	default:
		msg = tracker.FailedMsg{Began: began, ID: view.Instance, Born: view.Born, Refused: errors.Is(err, ErrEnded)}
	}
	before, _ := d.table().Endpoint(view.Instance)
	if d.table().Update(msg) {
		d.wakePlan()
	}
	after, _ := d.table().Endpoint(view.Instance)
	if (before.Failing == 0) != (after.Failing == 0) || before.Refused != after.Refused {
		d.log.Info("endpoint", "id", view.Instance, "answers", after.Failing == 0, "ended", after.Refused, "err", err)
	}
}
