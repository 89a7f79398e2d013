package configurer

import (
	"net"
	"slices"
	"strings"
	"time"

	"papayaseam/internal/rationer"
)

// Direct are the settings of the roles that serve endpoints without side
// processes.
type Direct struct {
	Address    string        // Address is the inner address of this process.
	Listen     string        // Listen is where clients, or endpoints and operators, call.
	ReadyOn    string        // ReadyOn is where the balancer asks for readiness; empty at control.
	ReadyPath  string        // ReadyPath is the path of that question.
	MetricsOn  string        // MetricsOn is where the metrics are read; empty for nowhere.
	Seeds      []string      // Seeds are the inner addresses of the seeds.
	First      bool          // First tells that the whole system starts for the first time.
	DataFolder string        // DataFolder is empty for a process without a disk.
	Losses     int           // Losses is the number of disks that may be lost at once.
	Lease      time.Duration // Lease is how long a confirmed configuration serves keyed requests.
	RetryRatio float64       // RetryRatio is the declared budget of retries for each request.
	BreakAfter time.Duration // BreakAfter is when a head that lacks a member has broken for certain.
	Stop       time.Duration // Stop bounds a planned stop.

	FailureDomains []string      // FailureDomains are the failure domains that may be evacuated; empty for those of the endpoints.
	EvacuateWithin time.Duration // EvacuateWithin is when nothing more reaches an evacuated failure domain.
	Shares         rationer.Mode // Shares says for which services priorities and shares of organisations are in effect.
}

const (
	maxLosses = 7
	maxGraceS = 3600
	// stopMargin is what the end of the process needs before it is killed.
	stopMargin = 250 * time.Millisecond
	// leaseShare keeps a lease below the time in which a removed key must stop,
	// by what a request needs from here to its endpoint.
	leaseShare = 0.8
	// breakMargin covers the lag of reports and clocks that differ in rate.
	breakMargin = time.Second
	// defaultEvacuateWithin applies where evacuate-ms is absent or empty, since the bound
	// is not declared in every deployment.
	defaultEvacuateWithin = 5 * time.Second
	// maxFailureDomains and maxNameBytes bound what an evacuation can hold in control's log.
	maxFailureDomains = 256
	maxNameBytes      = 256
)

// IsDirect reports whether the process serves endpoints without side processes.
func (s Settings) IsDirect() bool { return s.Has(RoleDirectControl) || s.Has(RoleDirectEntry) }

// failureDomains reads the failure domains that may be evacuated.
func (r reader) failureDomains(section string) []string {
	const key = "failure-domains"
	domains := r.List(section, key)
	if len(domains) > maxFailureDomains {
		r.Fail(section, key, "%d failure domains; name %d at most", len(domains), maxFailureDomains)
		return nil
	}
	for _, domain := range domains {
		if len(domain) > maxNameBytes {
			r.Fail(section, key, "%.32q... is too long for a failure domain; use %d bytes at most", domain, maxNameBytes)
		}
	}
	return domains
}

func (r reader) direct() Direct {
	const section = "direct"
	grace := r.Number(section, "grace-s", 10, 1, maxGraceS)
	d := Direct{
		Stop: time.Duration(grace*float64(time.Second)) - stopMargin,

		Listen: r.address(section, "listen"), ReadyOn: r.Text(section, "ready-listen", ""), ReadyPath: r.Text(section, "ready-path", "/readyz"),
		MetricsOn: r.Text(section, "metrics-listen", ""), First: r.Bool(section, "first-start", false),
		DataFolder: r.Text(section, "data-folder", ""), Losses: r.Int(section, "disks-lost-at-once", 1, 0, maxLosses),
		RetryRatio: r.Number(section, "retry-ratio", 0.2, 0, 1),
	}
	d.Shares = r.shares(section)
	revoke := r.duration(section, "key-removal-ms", 5*time.Second)
	d.Lease = time.Duration(float64(revoke) * leaseShare)
	d.BreakAfter = r.duration(section, "group-stall-ms", 10*time.Second) + breakMargin
	d.FailureDomains = r.failureDomains(section)
	d.EvacuateWithin = defaultEvacuateWithin
	if r.Text(section, "evacuate-ms", "") != "" {
		d.EvacuateWithin = r.duration(section, "evacuate-ms", defaultEvacuateWithin)
	}
	port := r.Needed(section, "inner-port")
	d.Address = net.JoinHostPort(r.Needed(section, "ip"), port)
	for _, seed := range r.List(section, "seeds") {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			r.Fail(section, "seeds", "%q is no address; write IP:PORT, with commas between them", seed)
			continue
		}
		d.Seeds = append(d.Seeds, net.JoinHostPort(host, port))
	}
	slices.Sort(d.Seeds)
	if len(d.Seeds) == 0 {
		r.Fail(section, "seeds", "name at least one control process as IP:PORT")
	}
	return d
}

// shares reads the services for which priorities and shares of organisations are in
// effect.
func (r reader) shares(section string) rationer.Mode {
	const key = "organisation-shares"
	mode := r.Text(section, key, string(rationer.Auto))
	if !slices.Contains(rationer.Modes, mode) {
		r.Fail(section, key, "%s must be %s", key, strings.Join(rationer.Modes, ", "))
	}
	return rationer.Mode(mode)
}
