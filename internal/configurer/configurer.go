// Package configurer reads the settings of one process from an INI file.
//
// # Usage
//
//	settings, err := configurer.Read("settings.ini")
//	for _, role := range settings.Roles { ... }
//
// Every mistake is reported with its line; see docs/SETTINGS.md for all keys.
package configurer

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"papayaseam/internal/declarer"
	"papayaseam/internal/limiter"
)

// Role is what a process does.
type Role string

// The roles.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleSide     Role = "side"
	RoleEndpoint Role = "fake-endpoint"

	// RoleDirectControl is control where endpoints have no side process.
	RoleDirectControl Role = "direct-control"
	// RoleDirectEntry is the entry where endpoints have no side process.
	RoleDirectEntry Role = "direct-entry"
)

// Settings are the checked settings of one process.
type Settings struct {
	Placeholders  []string // Placeholders are the keys that a template left unfilled, and which have their defaults.
	File          string   // File is where the settings were read; empty for settings from memory.
	Roles         []Role
	Name          string
	Region        string
	FailureDomain string
	FabricDomain  string
	Listen        string
	Advertise     string            // Advertise is the address that others use; it is Listen unless set.
	Controls      map[string]string // Controls maps control processes to addresses.
	StopAfter     time.Duration     // StopAfter bounds a planned stop.
	LogLevel      string

	DataFolder  string
	MinPatience time.Duration
	MaxPatience time.Duration
	MaxLoads    int

	DowntimeWeight int // DowntimeWeight is what a group's downtime counts for.
	StrandedWeight int // StrandedWeight is what one stranded accelerator counts for.

	APIListen   string
	CutOffLimit time.Duration
	Seed        uint64

	Queue     int
	Drain     time.Duration
	KeepBytes int

	Endpoint Endpoint
	Direct   Direct
	Limits   limiter.Bounds // Limits bounds what clients can make the process hold.
}

// Endpoint are the settings of a fake endpoint.
type Endpoint struct {
	Listen        string
	Side          string
	Service       string
	ChecksFencing bool
	Parallel      int
	FirstToken    time.Duration
	Step          time.Duration
	Restart       time.Duration
}

const (
	maxDurationMs = 24 * 60 * 60 * 1000
	maxQueue      = 1_000_000
	maxLoads      = 100_000
	maxWeight     = 1_000
	maxKeepMB     = 100_000
	bytesPerMB    = 1 << 20
)

// Addresses returns the addresses of all control processes, sorted by name.
func (s Settings) Addresses() []string {
	var names []string
	for name := range s.Controls {
		names = append(names, name)
	}
	slices.Sort(names)
	var addresses []string
	for _, name := range names {
		addresses = append(addresses, s.Controls[name])
	}
	return addresses
}

// Has reports whether the process has a role.
func (s Settings) Has(role Role) bool { return slices.Contains(s.Roles, role) }

// Read reads and checks a settings file.
func Read(name string) (Settings, error) {
	f, err := declarer.Open(name)
	if err != nil {
		return Settings{}, err
	}
	settings, err := read(f)
	settings.File = name
	return settings, err
}

// Parse reads and checks settings from memory.
func Parse(name string, data []byte) (Settings, error) {
	f, err := declarer.Parse(name, data)
	if err != nil {
		return Settings{}, err
	}
	return read(f)
}

// isPlaceholder reports whether a value is a placeholder of a template that was not filled
// in, since whoever rendered it does not know the field. The key then has its default.
func isPlaceholder(value string) bool { return strings.Contains(value, "{{") }

func read(f *declarer.File) (Settings, error) {
	r := reader{f}
	placeholders := f.Drop(isPlaceholder)
	s := Settings{
		Placeholders: placeholders,
		Name:         f.Needed("process", "name"), Region: f.Needed("process", "region"),
		FailureDomain: f.Needed("process", "failure-domain"), FabricDomain: f.Text("process", "fabric-domain", ""),
		StopAfter: r.duration("process", "stop-after-ms", 90*time.Second),
		LogLevel:  f.Text("process", "log-level", "info"),
		Seed:      rand.Uint64(),
	}
	s.Roles = r.roles()
	sections := []string{"process", "control"}
	s.Limits = r.limits(s.IsDirect())
	if s.IsDirect() {
		s.Direct = r.direct()
		s.StopAfter = s.Direct.Stop
		return s, f.Err("process", "direct")
	}
	s.Controls = r.controls()
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		f.Fail("process", "log-level", "log-level must be debug, info, warn or error")
	}
	if s.Has(RoleControl) || s.Has(RoleEntry) || s.Has(RoleSide) {
		s.Listen = r.address("process", "listen")
		s.Advertise = f.Text("process", "advertise", s.Listen)
	}
	if s.Has(RoleControl) {
		r.control(&s)
	}
	if s.Has(RoleEntry) {
		sections = append(sections, "entry")
		s.APIListen = r.address("entry", "listen")
		s.CutOffLimit = r.duration("entry", "cut-off-limit-ms", 0)
	}
	if s.Has(RoleSide) {
		sections = append(sections, "side")
		s.Queue = f.Int("side", "queue", 64, 1, maxQueue)
		s.Drain = r.duration("side", "drain-ms", time.Minute)
		s.KeepBytes = bytesPerMB * f.Int("side", "keep-mb", 48, 1, maxKeepMB)
	}
	if s.Has(RoleEndpoint) {
		sections = append(sections, "fake-endpoint")
		s.Endpoint = r.endpoint()
	}
	return s, f.Err(sections...)
}

type reader struct{ *declarer.File }

func (r reader) roles() []Role {
	var roles []Role
	for _, word := range r.List("process", "roles") {
		role := Role(word)
		if !slices.Contains([]Role{RoleControl, RoleEntry, RoleSide, RoleEndpoint, RoleDirectControl, RoleDirectEntry}, role) {
			r.Fail("process", "roles", "no role %q; use control, entry, side, fake-endpoint, direct-control or direct-entry", word)
			continue
		}
		roles = append(roles, role)
	}
	if len(roles) == 0 {
		r.Fail("process", "roles", "the process needs a role; set roles to control, entry or side")
	}
	return roles
}

// controls reads pairs of name and address.
func (r reader) controls() map[string]string {
	controls := map[string]string{}
	for _, pair := range r.List("control", "peers") {
		name, address, ok := strings.Cut(pair, "=")
		_, _, err := net.SplitHostPort(strings.TrimSpace(address))
		if !ok || err != nil {
			r.Fail("control", "peers", "%q is no peer; write NAME=IP:PORT, with commas between peers", pair)
			continue
		}
		controls[strings.TrimSpace(name)] = strings.TrimSpace(address)
	}
	if len(controls) == 0 {
		r.Fail("control", "peers", "name all control processes as NAME=IP:PORT, with commas between them")
	}
	if len(controls) == 2 {
		r.Fail("control", "peers", "two control processes can not lose one; use one, three or five")
	}
	return controls
}

func (r reader) control(s *Settings) {
	s.DataFolder = r.Needed("control", "data-folder")
	s.MinPatience = r.duration("control", "min-patience-ms", 3*time.Second)
	s.MaxPatience = r.duration("control", "max-patience-ms", time.Minute)
	s.MaxLoads = r.Int("control", "max-loads", 64, 1, maxLoads)
	s.DowntimeWeight = r.Int("control", "downtime-weight", 16, 1, maxWeight)
	s.StrandedWeight = r.Int("control", "stranded-weight", 1, 1, maxWeight)
	if s.MinPatience > s.MaxPatience {
		r.Fail("control", "min-patience-ms", "min-patience-ms is above max-patience-ms; lower it")
	}
}

func (r reader) endpoint() Endpoint {
	const section = "fake-endpoint"
	return Endpoint{
		Listen: r.address(section, "listen"), Side: r.address(section, "side"), Service: r.Text(section, "service", ""),
		ChecksFencing: r.Bool(section, "checks-fencing", true), Parallel: r.Int(section, "parallel", 16, 1, maxQueue),
		FirstToken: r.duration(section, "first-token-ms", 50*time.Millisecond), Step: r.duration(section, "step-ms", 20*time.Millisecond),
		Restart: r.duration(section, "restart-ms", time.Second),
	}
}

func (r reader) address(section, key string) string {
	value := r.Needed(section, key)
	if _, _, err := net.SplitHostPort(value); value != "" && err != nil {
		r.Fail(section, key, "%q is no address; write IP:PORT", value)
	}
	return value
}

func (r reader) duration(section, key string, fallback time.Duration) time.Duration {
	return time.Duration(r.Int(section, key, int(fallback/time.Millisecond), 0, maxDurationMs)) * time.Millisecond
}
