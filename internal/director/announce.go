package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
)

// Announce takes what an endpoint says of itself. It returns where later
// announcements are best sent, and ErrNoLeader where the leader was not
// reached.
func (d *Director) Announce(ctx context.Context, registration messenger.Registration) (home string, err error) {
	answer := d.announce(ctx, registration)
	if !answer.Taken {
		return "", ErrNoLeader
	}
	return d.homeOf(*registration.Endpoint, answer.Home), nil
}

func (d *Director) announce(ctx context.Context, registration messenger.Registration) messenger.RegistrationAnswer {
	if _, leading := d.leaderAddress(); !leading {
		return d.passOn(ctx, registration)
	}
	if err := d.register(ctx, registration); err != nil {
		d.log.Info("announcement not taken", "endpoint", registration.Endpoint.Instance, "err", err)
		return messenger.RegistrationAnswer{Message: err.Error()}
	}
	return messenger.RegistrationAnswer{Taken: true, Home: d.cfg.ListenAddress}
}

// passOn keeps an announcement without news for the next digest, and sends any
// other one to the leader.
func (d *Director) passOn(ctx context.Context, registration messenger.Registration) messenger.RegistrationAnswer {
	if registration.Endpoint == nil {
		return messenger.RegistrationAnswer{Message: "the announcement names no endpoint; send one"}
	}
	if d.collect(registration) {
		return messenger.RegistrationAnswer{Taken: true}
	}
	d.mu.Lock()
	leader := d.leader
	d.mu.Unlock()
	registration.Hops++
	answer, _ := relay[messenger.RegistrationAnswer](ctx, d, "/fleet/announce", registration.Hops, commandTimeout, registration)
	if answer.Taken {
		d.noteTaken(leader, registration)
	}
	return answer
}

// register notes an announcement at the leader. That an endpoint leaves is
// committed before it is acknowledged, so that no later leader forgets it.
func (d *Director) register(ctx context.Context, registration messenger.Registration) error {
	if registration.Endpoint == nil {
		return errors.New("the announcement names no endpoint; send one")
	}
	view := *registration.Endpoint
	d.mu.Lock()
	if registration.Gone && view.Born == 0 {
		known, ok := d.table().Endpoint(view.Instance)
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
		if _, err := d.command(ctx, messenger.FleetCommand{Departure: departure}); err != nil {
			return err
		}
		departed = true
		d.log.Info("endpoint leaves", "endpoint", view.Instance, "gone", registration.Gone)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	if !registration.Gone {
		view.Leaving = departed
		changed = d.table().Update(tracker.AnnounceMsg{Now: now(), Endpoint: view, Report: registration.Report})
	}
	if departed {
		changed = d.table().Update(tracker.LeaveMsg{ID: view.Instance, BootTime: view.Born}) || changed
	}
	if changed {
		d.wakePlan()
	}
	d.remember(view)
	return nil
}

// remember lets the log know where a new boot of an endpoint is, beside all else;
// mu is held.
func (d *Director) remember(view messenger.EndpointView) {
	if view.Leaving || view.Address == "" || d.fleet.remembered[view.Instance] == view.Born {
		return
	}
	d.fleet.remembered[view.Instance] = view.Born
	view.Sequence = 0
	d.fleet.unremembered = append(d.fleet.unremembered, view)
}

const (
	// rememberEvery lets endpoints that start together share a place in the log.
	rememberEvery = 50 * time.Millisecond
	// rememberMost bounds the endpoints in one entry of the log.
	rememberMost = 256
)

// commitRemembered commits the boots of endpoints that were heard of late.
func (d *Director) commitRemembered(ctx context.Context) {
	d.mu.Lock()
	n := min(len(d.fleet.unremembered), rememberMost)
	views := slices.Clone(d.fleet.unremembered[:n])
	d.fleet.unremembered = d.fleet.unremembered[n:]
	leading := d.leading
	d.mu.Unlock()
	if n == 0 || !leading {
		return
	}
	if _, err := d.command(ctx, messenger.FleetCommand{Endpoints: views}); err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, view := range views {
		delete(d.fleet.remembered, view.Instance)
	}
}
