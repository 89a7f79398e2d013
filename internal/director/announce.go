package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"
)

// Announce registers an endpoint's announcement. It returns the address to which
// the endpoint should send later announcements, or ErrNoLeader if the leader did
// not accept this one.
func (d *Director) Announce(ctx context.Context, registration messenger.Registration) (home string, err error) {
	answer := d.handleAnnounce(ctx, registration)
	if !answer.Taken {
		return "", ErrNoLeader
	}
	return d.announceAddress(*registration.Endpoint, answer.Home), nil
}

// handleAnnounce registers an announcement at the leader; other processes forward
// it or defer it to their next digest.
func (d *Director) handleAnnounce(ctx context.Context, registration messenger.Registration) messenger.RegistrationAnswer {
	if registration.Endpoint == nil {
		return messenger.RegistrationAnswer{Message: "the announcement names no endpoint; send one"}
	}
	if registration.Gone && registration.Endpoint.Born == 0 && d.maybeLate() {
		return messenger.RegistrationAnswer{Message: "the departure names no start and may be late; send it again"}
	}
	registration = d.withoutUnusedCold(registration)
	if _, leading := d.leaderAddress(); !leading {
		return d.forwardAnnouncement(ctx, registration)
	}
	if err := d.registerEndpoint(ctx, registration); err != nil {
		d.log.Info("announcement rejected", "endpoint", registration.Endpoint.Instance, "err", err)
		return messenger.RegistrationAnswer{Message: err.Error()}
	}
	return messenger.RegistrationAnswer{Taken: true, Home: d.cfg.ListenAddress}
}

// forwardAnnouncement defers an unchanged announcement to the next digest and
// forwards any other to the leader.
func (d *Director) forwardAnnouncement(ctx context.Context, registration messenger.Registration) messenger.RegistrationAnswer {
	if d.deferToDigest(registration) {
		return messenger.RegistrationAnswer{Taken: true}
	}
	d.mu.Lock()
	leader := d.leader
	d.mu.Unlock()
	registration.Hops++
	answer, _ := forwardToLeader[messenger.RegistrationAnswer](ctx, d, "/fleet/announce", registration.Hops, commandTimeout, registration)
	if answer.Taken {
		d.recordAccepted(leader, registration)
	}
	return answer
}

// registerEndpoint applies an announcement to the leader's endpoint table. A
// departure is committed to the log before it is acknowledged, so that later
// leaders know of it too.
func (d *Director) registerEndpoint(ctx context.Context, registration messenger.Registration) error {
	view := *registration.Endpoint
	d.mu.Lock()
	if registration.Gone && view.Born == 0 {
		known, ok := d.tracker().Endpoint(view.Instance)
		if !ok {
			d.mu.Unlock()
			return nil
		}
		view.Born = known.View.Born
	}
	departed := d.state.Departed(view.Instance, view.Born)
	d.mu.Unlock()
	if (view.Leaving || registration.Gone) && !departed {
		departure := &messenger.Departure{Instance: view.Instance, Born: view.Born}
		if _, err := d.commit(ctx, messenger.FleetCommand{Departure: departure}); err != nil {
			return err
		}
		departed = true
		d.log.Info("endpoint departure committed", "endpoint", view.Instance, "gone", registration.Gone)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	if !registration.Gone {
		view.Leaving = departed
		changed = d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: view, Report: registration.Report, Cold: d.coldAnnouncement(registration)})
	}
	if departed {
		changed = d.tracker().Update(tracker.LeaveMsg{ID: view.Instance, BootTime: view.Born}) || changed
	}
	if changed {
		d.triggerPlan()
	}
	d.queueEndpointRecord(view)
	return nil
}

// queueEndpointRecord queues the address of a new boot of an endpoint, so that
// commitEndpointRecords writes it to the log in the background. The caller holds
// mu.
func (d *Director) queueEndpointRecord(view messenger.EndpointView) {
	if view.Leaving || view.Address == "" || d.fleet.recordedBoots[view.Instance] == view.Born {
		return
	}
	d.fleet.recordedBoots[view.Instance] = view.Born
	view.Sequence, view.Cold = 0, false
	d.fleet.unrecordedEndpoints = append(d.fleet.unrecordedEndpoints, view)
}

const (
	// recordInterval lets endpoints that start together share a log entry.
	recordInterval = 50 * time.Millisecond
	// maxRecordsPerEntry bounds the endpoints recorded in one log entry.
	maxRecordsPerEntry = 256
)

// commitEndpointRecords commits queued endpoint records. If the commit fails, the
// endpoints are recorded again at their next announcement.
func (d *Director) commitEndpointRecords(ctx context.Context) {
	d.mu.Lock()
	n := min(len(d.fleet.unrecordedEndpoints), maxRecordsPerEntry)
	views := slices.Clone(d.fleet.unrecordedEndpoints[:n])
	d.fleet.unrecordedEndpoints = d.fleet.unrecordedEndpoints[n:]
	leading := d.leading
	d.mu.Unlock()
	if n == 0 || !leading {
		return
	}
	if _, err := d.commit(ctx, messenger.FleetCommand{Endpoints: views}); err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, view := range views {
		delete(d.fleet.recordedBoots, view.Instance)
	}
}
