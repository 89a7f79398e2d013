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
	// maxConfirmationAge is the greatest age of the last confirmed round at which
	// an unchanged announcement may be acknowledged without the leader.
	maxConfirmationAge = time.Second
	// maxDigestSightingAge is longer than the interval between sync requests of an
	// entry.
	maxDigestSightingAge = 400 * time.Millisecond
	// relayTTL is how long a control process stays advertised to entries and
	// endpoints after its last digest.
	relayTTL = 2 * time.Second
)

// collector accumulates what a follower receives from the entries and endpoints
// of its failure domain, for its next digest.
type collector struct {
	accepted map[string]acceptedAnnouncement
	alive    map[string]messenger.Liveness
	demand   map[demandKey]float64 // demand is the requested work in milliseconds.
	entries  int                   // entries is the number of running entries in the leader's last confirmation.
	sharing  bool                  // sharing is set if the leader gives out shares of cold endpoints, as of its last confirmation.
	served   servedCounts
}

type demandKey struct{ service, model string }

// acceptedAnnouncement is the last announcement of an endpoint that a leader
// accepted.
type acceptedAnnouncement struct {
	leader string
	view   messenger.EndpointView
	report messenger.EndpointReport
}

func newCollector() collector {
	return collector{accepted: map[string]acceptedAnnouncement{}, alive: map[string]messenger.Liveness{}, demand: map[demandKey]float64{}, served: servedCounts{}}
}

func newAcceptedAnnouncement(leader string, r messenger.Registration) acceptedAnnouncement {
	announcement := acceptedAnnouncement{leader: leader, view: *r.Endpoint}
	announcement.view.Sequence = 0
	if r.Report != nil {
		announcement.report = *r.Report
	}
	return announcement
}

// equal reports whether two announcements agree in everything that the leader
// must learn at once; load figures are left out.
func (announcement acceptedAnnouncement) equal(other acceptedAnnouncement) bool {
	a, b := announcement.report, other.report
	return announcement.leader == other.leader && announcement.view == other.view && a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank &&
		a.State == b.State && a.Busy == b.Busy && a.FabricDomain == b.FabricDomain &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Staged, b.Staged)
}

// deferToDigest keeps an unchanged announcement for the next digest and reports
// whether it did.
func (d *Director) deferToDigest(r messenger.Registration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	accepted, ok := d.collector.accepted[r.Endpoint.Instance]
	changed := !ok || r.Gone || remainsCold(r) || d.becameWarm(r) || r.Endpoint.Leaving || !accepted.equal(newAcceptedAnnouncement(d.leader, r))
	if changed || now()-d.lastRoundAt > maxConfirmationAge {
		return false
	}
	d.collector.alive[r.Endpoint.Instance] = messenger.Liveness{Instance: r.Endpoint.Instance, Born: r.Endpoint.Born, Sequence: r.Endpoint.Sequence}
	return true
}

// recordAccepted stores an announcement that the leader accepted.
func (d *Director) recordAccepted(leader string, r messenger.Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Gone || r.Endpoint.Leaving {
		delete(d.collector.accepted, r.Endpoint.Instance)
		return
	}
	d.collector.accepted[r.Endpoint.Instance] = newAcceptedAnnouncement(leader, r)
}

// ownControlView describes this process to others: its addresses and failure
// domain.
func (d *Director) ownControlView() messenger.ControlView {
	return messenger.ControlView{Address: d.cfg.Address, Home: d.cfg.ListenAddress, FailureDomain: d.cfg.FailureDomain}
}

// drainDigest returns and clears what was collected since the last digest.
func (d *Director) drainDigest() messenger.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	digest := messenger.Digest{Control: new(messenger.ControlView)}
	*digest.Control = d.ownControlView()
	merged := map[string]messenger.Sighting{}
	for name, state := range d.fleet.entries {
		if now()-state.receivedAt < entryTTL {
			digest.Entries = append(digest.Entries, name)
		}
		if now()-state.receivedAt > maxDigestSightingAge {
			continue
		}
		for _, s := range state.sightings {
			s.AgeMs = int((now() - state.receivedAt).Milliseconds())
			if previous, ok := merged[s.Instance]; ok && previous.Born == s.Born {
				s = mergeSightings(previous, s)
			}
			merged[s.Instance] = s
		}
	}
	digest.Sightings = slices.Collect(maps.Values(merged))
	for key, work := range d.collector.demand {
		count := d.collector.served[key]
		digest.Demand = append(digest.Demand, messenger.DemandReport{Service: key.service, Model: key.model, WorkMs: work, Asked: count.asked, Sent: count.sent})
	}
	digest.Alive = slices.Collect(maps.Values(d.collector.alive))
	digest.EntryDemand = d.entryDemand()
	clear(d.collector.demand)
	clear(d.collector.served)
	clear(d.collector.alive)
	return digest
}

// mergeSightings adds up what two entries saw of one boot of an endpoint.
func mergeSightings(a, b messenger.Sighting) messenger.Sighting {
	sinceEvent := min(a.QuietMs+a.AgeMs, b.QuietMs+b.AgeMs)
	b.Open += a.Open
	b.QuietMs = min(a.QuietMs, b.QuietMs)
	b.AgeMs = sinceEvent - b.QuietMs
	return b
}

// requeueDigest puts the demand and liveness of an undelivered digest back for the
// next one.
func (d *Director) requeueDigest(digest messenger.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addDemand(digest.Demand)
	for _, a := range digest.Alive {
		if current, ok := d.collector.alive[a.Instance]; !ok || current.Sequence < a.Sequence {
			d.collector.alive[a.Instance] = a
		}
	}
}

// addDemand adds the work that clients requested. The caller holds mu.
func (d *Director) addDemand(reports []messenger.DemandReport) {
	for _, report := range reports {
		if d.leading {
			d.addLeaderDemand(report)
			d.fleet.served.add(now(), report)
			continue
		}
		d.collector.served.add(report)
		d.collector.demand[demandKey{report.Service, report.Model}] += report.WorkMs
	}
}

// applyDigest applies a follower's digest at the leader and returns the endpoints
// that must send a full announcement. The caller holds mu.
func (d *Director) applyDigest(digest messenger.Digest) (unknown []string) {
	if digest.Control != nil {
		d.fleet.relays[digest.Control.Address] = relayState{receivedAt: now(), view: *digest.Control, entries: digest.Entries, sightings: digest.Sightings}
	}
	d.addDemand(digest.Demand)
	for _, a := range digest.Alive {
		if e, ok := d.tracker().Endpoint(a.Instance); !ok || e.View.Born != a.Born || e.ColdAwaited() {
			unknown = append(unknown, a.Instance)
			continue
		}
		d.tracker().Update(tracker.HeartbeatMsg{Now: now(), ID: a.Instance, BootTime: a.Born, Sequence: a.Sequence})
	}
	return unknown
}

// liveControls returns this leader and the control processes that sent a digest
// within relayTTL, sorted by address. The caller holds mu.
func (d *Director) liveControls() []messenger.ControlView {
	controls := []messenger.ControlView{d.ownControlView()}
	for _, r := range d.fleet.relays {
		if now()-r.receivedAt < relayTTL && r.view.Address != d.cfg.Address {
			controls = append(controls, r.view)
		}
	}
	slices.SortFunc(controls, func(a, b messenger.ControlView) int { return cmp.Compare(a.Address, b.Address) })
	return controls
}

// announceAddress returns the address to which an endpoint should send its
// announcements: a follower in the endpoint's failure domain, or leaderAddress if
// there is none.
func (d *Director) announceAddress(view messenger.EndpointView, leaderAddress string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	leader := enroller.AddressOf(d.leader)
	var nearby []string
	for _, c := range d.fleet.viewer.Controls() {
		if view.FailureDomain != "" && c.FailureDomain == view.FailureDomain && c.Address != leader && c.Home != "" {
			nearby = append(nearby, c.Home)
		}
	}
	if len(nearby) == 0 {
		return leaderAddress
	}
	return nearby[xxhash.Sum64String(view.Instance)%uint64(len(nearby))]
}
