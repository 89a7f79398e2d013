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
	"papayaseam/internal/viewer"

	"github.com/cespare/xxhash/v2"
)

const (
	// syncWait is how long control may hold an answer back.
	syncWait = 150 * time.Millisecond
	// syncTimeout is above the wait, a confirmation through the leader and a slow
	// machine.
	syncTimeout = 900 * time.Millisecond
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

// targets returns the control processes to ask: those of the own failure domain
// that do not lead, each entry another one first, then the leader and all others.
func (g *Gatekeeper) targets() []string {
	var near, far []string
	for _, c := range g.viewer.Controls() {
		if c.FailureDomain == g.cfg.FailureDomain && c.Address != g.leader {
			near = append(near, c.Address)
		} else {
			far = append(far, c.Address)
		}
	}
	if n := len(near); n > 0 {
		first := int(xxhash.Sum64String(g.cfg.Name) % uint64(n))
		near = slices.Concat(near[first:], near[:first])
	}
	var list []string
	for _, address := range slices.Concat(near, []string{g.leader}, far, g.seeds) {
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
	known := g.viewer.Position()
	request := messenger.FleetRequest{
		Process: g.cfg.Name, View: known.ViewRevision, Loads: known.LoadRevision, Term: known.Term, WaitMs: int(syncWait / time.Millisecond),
		Sightings: g.sightings(began), Demand: g.takeDemand(),
	}
	g.mu.Unlock()
	if s := g.current.Load(); s != nil {
		request.Version = s.config.Version
	} else {
		request.WaitMs = 0
	}
	for _, target := range targets {
		var response messenger.FleetResponse
		began = timekeeper.Now()
		call, cancel := context.WithTimeout(ctx, syncTimeout)
		err := g.inner.Call(call, "http://"+target+"/fleet/sync", request, &response)
		cancel()
		if err == nil {
			request.Demand = nil
			g.takeFleet(response)
		}
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
	return true
}

func (g *Gatekeeper) decode(packed string) (*describer.Configuration, error) {
	document, err := packer.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return g.cfg.Decode(document)
}

// takeFleet takes what changed in the fleet, which needs no confirmation: an old
// view names at worst endpoints that refuse.
func (g *Gatekeeper) takeFleet(response messenger.FleetResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = response.Leader
	if response.Entries > 0 {
		g.fleet.EntryCount = response.Entries
	}
	if response.Changes == nil {
		return
	}
	before := g.viewer.Position()
	g.viewer.Update(viewer.ApplyMsg{Changes: *response.Changes})
	after := g.viewer.Position()
	if after != before {
		g.fleet.Endpoints = g.viewer.Endpoints()
		g.fleet.Groups = g.viewer.Groups()
	}
	g.fleet.Now = timekeeper.Now()
	g.chooser.Update(g.fleet)
	if after.Term != before.Term || after.ViewRevision != before.ViewRevision {
		g.cutLost()
	}
}

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
