package director

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/prober"
	"papayaseam/internal/tracker"
	"papayaseam/internal/viewer"

	"github.com/VictoriaMetrics/metrics"
)

const (
	pollInterval = 25 * time.Millisecond
	// minSettleTime is how long a new leader at least reads reports before it plans.
	minSettleTime = 700 * time.Millisecond
	// maxSettleTime bounds that wait if some endpoints are never heard.
	maxSettleTime = 3 * time.Second
	// newEndpointQuietTime is how long no new endpoint must appear before a leader
	// that inherited no groups plans.
	newEndpointQuietTime = 600 * time.Millisecond
	// forgetEndpointAfter covers several announcement intervals and the longest
	// drain.
	forgetEndpointAfter = 15 * time.Second
	// demandWindow is the time over which demand is measured and for which the
	// result is used.
	demandWindow = 4 * time.Second
	// minDemandWindow is the shortest time over which the first demand is measured.
	minDemandWindow = 500 * time.Millisecond
	censusInterval  = time.Second
	// entryTTL is how long an entry counts as running after its last request.
	entryTTL = 3 * time.Second
)

// entryState is what an entry sent with its last sync request.
type entryState struct {
	receivedAt time.Duration
	sightings  []messenger.Sighting
}

// demandMeter sums the work that entries report, by model.
type demandMeter struct {
	windowStart time.Duration
	work        map[string]float64 // work is the requested work in the current window, in milliseconds.
	lastRates   map[string]float64 // lastRates are the rates in the last full window.
}

// relayState is the last digest of another control process.
type relayState struct {
	receivedAt time.Duration
	view       messenger.ControlView
	entries    []string
	sightings  []messenger.Sighting
}

// fleet is what this process knows of endpoints, groups and entries.
type fleet struct {
	tracker             *tracker.Tracker
	placers             map[string]*placer.Placer
	term                int
	viewer              *viewer.Viewer
	changed             chan struct{}
	entries             map[string]entryState
	relays              map[string]relayState // relays maps the addresses of other control processes to their last digests.
	demand              demandMeter
	served              servedMeter
	prober              *prober.Prober
	lastNewEndpointAt   time.Duration
	lastLeaderAt        time.Duration
	token               int // token is the number of orders in this term, the low part of fencing tokens.
	nextProposal        uint64
	endpointCount       int  // endpointCount is the highest number of endpoints seen by this leader.
	inherited           bool // inherited is true if this leader started with the groups of an earlier one.
	partial             bool // partial is true if groups may exist that are not known here.
	settled             bool // settled is true once this leader has read enough to plan.
	lastCensusAt        time.Duration
	recordedBoots       map[string]int           // recordedBoots maps instances to the boots whose addresses are in the log or queued for it.
	unrecordedEndpoints []messenger.EndpointView // unrecordedEndpoints are boots whose addresses are queued for the log.
	trafficProposedAt   time.Duration            // trafficProposedAt is when this leader last proposed to record that clients are served.
	cold                coldFleet
}

func newFleet() fleet {
	return fleet{
		tracker: tracker.New(), placers: map[string]*placer.Placer{}, viewer: viewer.New(), prober: prober.New(),
		changed: make(chan struct{}), entries: map[string]entryState{}, relays: map[string]relayState{},
		demand: demandMeter{work: map[string]float64{}}, recordedBoots: map[string]int{}, cold: newColdFleet(),
	}
}

// notifyWaiters wakes all calls that wait for a change. The caller holds mu.
func (f *fleet) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// publish rebuilds the view of the fleet and wakes waiting calls if it changed. The
// caller holds mu.
func (d *Director) publish() {
	f := &d.fleet
	var endpoints []messenger.EndpointView
	for _, e := range f.tracker.Endpoints() {
		if e.BootEnded {
			continue
		}
		view := e.View
		view.Sequence = 0
		view.FabricDomain = e.Report.FabricDomain
		view.Cold = d.isCold(e)
		endpoints = append(endpoints, view)
	}
	msg := viewer.PublishMsg{Term: f.term, Partial: f.partial, Endpoints: endpoints, Groups: d.groupViews(), Controls: d.liveControls()}
	if f.viewer.Update(msg) {
		f.notifyWaiters()
	}
}

// groupViews returns all groups, sorted by service. The caller holds mu.
func (d *Director) groupViews() []messenger.GroupView {
	var views []messenger.GroupView
	for _, service := range slices.Sorted(maps.Keys(d.fleet.placers)) {
		for _, g := range d.fleet.placers[service].Groups() {
			head, _ := d.tracker().Endpoint(g.Head().Instance)
			view := messenger.GroupView{
				Name: g.Name, Epoch: g.Epoch, Service: g.Service, Model: g.Model, FailureDomain: g.FailureDomain,
				Open: g.State == placer.Open, Broken: g.State == placer.Closing && g.Cutover, Doubted: g.Doubted,
				Active: head.Report.Active, Queued: head.Report.Queued, Pace: head.Report.Pace,
			}
			for _, m := range g.Members {
				view.Members = append(view.Members, m.Instance)
			}
			views = append(views, view)
		}
	}
	return views
}

// startLeadership resets the state of the fleet for a new leader, which starts from
// the view that the last leader published. The caller holds mu.
func (d *Director) startLeadership() {
	f := &d.fleet
	f.tracker = tracker.New()
	f.placers = map[string]*placer.Placer{}
	f.term = d.term
	f.token = 0
	f.lastNewEndpointAt = now()
	f.demand = demandMeter{work: map[string]float64{}, windowStart: now(), lastRates: f.demand.lastRates}
	f.prober = prober.New()
	f.cold.startLeadership()
	f.relays = map[string]relayState{}
	f.recordedBoots = map[string]int{}
	f.unrecordedEndpoints = nil
	f.settled = false
	f.endpointCount = 0
	f.inherited = len(f.viewer.Groups()) > 0 && !f.viewer.Partial()
	f.partial = !f.inherited
	d.collector = newCollector()
	endpoints := f.viewer.Endpoints()
	if len(endpoints) == 0 {
		endpoints = d.state.Endpoints()
	}
	unpublished := 0
	for _, view := range endpoints {
		if !view.Leaving && d.state.Departed(view.Instance, view.Born) {
			unpublished++
		}
		d.trackRecordedEndpoint(view)
	}
	d.log.Info("endpoints taken over", "endpoints", len(endpoints), "inherited", f.inherited, "departures-not-published", unpublished)
	f.notifyWaiters()
}

// plan runs the placers on a leader that has settled and holds a lease from a
// quorum. Before it has settled, a leader that inherited no groups only observes
// which groups exist.
func (d *Director) plan(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &d.fleet
	if !d.leading || d.config == nil {
		return
	}
	d.updateColdPools()
	settled := d.settled()
	if !settled && f.inherited {
		return
	}
	if settled && !d.mayAct() {
		d.log.Debug("planning skipped: leadership is not confirmed by a quorum", "age", now()-d.confirmedAt)
		return
	}
	f.partial = !settled
	f.tracker.Update(tracker.ExpireMsg{Now: now(), MaxSilence: forgetEndpointAfter})
	moving, stalled := d.streamProgress()
	msg := placer.PlanMsg{Now: now(), Demand: d.currentDemand(), LastEvents: d.lastEvents(), ProgressingHeads: moving, StalledHeads: stalled, Evacuated: d.state.Evacuations().Domains(), ObserveOnly: !settled}
	msg.HadTraffic = d.state.HasServedTraffic()
	d.commitTraffic(ctx, len(msg.Demand) > 0)
	for _, service := range d.config.Services {
		if service.Engine != nil {
			d.planService(ctx, service, msg)
		}
	}
	d.publish()
}

// commitTraffic records in the log that clients are served, so that a later leader
// knows that load matters before it has measured any demand. The caller holds mu.
func (d *Director) commitTraffic(ctx context.Context, served bool) {
	if !served || d.state.HasServedTraffic() || now()-d.fleet.trafficProposedAt < commandTimeout {
		return
	}
	d.fleet.trafficProposedAt = now()
	d.spawnLocked("traffic", func() {
		if _, err := d.commit(ctx, messenger.FleetCommand{Traffic: true}); err != nil {
			d.log.Info("could not commit that clients are served; will retry", "err", err)
		}
	})
}

// planService plans one service and sends the resulting orders. The caller holds
// mu.
func (d *Director) planService(ctx context.Context, service describer.Service, msg placer.PlanMsg) {
	msg.Service = service.Name
	msg.Engine = *service.Engine
	p := d.fleet.placers[service.Name]
	if p == nil {
		p = placer.New(d.term, d.placerOptions(service)...)
		d.fleet.placers[service.Name] = p
		msg.KnownGroups = slices.DeleteFunc(d.fleet.viewer.Groups(), func(g messenger.GroupView) bool { return g.Service != service.Name })
	}
	for _, e := range d.tracker().Endpoints() {
		if e.View.Service == service.Name {
			e.View.Cold = d.isCold(e)
			msg.Endpoints = append(msg.Endpoints, e)
		}
	}
	before := p.Groups()
	orders := p.Update(msg)
	d.logCensus(service.Name, p)
	d.logGroupChanges(before, p.Groups())
	d.logReleases(p.Releases())
	for _, order := range orders {
		d.sendOrder(ctx, order)
	}
}

// placerOptions returns the options of a new leader's placer. If clients are
// served, it assumes that an earlier leader has just started as many loads as the
// store allows per second. The caller holds mu.
func (d *Director) placerOptions(service describer.Service) []placer.Option {
	options := []placer.Option{placer.WithStallTimeout(d.cfg.GroupStallTimeout)}
	if d.state.HasServedTraffic() {
		options = append(options, placer.WithPreviousLeaderLoads(service.Engine.MaxLoadsPerSec, now()))
	}
	return options
}

// settled reports whether this leader has read enough to plan: each endpoint has
// reported its state or does not respond. Once clients are served, endpoints that
// appear later don't delay plans; before that, groups are better formed from all
// endpoints. The caller holds mu.
func (d *Director) settled() bool {
	f := &d.fleet
	f.settled = (f.settled && d.state.HasServedTraffic()) || d.observedEnough()
	return f.settled
}

// observedEnough reports whether the settle time is over and, within its bound,
// every endpoint was heard. The caller holds mu.
func (d *Director) observedEnough() bool {
	f := &d.fleet
	if n := len(f.tracker.Endpoints()); n > f.endpointCount {
		f.endpointCount = n
		f.lastNewEndpointAt = now()
	}
	if now()-d.leaderSince < minSettleTime {
		return false
	}
	if now()-d.leaderSince < maxSettleTime && slices.ContainsFunc(d.engineEndpoints(), unheard) {
		return false
	}
	return f.inherited || now()-f.lastNewEndpointAt > newEndpointQuietTime
}

// unheard reports whether an endpoint has neither reported its state nor missed
// enough calls to count as unresponsive.
func unheard(e tracker.Endpoint) bool {
	return e.ReportedAt == 0 && !e.BootEnded && e.RefusedSince == 0 && e.FailedCalls < placer.MinFailedCalls
}

// logCensus logs once a second how many endpoints of a service are in each state,
// and sets the gauges. The caller holds mu.
func (d *Director) logCensus(service string, p *placer.Placer) {
	if now()-d.fleet.lastCensusAt < censusInterval {
		return
	}
	d.fleet.lastCensusAt = now()
	c := p.EndpointCounts()
	setInstanceGauges(service, c)
	d.log.Info("census", "service", service, "open", c.Open, "changing", c.Changing, "free", c.Free, "cold", c.Cold, "silent", c.Silent, "leaving", c.Leaving, "demand", p.DemandSummary())
}

// logGroupChanges logs the groups that changed state or ended.
func (d *Director) logGroupChanges(before, after []placer.Group) {
	previous := map[string]placer.Group{}
	for _, g := range before {
		previous[g.Name] = g
	}
	for _, g := range after {
		if p, ok := previous[g.Name]; !ok || p.State != g.State {
			metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_group_changes_total{state=%q}`, g.State)).Inc()
			d.log.Info("group", "name", g.Name, "state", g.State, "head", g.Head().Instance, "members", len(g.Members), "domain", g.FabricDomain, "reason", g.Reason)
		}
		delete(previous, g.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(previous)) {
		d.log.Info("group", "name", name, "state", "ended", "reason", previous[name].Reason)
	}
}

// logReleases logs the proof on which the members of each released group became free.
func (d *Director) logReleases(releases []placer.Release) {
	for _, r := range releases {
		metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_group_releases_total{proof=%q}`, r.Proof)).Inc()
		d.log.Info("group released", "name", r.Group, "proof", r.Proof)
	}
}

// currentDemand returns for each model the number of instances that its measured
// work keeps busy; empty before any was measured. The caller holds mu.
func (d *Director) currentDemand() map[string]float64 {
	m := &d.fleet.demand
	elapsed := now() - m.windowStart
	if elapsed > demandWindow {
		m.lastRates = demandRates(m.work, elapsed)
		m.work = map[string]float64{}
		m.windowStart = now()
	}
	if len(m.lastRates) > 0 {
		return m.lastRates
	}
	if elapsed < minDemandWindow {
		return map[string]float64{}
	}
	return demandRates(m.work, elapsed)
}

// demandRates divides work in milliseconds by the time over which it was requested.
func demandRates(work map[string]float64, elapsed time.Duration) map[string]float64 {
	rates := map[string]float64{}
	for model, ms := range work {
		rates[model] = ms / float64(elapsed.Milliseconds())
	}
	return rates
}

// liveEntries counts the entries that sent a request to any control process within
// entryTTL. The caller holds mu.
func (d *Director) liveEntries() int {
	live := map[string]bool{}
	for name, state := range d.fleet.entries {
		if now()-state.receivedAt < entryTTL {
			live[name] = true
		}
	}
	for _, relay := range d.fleet.relays {
		if now()-relay.receivedAt < entryTTL {
			for _, name := range relay.entries {
				live[name] = true
			}
		}
	}
	return len(live)
}
