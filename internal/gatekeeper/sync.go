package gatekeeper

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/packer"
	"papayaseam/internal/timekeeper"
)

const (
	// syncWait is how long control may hold an answer back.
	syncWait = 150 * time.Millisecond
	// syncTimeout is above the wait, a confirmation and a slow machine.
	syncTimeout = 1200 * time.Millisecond
	syncPause   = 30 * time.Millisecond
	retryPause  = 120 * time.Millisecond
)

// Run keeps the configuration and the fleet up to date until the context ends.
func (g *Gatekeeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := syncPause
		if !g.syncOnce(ctx) {
			pause = retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// targets returns the control processes to ask, the leader first.
func (g *Gatekeeper) targets() []string {
	var list []string
	all := append([]string{g.leader}, g.controls...)
	for _, address := range append(all, g.seeds...) {
		if address != "" && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// syncOnce asks control for what is new. The configuration counts as confirmed
// from the moment at which the request was sent.
func (g *Gatekeeper) syncOnce(ctx context.Context) bool {
	g.mu.Lock()
	targets := g.targets()
	began := timekeeper.Now()
	request := messenger.FleetRequest{
		Process: g.cfg.Name, View: g.view, Term: g.term, WaitMs: int(syncWait / time.Millisecond),
		Sightings: g.sightings(began), Demand: g.takeDemand(),
	}
	g.mu.Unlock()
	if s := g.current.Load(); s != nil {
		request.Version = s.config.Version
	}
	for _, target := range targets {
		var response messenger.FleetResponse
		began = timekeeper.Now()
		call, cancel := context.WithTimeout(ctx, syncTimeout)
		err := g.inner.Call(call, "http://"+target+"/fleet/sync", request, &response)
		cancel()
		if err == nil && response.Confirmed && g.take(response, began) {
			return true
		}
		g.log.Debug("not synced", "control", target, "confirmed", response.Confirmed, "err", err)
	}
	g.mu.Lock()
	g.leader = ""
	g.mu.Unlock()
	return false
}

// takeDemand returns and clears the measured demand; mu is held.
func (g *Gatekeeper) takeDemand() []messenger.DemandReport {
	var reports []messenger.DemandReport
	for key, work := range g.demand {
		reports = append(reports, messenger.DemandReport{Service: key.service, Model: key.model, WorkMs: work})
	}
	clear(g.demand)
	return reports
}

// take puts an answer in force and reports whether it could.
func (g *Gatekeeper) take(response messenger.FleetResponse, began time.Duration) bool {
	next := &snapshot{confirmed: began}
	if s := g.current.Load(); s != nil {
		next.config = s.config
		next.confirmed = max(began, s.confirmed)
	}
	if response.Document != "" && (next.config == nil || response.Version > next.config.Version) {
		config, err := g.decode(response.Document)
		if err != nil {
			g.log.Error("configuration unreadable", "version", response.Version, "err", err)
			return false
		}
		config.Index()
		next.config = config
		g.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes))
	}
	if next.config != nil && next.config.Version >= response.Version {
		g.current.Store(next)
	}
	g.takeFleet(response)
	return true
}

func (g *Gatekeeper) decode(packed string) (*describer.Configuration, error) {
	document, err := packer.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return g.cfg.Decode(document)
}

func (g *Gatekeeper) takeFleet(response messenger.FleetResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = response.Leader
	g.controls = response.Controls
	if response.Term < g.term {
		return
	}
	if response.Partial {
		response.Endpoints = unnamed(response.Endpoints, g.fleet.Endpoints, instanceOf)
		response.Groups = unnamed(response.Groups, g.fleet.Groups, nameOf)
	}
	if response.Partial || response.Term != g.term || response.View != g.view {
		g.fleet.Endpoints = response.Endpoints
	}
	g.term = response.Term
	g.view = response.View
	g.fleet.Groups = response.Groups
	g.fleet.Entries = response.Entries
	g.fleet.Now = timekeeper.Now()
	g.chooser.Update(g.fleet)
	g.cutLost()
}

// unnamed adds to a list what only an earlier one names.
func unnamed[T any](list, earlier []T, name func(T) string) []T {
	named := map[string]bool{}
	for _, item := range list {
		named[name(item)] = true
	}
	list = slices.Clone(list)
	for _, item := range earlier {
		if !named[name(item)] {
			list = append(list, item)
		}
	}
	return list
}

func instanceOf(view messenger.EndpointView) string { return view.Instance }

func nameOf(view messenger.GroupView) string { return view.Name }

// cutLost ends the attempts at groups that have lost a member, so that their
// streams go on elsewhere; mu is held.
func (g *Gatekeeper) cutLost() {
	standing := map[chooser.Target]bool{}
	for _, group := range g.fleet.Groups {
		if !group.Broken && len(group.Members) > 0 {
			standing[chooser.Target{ID: group.Members[0], Group: group.Name, Epoch: group.Epoch}] = true
		}
	}
	for s := range g.streams {
		key := chooser.Target{ID: s.target.ID, Group: s.target.Group, Epoch: s.target.Epoch}
		if s.target.Group != "" && !standing[key] {
			s.cancel(errGroupLost)
		}
	}
}
