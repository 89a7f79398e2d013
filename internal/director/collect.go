package director

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"github.com/cespare/xxhash/v2"
)

const (
	// collectWithin is how lately the leader must have answered for an
	// announcement without news to be acknowledged here.
	collectWithin = time.Second
	// sightingsWithin is above the pace at which entries ask.
	sightingsWithin = 400 * time.Millisecond
	// relayLife is how long a control process that sends no digest is named to
	// entries and endpoints.
	relayLife = 2 * time.Second
)

// collector is what a control process that does not lead has heard from the
// entries and endpoints of its failure domain, for its next digest.
type collector struct {
	taken   map[string]takenAnnouncement
	alive   map[string]messenger.Liveness
	demand  map[demandKey]float64
	entries int // entries is the number of entries that the leader last told.
}

type demandKey struct{ service, model string }

// takenAnnouncement is the last announcement of an endpoint that a leader took.
type takenAnnouncement struct {
	leader string
	view   messenger.EndpointView
	report messenger.EndpointReport
}

func newCollector() collector {
	return collector{taken: map[string]takenAnnouncement{}, alive: map[string]messenger.Liveness{}, demand: map[demandKey]float64{}}
}

func announcementOf(leader string, r messenger.Registration) takenAnnouncement {
	announced := takenAnnouncement{leader: leader, view: *r.Endpoint}
	announced.view.Sequence = 0
	if r.Report != nil {
		announced.report = *r.Report
	}
	return announced
}

func (w takenAnnouncement) same(other takenAnnouncement) bool {
	a, b := w.report, other.report
	return w.leader == other.leader && w.view == other.view && a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank &&
		a.State == b.State && a.Busy == b.Busy && a.FabricDomain == b.FabricDomain &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Staged, b.Staged)
}

// collect keeps an announcement that says nothing new for the next digest, and
// reports whether it did.
func (d *Director) collect(r messenger.Registration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	announced, ok := d.collector.taken[r.Endpoint.Instance]
	news := !ok || r.Gone || r.Endpoint.Leaving || !announced.same(announcementOf(d.leader, r))
	if news || now()-d.roundAt > collectWithin {
		return false
	}
	d.collector.alive[r.Endpoint.Instance] = messenger.Liveness{Instance: r.Endpoint.Instance, Born: r.Endpoint.Born, Sequence: r.Endpoint.Sequence}
	return true
}

// noteTaken remembers an announcement that the leader took.
func (d *Director) noteTaken(leader string, r messenger.Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Gone || r.Endpoint.Leaving {
		delete(d.collector.taken, r.Endpoint.Instance)
		return
	}
	d.collector.taken[r.Endpoint.Instance] = announcementOf(leader, r)
}

// ownView is where this process is reached.
func (d *Director) ownView() messenger.ControlView {
	return messenger.ControlView{Address: d.cfg.Address, Home: d.cfg.ListenAddress, FailureDomain: d.cfg.FailureDomain}
}

// takeDigest returns what was heard since the last digest.
func (d *Director) takeDigest() messenger.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	digest := messenger.Digest{Control: new(messenger.ControlView)}
	*digest.Control = d.ownView()
	merged := map[string]messenger.Sighting{}
	for name, state := range d.fleet.entries {
		if now()-state.at < entryLife {
			digest.Entries = append(digest.Entries, name)
		}
		if now()-state.at > sightingsWithin {
			continue
		}
		for _, s := range state.sightings {
			if was, ok := merged[s.Instance]; ok && was.Born == s.Born {
				s.Open += was.Open
				s.QuietMs = min(s.QuietMs, was.QuietMs)
			}
			merged[s.Instance] = s
		}
	}
	digest.Sightings = slices.Collect(maps.Values(merged))
	for key, work := range d.collector.demand {
		digest.Demand = append(digest.Demand, messenger.DemandReport{Service: key.service, Model: key.model, WorkMs: work})
	}
	digest.Alive = slices.Collect(maps.Values(d.collector.alive))
	clear(d.collector.demand)
	clear(d.collector.alive)
	return digest
}

// keepDigest keeps what a leader did not take for the next digest.
func (d *Director) keepDigest(digest messenger.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addDemand(digest.Demand)
	for _, a := range digest.Alive {
		if newer, ok := d.collector.alive[a.Instance]; !ok || newer.Sequence < a.Sequence {
			d.collector.alive[a.Instance] = a
		}
	}
}

// addDemand counts work that clients asked for; mu is held.
func (d *Director) addDemand(reports []messenger.DemandReport) {
	for _, report := range reports {
		if d.leading {
			d.fleet.demand.work[report.Model] += report.WorkMs
			continue
		}
		d.collector.demand[demandKey{report.Service, report.Model}] += report.WorkMs
	}
}

// noteDigest takes a digest at the leader and returns the endpoints that must
// announce themselves in full; mu is held.
func (d *Director) noteDigest(in messenger.Digest) (unknown []string) {
	if in.Control != nil {
		d.fleet.relays[in.Control.Address] = relayState{at: now(), view: *in.Control, entries: in.Entries, sightings: in.Sightings}
	}
	d.addDemand(in.Demand)
	for _, a := range in.Alive {
		if e, ok := d.table().Endpoint(a.Instance); !ok || e.View.Born != a.Born {
			unknown = append(unknown, a.Instance)
			continue
		}
		d.table().Update(tracker.HeartbeatMsg{Now: now(), ID: a.Instance, BootTime: a.Born, Sequence: a.Sequence})
	}
	return unknown
}

// liveControls returns this leader and the control processes that sent a digest
// of late, by address; mu is held.
func (d *Director) liveControls() []messenger.ControlView {
	list := []messenger.ControlView{d.ownView()}
	for _, r := range d.fleet.relays {
		if now()-r.at < relayLife && r.view.Address != d.cfg.Address {
			list = append(list, r.view)
		}
	}
	slices.SortFunc(list, func(a, b messenger.ControlView) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// homeOf returns where an endpoint's announcements are best sent: a control
// process of its own failure domain that does not lead, else the leader's
// address, as answered.
func (d *Director) homeOf(view messenger.EndpointView, leaders string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	leader := enroller.AddressOf(d.leader)
	var near []string
	for _, c := range d.fleet.viewer.Controls() {
		if view.FailureDomain != "" && c.FailureDomain == view.FailureDomain && c.Address != leader && c.Home != "" {
			near = append(near, c.Home)
		}
	}
	if len(near) == 0 {
		return leaders
	}
	return near[xxhash.Sum64String(view.Instance)%uint64(len(near))]
}
