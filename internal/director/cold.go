package director

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/sharer"
	"papayaseam/internal/tracker"

	"github.com/VictoriaMetrics/metrics"
)

var coldGrants = metrics.NewCounter("papayaseam_cold_share_grants_total")

// coldFleet is what this process knows of cold endpoints and of what entries may send
// to them.
type coldFleet struct {
	sharer *sharer.Sharer
	meter  *sharer.Meter  // meter measures the demand of the entries that ask this process.
	demand bool           // demand is set once a client asked for a service whose cold endpoints are limited.
	counts map[string]int // counts holds the number of cold endpoints by service, as last logged.
	// drained holds the failure domains that are evacuated and whose phase-out is over.
	// Endpoints that get no requests may become cold at any time, so that they count as
	// cold whatever they announce.
	drained map[string]bool
	revoked map[string]int // revoked maps failure domains to the revisions of the revocations that this leader acted on.
}

func newColdFleet() coldFleet {
	return coldFleet{sharer: sharer.New(), meter: sharer.NewMeter(), counts: map[string]int{}, drained: map[string]bool{}, revoked: map[string]int{}}
}

// startLeadership forgets what was granted before, since the time for which that counts
// is awaited.
func (f *coldFleet) startLeadership() {
	f.sharer = sharer.New(sharer.WithTakeover(now()))
	f.demand = false
	f.drained = map[string]bool{}
	f.revoked = map[string]int{}
}

// coldLimits returns the declared rate and time of a service's cold endpoints; 0 if they
// are not limited. The caller holds mu.
func (d *Director) coldLimits(service string) (rate float64, coldTime time.Duration) {
	if d.config == nil {
		return 0, 0
	}
	s, _ := d.config.Service(service)
	if s.ColdRate <= 0 {
		return 0, 0
	}
	return s.ColdRate, s.ColdTime
}

// isCold reports whether entries must spare an endpoint. The caller holds mu.
func (d *Director) isCold(e tracker.Endpoint) bool {
	rate, _ := d.coldLimits(e.View.Service)
	return rate > 0 && (e.Cold(now()) || d.fleet.cold.drained[e.View.FailureDomain])
}

// withoutUnusedCold removes what an announcement says of its cold time if its service is
// known not to limit cold endpoints.
func (d *Director) withoutUnusedCold(r messenger.Registration) messenger.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	rate, _ := d.coldLimits(r.Endpoint.Service)
	if rate > 0 || d.config == nil {
		return r
	}
	view := *r.Endpoint
	view.Cold = false
	r.Endpoint, r.Cold = &view, nil
	return r
}

// remainsCold reports whether an announcement states a time for which its endpoint is
// cold. Such a time may be later than the one that the leader knows.
func remainsCold(r messenger.Registration) bool { return r.Cold != nil && r.Cold.RemainingMs > 0 }

// becameWarm reports whether an announcement says that its endpoint is warm, while the view
// has it as cold. The caller holds mu.
func (d *Director) becameWarm(r messenger.Registration) bool {
	view, _ := d.fleet.viewer.Endpoint(r.Endpoint.Instance)
	return r.Cold != nil && !remainsCold(r) && view.Cold
}

// coldAnnouncement returns what an announcement tells the endpoint table. A boot that is
// first seen while clients are served may have started just now. The caller holds mu.
func (d *Director) coldAnnouncement(r messenger.Registration) tracker.ColdAnnouncement {
	_, coldTime := d.coldLimits(r.Endpoint.Service)
	a := tracker.ColdAnnouncement{}
	if d.fleet.cold.demand || d.state.HasServedTraffic() {
		a.Default = coldTime
	}
	if r.Cold != nil {
		a.Reported, a.Remaining = true, time.Duration(r.Cold.RemainingMs)*time.Millisecond
	}
	return a
}

// inheritedCold returns what the last leader's view tells of an endpoint. The caller
// holds mu.
func (d *Director) inheritedCold(view messenger.EndpointView) tracker.ColdAnnouncement {
	if !view.Cold {
		return tracker.ColdAnnouncement{}
	}
	_, coldTime := d.coldLimits(view.Service)
	return tracker.ColdAnnouncement{Inherited: true, Default: coldTime}
}

// updateColdPools tells the sharer which pools have cold endpoints, and logs when their
// number changes. The caller holds mu.
func (d *Director) updateColdPools() {
	d.updateDrainedDomains()
	rates := map[sharer.Pool]float64{}
	names := map[string][]string{}
	for _, e := range d.tracker().Endpoints() {
		if e.BootEnded || e.View.Leaving || !d.isCold(e) {
			continue
		}
		rate, _ := d.coldLimits(e.View.Service)
		rates[sharer.Pool{Service: e.View.Service, FailureDomain: e.View.FailureDomain}] = rate
		names[e.View.Service] = append(names[e.View.Service], e.View.Instance)
	}
	d.fleet.cold.sharer.Update(sharer.PoolsMsg{Now: now(), Rates: rates})
	d.logCold(names)
}

// logCold logs and measures how many endpoints of each service are cold. The caller holds
// mu.
func (d *Director) logCold(names map[string][]string) {
	counts := d.fleet.cold.counts
	services := slices.AppendSeq(slices.Collect(maps.Keys(names)), maps.Keys(counts))
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		list, before := names[service], counts[service]
		if len(list) == before {
			continue
		}
		counts[service] = len(list)
		setGauge(fmt.Sprintf(`papayaseam_cold_endpoints{service=%q}`, service), float64(len(list)))
		d.log.Info("cold endpoints", "service", service, "count", len(list), "before", before, "endpoints", firstNames(list))
	}
}

// addLeaderDemand adds the work that clients requested. Reports without a model are of
// plain services, which form no groups. The caller holds mu.
func (d *Director) addLeaderDemand(report messenger.DemandReport) {
	if rate, _ := d.coldLimits(report.Service); rate > 0 && report.WorkMs > 0 {
		d.fleet.cold.demand = true
	}
	if report.Model != "" {
		d.fleet.demand.work[report.Model] += report.WorkMs
	}
}

// meterDemand measures the demand of an entry. The caller holds mu.
func (d *Director) meterDemand(request messenger.FleetRequest) {
	for _, report := range request.Demand {
		if rate, _ := d.coldLimits(report.Service); rate > 0 {
			d.fleet.cold.meter.Update(sharer.WorkMsg{Now: now(), Entry: request.Process, Service: report.Service, Work: report.WorkMs})
		}
	}
}

// entryDemand returns the demand of this process's entries, if the leader needs it. The
// caller holds mu.
func (d *Director) entryDemand() []messenger.EntryDemand {
	demands := d.fleet.cold.meter.Demands(now())
	if !d.collector.sharing {
		return nil
	}
	var list []messenger.EntryDemand
	for _, demand := range demands {
		list = append(list, messenger.EntryDemand{Entry: demand.Entry, Service: demand.Service, WorkMs: demand.Work})
	}
	return list
}

// grantShares returns the shares of the entries that a digest names, and whether any are
// given out now. The entries sent their requests before the digest was sent. The caller
// holds mu.
func (d *Director) grantShares(digest messenger.Digest) (shares []messenger.ColdShare, sharing bool) {
	domain := ""
	if digest.Control != nil {
		domain = digest.Control.FailureDomain
	}
	return d.grant(domain, digest.Entries, digest.EntryDemand)
}

func (d *Director) grant(domain string, entries []string, demands []messenger.EntryDemand) (shares []messenger.ColdShare, sharing bool) {
	s := d.fleet.cold.sharer
	for _, demand := range demands {
		s.Update(sharer.DemandMsg{Entry: demand.Entry, Service: demand.Service, Work: demand.WorkMs})
	}
	for _, g := range s.Update(sharer.AskMsg{Now: now(), FailureDomain: domain, Entries: entries}) {
		shares = append(shares, messenger.ColdShare{Entry: g.Entry, Service: g.Pool.Service, FailureDomain: g.Pool.FailureDomain, Share: g.Share})
	}
	coldGrants.Add(len(shares))
	return shares, s.Sharing(now())
}

// sharesOf returns the shares of the entry whose request a round confirmed: at the leader
// as of now, elsewhere as the leader answered the digest of that round, which named the
// entry. The caller holds mu.
func (d *Director) sharesOf(entry string, c messenger.Confirmation) []messenger.ColdShare {
	if entry == "" {
		return nil
	}
	given := c.Shares
	if d.leading {
		d.collector.sharing = d.fleet.cold.sharer.Sharing(now())
		given, _ = d.grant(d.cfg.FailureDomain, []string{entry}, d.entryDemand())
	}
	var shares []messenger.ColdShare
	for _, share := range given {
		if share.Entry == entry {
			share.Entry = ""
			shares = append(shares, share)
		}
	}
	return shares
}
