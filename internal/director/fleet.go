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
	pollEvery = 25 * time.Millisecond
	// settleAfter is how long a new leader reads reports before it plans.
	settleAfter = 700 * time.Millisecond
	// settleMost bounds that time where some endpoints are never heard.
	settleMost = 3 * time.Second
	// settleFirst is how long the first leader waits for more endpoints.
	settleFirst = 600 * time.Millisecond
	// forgetAfter is several announcements and the longest drain.
	forgetAfter = 15 * time.Second
	// demandLife is how long a measured demand counts.
	demandLife = 4 * time.Second
	// demandLeast is the least time over which a demand is measured.
	demandLeast = 500 * time.Millisecond
	censusEvery = time.Second
	// sightingLife is how long what an entry saw counts.
	sightingLife = 900 * time.Millisecond
	// movingWithin is a pause that no sound stream exceeds.
	movingWithin = 400 * time.Millisecond
	// stalledAfter is above the pauses between the events of a full group.
	stalledAfter = 220 * time.Millisecond
	// stalledStreams is how many answers must stand still together.
	stalledStreams = 2
	// entryLife is how long an entry that does not ask counts as running.
	entryLife = 3 * time.Second
)

type entryState struct {
	at        time.Duration
	sightings []messenger.Sighting
}

// demandMeter sums the work that entries report, by model.
type demandMeter struct {
	since time.Duration
	work  map[string]float64
	last  map[string]float64
}

// relayState is what another control process last passed on.
type relayState struct {
	at        time.Duration
	view      messenger.ControlView
	entries   []string
	sightings []messenger.Sighting
}

// fleet is what control knows of endpoints, groups and entries.
type fleet struct {
	tracker      *tracker.Tracker
	placers      map[string]*placer.Placer
	term         int
	viewer       *viewer.Viewer
	changed      chan struct{}
	entries      map[string]entryState
	relays       map[string]relayState // relays maps the addresses of other control processes to their digests.
	demand       demandMeter
	prober       *prober.Prober
	lastNew      time.Duration
	ledAt        time.Duration
	token        int
	nextProposal uint64
	known        int  // known is the number of endpoints at the last plan.
	inherited    bool // inherited tells that this leader began with an earlier one's groups.
	partial      bool // partial tells that groups which are not known here may stand.
	settled      bool // settled tells that this leader has read enough to plan.
	censusAt     time.Duration
	remembered   map[string]int           // remembered maps identities to the boots whose addresses are in the log.
	unremembered []messenger.EndpointView // unremembered are boots whose addresses are yet to be committed.
	trafficAt    time.Duration            // trafficAt is when the log was last asked to note that clients are served.
}

func newFleet() fleet {
	return fleet{
		tracker: tracker.New(), placers: map[string]*placer.Placer{}, viewer: viewer.New(), prober: prober.New(),
		changed: make(chan struct{}), entries: map[string]entryState{}, relays: map[string]relayState{},
		demand: demandMeter{work: map[string]float64{}}, remembered: map[string]int{},
	}
}

// announce wakes who waits for a change; mu is held.
func (f *fleet) announce() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// publish makes the view of the fleet anew and wakes waiters where it changed;
// mu is held.
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
		endpoints = append(endpoints, view)
	}
	msg := viewer.PublishMsg{Term: f.term, Partial: f.partial, Endpoints: endpoints, Groups: d.groupViews(), Controls: d.liveControls()}
	if f.viewer.Update(msg) {
		f.announce()
	}
}

// groupViews returns the groups that have served or may soon; mu is held.
func (d *Director) groupViews() []messenger.GroupView {
	var views []messenger.GroupView
	for _, service := range slices.Sorted(maps.Keys(d.fleet.placers)) {
		for _, g := range d.fleet.placers[service].Groups() {
			head, _ := d.table().Endpoint(g.Head().Instance)
			view := messenger.GroupView{
				Name: g.Name, Epoch: g.Epoch, Service: g.Service, Model: g.Model, FailureDomain: g.FailureDomain,
				Open: g.State == placer.Open, Broken: g.State == placer.Closing && g.Cutover,
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

// takeOver begins a leadership with what the last leader had published; mu is
// held.
func (d *Director) takeOver() {
	f := &d.fleet
	f.tracker = tracker.New()
	f.placers = map[string]*placer.Placer{}
	f.term = d.term
	f.token = 0
	f.lastNew = now()
	f.demand = demandMeter{work: map[string]float64{}, since: now(), last: f.demand.last}
	f.prober = prober.New()
	f.relays = map[string]relayState{}
	f.remembered = map[string]int{}
	f.unremembered = nil
	f.settled = false
	f.known = 0
	f.inherited = len(f.viewer.Groups()) > 0 && !f.viewer.Partial()
	f.partial = !f.inherited
	d.collector = newCollector()
	known := f.viewer.Endpoints()
	if len(known) == 0 {
		known = d.state.Endpoints()
	}
	for _, view := range known {
		d.noteRemembered(view)
	}
	f.announce()
}

// plan runs the placers at a leader that has settled and that a quorum confirmed
// of late. Before it has settled, one that began without groups only looks for
// those that stand.
func (d *Director) plan(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &d.fleet
	if !d.leading || d.config == nil {
		return
	}
	settled := d.settled()
	if !settled && f.inherited {
		return
	}
	if settled && !d.mayAct() {
		d.log.Debug("no plan without a confirmed lead", "age", now()-d.authority)
		return
	}
	f.partial = !settled
	f.tracker.Update(tracker.ExpireMsg{Now: now(), MaxSilence: forgetAfter})
	moving, stalled := d.progress()
	msg := placer.PlanMsg{Now: now(), Demand: d.demandNow(), ProgressingHeads: moving, StalledHeads: stalled, ObserveOnly: !settled}
	msg.HadTraffic = d.state.Traffic()
	d.noteTraffic(ctx, len(msg.Demand) > 0)
	for _, service := range d.config.Services {
		if service.Engine != nil {
			d.planService(ctx, service, msg)
		}
	}
	d.publish()
}

// noteTraffic commits that clients are served, so that a later leader knows that
// loads count before it has measured any demand; mu is held.
func (d *Director) noteTraffic(ctx context.Context, served bool) {
	if !served || d.state.Traffic() || now()-d.fleet.trafficAt < commandTimeout {
		return
	}
	d.fleet.trafficAt = now()
	d.beginLocked("traffic", func() {
		if _, err := d.command(ctx, messenger.FleetCommand{Traffic: true}); err != nil {
			d.log.Info("first traffic not noted yet", "err", err)
		}
	})
}

// planService makes the plan of one service and sends its orders; mu is held.
func (d *Director) planService(ctx context.Context, service describer.Service, msg placer.PlanMsg) {
	msg.Service = service.Name
	msg.Engine = *service.Engine
	p := d.fleet.placers[service.Name]
	if p == nil {
		p = placer.New(d.term, d.placerOptions(service)...)
		d.fleet.placers[service.Name] = p
		msg.KnownGroups = slices.DeleteFunc(d.fleet.viewer.Groups(), func(g messenger.GroupView) bool { return g.Service != service.Name })
	}
	for _, e := range d.table().Endpoints() {
		if e.View.Service == service.Name {
			msg.Endpoints = append(msg.Endpoints, e)
		}
	}
	before := p.Groups()
	orders := p.Update(msg)
	d.logCensus(service.Name, p)
	d.logGroups(before, p.Groups())
	for _, order := range orders {
		d.sendOrder(ctx, order)
	}
}

// placerOptions are those of a new leader: an earlier one may have begun as many
// loads as the store allows in a second; mu is held.
func (d *Director) placerOptions(service describer.Service) []placer.Option {
	options := []placer.Option{placer.WithStallTimeout(d.cfg.GroupStallTimeout)}
	if d.state.Traffic() {
		options = append(options, placer.WithPreviousLeaderLoads(int(service.Engine.LoadsPerSec), now()))
	}
	return options
}

// settled reports whether this leader has read enough to plan: each endpoint has
// said what it does, or does not answer. Once clients are served, endpoints that
// come later hold no plan back; before, groups are better formed of all. mu is
// held.
func (d *Director) settled() bool {
	f := &d.fleet
	f.settled = (f.settled && d.state.Traffic()) || d.heardEnough()
	return f.settled
}

func (d *Director) heardEnough() bool {
	f := &d.fleet
	if n := len(f.tracker.Endpoints()); n > f.known {
		f.known = n
		f.lastNew = now()
	}
	if now()-d.leadSince < settleAfter {
		return false
	}
	if now()-d.leadSince < settleMost && slices.ContainsFunc(d.engines(), unheard) {
		return false
	}
	return f.inherited || now()-f.lastNew > settleFirst
}

// unheard reports whether nothing is known of an endpoint's state yet.
func unheard(e tracker.Endpoint) bool {
	return e.ReportedAt == 0 && !e.BootEnded && e.FailedCalls < placer.MinMisses
}

// logCensus writes once a second what the endpoints of a service do; mu is held.
func (d *Director) logCensus(service string, p *placer.Placer) {
	if now()-d.fleet.censusAt < censusEvery {
		return
	}
	d.fleet.censusAt = now()
	c := p.EndpointCounts()
	measure(service, c)
	d.log.Info("census", "service", service, "open", c.Open, "changing", c.Changing, "free", c.Free, "cold", c.Cold, "silent", c.Silent, "leaving", c.Leaving, "demand", p.DemandSummary())
}

func (d *Director) logGroups(before, after []placer.Group) {
	old := map[string]placer.Group{}
	for _, g := range before {
		old[g.Name] = g
	}
	for _, g := range after {
		if was, ok := old[g.Name]; !ok || was.State != g.State {
			metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_group_changes_total{state=%q}`, g.State)).Inc()
			d.log.Info("group", "name", g.Name, "state", g.State, "head", g.Head().Instance, "members", len(g.Members), "domain", g.FabricDomain, "reason", g.Reason)
		}
		delete(old, g.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		d.log.Info("group", "name", name, "state", "ended", "reason", old[name].Reason)
	}
}

// demandNow returns the instances that the measured work of each model keeps
// busy; empty before there is any. mu is held.
func (d *Director) demandNow() map[string]float64 {
	m := &d.fleet.demand
	elapsed := now() - m.since
	if elapsed > demandLife {
		m.last = rates(m.work, elapsed)
		m.work = map[string]float64{}
		m.since = now()
	}
	if len(m.last) > 0 {
		return m.last
	}
	if elapsed < demandLeast {
		return map[string]float64{}
	}
	return rates(m.work, elapsed)
}

// rates divides work by the time in which it came.
func rates(work map[string]float64, elapsed time.Duration) map[string]float64 {
	out := map[string]float64{}
	for model, ms := range work {
		out[model] = ms / float64(elapsed.Milliseconds())
	}
	return out
}

// progress returns the heads whose answers entries receive right now, and those
// of whose several answers none moves; mu is held.
func (d *Director) progress() (moving, stalled map[string]bool) {
	moving, stalled = map[string]bool{}, map[string]bool{}
	open, quiet := map[string]int{}, map[string]int{}
	add := func(at time.Duration, sightings []messenger.Sighting) {
		if now()-at > sightingLife {
			return
		}
		for _, s := range sightings {
			if least, ok := quiet[s.Instance]; !ok || s.QuietMs < least {
				quiet[s.Instance] = s.QuietMs
			}
			open[s.Instance] += s.Open
		}
	}
	for _, state := range d.fleet.entries {
		add(state.at, state.sightings)
	}
	for _, relay := range d.fleet.relays {
		add(relay.at, relay.sightings)
	}
	for head, ms := range quiet {
		moving[head] = ms < int(movingWithin/time.Millisecond)
		stalled[head] = open[head] >= stalledStreams && ms > int(stalledAfter/time.Millisecond)
	}
	return moving, stalled
}

// liveEntries counts the entries that asked any control process of late; mu is
// held.
func (d *Director) liveEntries() int {
	live := map[string]bool{}
	for name, state := range d.fleet.entries {
		if now()-state.at < entryLife {
			live[name] = true
		}
	}
	for _, relay := range d.fleet.relays {
		if now()-relay.at < entryLife {
			for _, name := range relay.entries {
				live[name] = true
			}
		}
	}
	return len(live)
}
