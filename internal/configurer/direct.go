package configurer

import (
	"net"
	"slices"
	"time"
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
)

// IsDirect reports whether the process serves endpoints without side processes.
func (s Settings) IsDirect() bool { return s.Has(RoleDirectControl) || s.Has(RoleDirectEntry) }

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
	revoke := r.duration(section, "key-removal-ms", 5*time.Second)
	d.Lease = time.Duration(float64(revoke) * leaseShare)
	d.BreakAfter = r.duration(section, "group-stall-ms", 10*time.Second) + breakMargin
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
