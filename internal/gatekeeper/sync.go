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
	// syncLongPoll is how long control may delay a response without changes.
	syncLongPoll = 150 * time.Millisecond
	// syncTimeout allows for the long poll, a confirmation by the leader and a slow
	// machine.
	syncTimeout  = 900 * time.Millisecond
	syncInterval = 30 * time.Millisecond
	// doubtSyncInterval is the interval while control needs to know which groups serve.
	doubtSyncInterval = 10 * time.Millisecond
	syncRetryDelay    = 120 * time.Millisecond
)

// Run keeps the configuration and the fleet up to date, and reports crashes, until the
// context ends.
func (g *Gatekeeper) Run(ctx context.Context) error {
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		g.runQuarantine(ctx)
	}()
	doubted := make(chan struct{})
	go func() {
		defer close(doubted)
		g.reportDoubts(ctx)
	}()
	verified := make(chan struct{})
	go func() {
		defer close(verified)
		g.verifyEndpoints(ctx)
	}()
	defer func() { <-reported; <-doubted; <-verified }()
	for ctx.Err() == nil {
		pause := syncInterval
		switch {
		case !g.syncOnce(ctx):
			pause = syncRetryDelay
		case g.servesDoubted():
			pause = doubtSyncInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// controlAddresses returns the control processes to ask, in order: the followers
// in the entry's own failure domain, rotated by the entry's name to spread the
// load, then the leader, all others and the seeds.
func (g *Gatekeeper) controlAddresses() []string {
	var local, others []string
	for _, c := range g.viewer.Controls() {
		if c.FailureDomain == g.cfg.FailureDomain && c.Address != g.leader {
			local = append(local, c.Address)
		} else {
			others = append(others, c.Address)
		}
	}
	if n := len(local); n > 0 {
		offset := int(xxhash.Sum64String(g.cfg.Name) % uint64(n))
		local = slices.Concat(local[offset:], local[:offset])
	}
	var addresses []string
	for _, address := range slices.Concat(local, []string{g.leader}, others, g.seeds) {
		if address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// syncOnce fetches changes from the first control process that can confirm them,
// and reports whether there was one. The configuration counts as confirmed from
// the moment the request was sent.
func (g *Gatekeeper) syncOnce(ctx context.Context) bool {
	g.mu.Lock()
	addresses := g.controlAddresses()
	sentAt := timekeeper.Now()
	position := g.viewer.Position()
	request := messenger.FleetRequest{
		Process: g.cfg.Name, View: position.ViewRevision, Loads: position.LoadRevision, Term: position.Term, WaitMs: int(syncLongPoll / time.Millisecond),
		Sightings: g.sightings(sentAt), Demand: g.resetDemand(), Quarantine: g.quarantine.shared.Revision(),
		Evacuations: g.evacuations.Revision(),
	}
	g.mu.Unlock()
	active := g.active.Load()
	if active != nil {
		request.Version = active.config.Version
	}
	if active == nil || g.servesDoubted() {
		request.WaitMs = 0
	}
	for _, address := range addresses {
		var response messenger.FleetResponse
		sentAt = timekeeper.Now()
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		err := g.controlClient.Call(callCtx, "http://"+address+"/fleet/sync", request, &response)
		cancel()
		if err == nil {
			request.Demand = nil
			g.applyFleetChanges(response)
		}
		if err == nil && response.Confirmed && g.applyConfiguration(response, sentAt) {
			g.applyShares(response, sentAt)
			return true
		}
		g.log.Debug("sync with control process failed", "control", address, "confirmed", response.Confirmed, "err", err)
	}
	g.mu.Lock()
	g.leader = ""
	g.mu.Unlock()
	return false
}

// servesDoubted reports whether this entry has open streams at a group of which control
// does not know whether it serves, so that what it sees of them is needed at once.
func (g *Gatekeeper) servesDoubted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, group := range g.fleet.Groups {
		if group.Doubted && len(group.Members) > 0 && g.observations[group.Members[0]] != nil {
			return true
		}
	}
	return false
}

// resetDemand returns the demand measured since the last call and clears it; mu
// is held.
func (g *Gatekeeper) resetDemand() []messenger.DemandReport {
	var reports []messenger.DemandReport
	for key, workMs := range g.demand {
		reports = append(reports, messenger.DemandReport{Service: key.service, Model: key.model, WorkMs: workMs})
	}
	for _, c := range g.rationer.TakeCounts() {
		reports = append(reports, messenger.DemandReport{Service: c.Service, Model: c.Model, Asked: c.Asked, Sent: c.Sent})
	}
	clear(g.demand)
	return reports
}

// applyConfiguration applies the configuration of a response to a request sent at
// sentAt. It returns false if the configuration cannot be decoded.
func (g *Gatekeeper) applyConfiguration(response messenger.FleetResponse, sentAt time.Duration) bool {
	next := &activeConfig{confirmedAt: sentAt}
	if active := g.active.Load(); active != nil {
		next.config = active.config
		next.confirmedAt = max(sentAt, active.confirmedAt)
	}
	if response.Document != "" && (next.config == nil || response.Version > next.config.Version) {
		config, err := g.decodeDocument(response.Document)
		if err != nil {
			g.log.Error("cannot decode configuration", "version", response.Version, "err", err)
			return false
		}
		config.Index()
		next.config = config
		g.planRationing(config)
		g.log.Info("configuration applied", "version", config.Version, "routes", len(config.Routes))
	}
	if next.config != nil && next.config.Version >= response.Version {
		g.active.Store(next)
	}
	return true
}

func (g *Gatekeeper) decodeDocument(packed string) (*describer.Configuration, error) {
	document, err := packer.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return g.cfg.Decode(document)
}

// applyFleetChanges applies changes of the fleet. They need no confirmation: the
// worst that an outdated view does is to name endpoints that reject requests.
func (g *Gatekeeper) applyFleetChanges(response messenger.FleetResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = response.Leader
	if response.Entries > 0 {
		g.fleet.EntryCount = response.Entries
	}
	g.applyServed(response.Served)
	if response.Quarantine != nil {
		g.quarantine.apply(*response.Quarantine)
		g.cancelHeld()
	}
	if response.Evacuations != nil {
		g.applyEvacuations(*response.Evacuations, timekeeper.Now())
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
		g.cancelLostGroups()
	}
}

// cancelLostGroups cancels the attempts at groups that have lost a member, so that
// their streams resume at other endpoints; mu is held.
func (g *Gatekeeper) cancelLostGroups() {
	intact := map[chooser.Target]bool{}
	for _, group := range g.fleet.Groups {
		if !group.Broken && len(group.Members) > 0 {
			intact[chooser.Target{ID: group.Members[0], Group: group.Name, Epoch: group.Epoch}] = true
		}
	}
	for s := range g.streams {
		key := chooser.Target{ID: s.target.ID, Group: s.target.Group, Epoch: s.target.Epoch}
		if s.target.Group != "" && !intact[key] {
			s.cancel(errGroupLost)
		}
	}
}
