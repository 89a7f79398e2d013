// Package sharer divides the request rate of cold endpoints among entries. Each pool
// of cold endpoints has one rate, of which every entry may use the share that it was
// granted last, until that grant expires. It is a pure state machine.
//
// # Usage
//
//	s := sharer.New(sharer.WithTakeover(leaderSince))
//	s.Update(sharer.PoolsMsg{Now: now, Rates: map[sharer.Pool]float64{{"writers", "ne-a"}: 32}})
//	s.Update(sharer.DemandMsg{Entry: "front-1", Service: "writers", Work: 410})
//	for _, grant := range s.Update(sharer.AskMsg{Now: now, FailureDomain: "ne-a", Entries: names}) { ... }
//
// The sum of all shares of a pool that may be in use never exceeds 1: an entry that
// hears nothing may use its largest unexpired grant, and an increase is granted only
// where the others' unexpired grants leave room. A grant is valid for Validity from the
// moment at which the entry sent the request that it answers, which is before the grant
// was made here. Therefore neither slow or partitioned processes nor lost messages can
// extend one beyond the time for which it counts here.
package sharer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Validity is how long an entry may use a share after it sent its request. It is
	// several sync requests of an entry, so that a lost one costs nothing.
	Validity = time.Second
	// driftMargin covers clocks that run at different rates, at far above the usual
	// fifty millionths.
	driftMargin = 10 * time.Millisecond
	// liveFor is how long an entry that does not ask counts as running. A longer time
	// would reserve shares for entries that have ended.
	liveFor = time.Second
	// retargetInterval is how long targets hold while no entry joins. A change takes
	// Validity to come into effect, so that more frequent changes of the demand would
	// leave a part of the rate unused all the time.
	retargetInterval = 2 * time.Second
	// linger is how long shares are granted after the last endpoint of a pool became
	// warm, as entries hear of that later.
	linger = time.Second
	// evenPart is the part of a rate that is divided evenly, so that an entry whose
	// demand begins can use some of it at once.
	evenPart = 0.5
	// minShare is the smallest share that is granted. Less is left over by rounding.
	minShare = 1e-6
)

// Pool is a set of endpoints with the same rate and the same shares: those of one
// service in one failure domain.
type Pool struct {
	Service       string
	FailureDomain string
}

// Msg is an input of the sharer. Its times are readings of one monotonic clock.
type Msg interface{ sharerMsg() }

// PoolsMsg replaces the pools that have cold endpoints.
type PoolsMsg struct {
	Now   time.Duration
	Rates map[Pool]float64 // Rates are the requests per second that a cold endpoint takes.
}

// DemandMsg carries the work that clients ask of a service at one entry. Its unit must be
// the same for all entries.
type DemandMsg struct {
	Entry   string
	Service string
	Work    float64
}

// AskMsg asks for the shares of the entries of one failure domain that ask for news. Their
// requests must have been sent before Now.
type AskMsg struct {
	Now           time.Duration
	FailureDomain string
	Entries       []string
}

func (PoolsMsg) sharerMsg()  {}
func (DemandMsg) sharerMsg() {}
func (AskMsg) sharerMsg()    {}

// Grant is the share of a pool that an entry may use.
type Grant struct {
	Pool  Pool
	Entry string
	Share float64
}

// entry is an entry that has asked.
type entry struct {
	domain  string
	askedAt time.Duration
	work    map[string]float64 // work is the demand by service.
}

// Sharer holds the pools and what was granted of them. It is not safe for concurrent use.
type Sharer struct {
	options options
	entries map[string]*entry
	pools   map[Pool]*pool
}

// New returns a sharer without pools.
func New(opts ...Option) *Sharer {
	s := &Sharer{options: defaults(), entries: map[string]*entry{}, pools: map[Pool]*pool{}}
	for _, opt := range opts {
		opt(&s.options)
	}
	return s
}

// Update applies a message and returns the shares that it grants.
func (s *Sharer) Update(msg Msg) []Grant {
	switch msg := msg.(type) {
	case PoolsMsg:
		s.replacePools(msg)
	case DemandMsg:
		if e := s.entries[msg.Entry]; e != nil {
			e.work[msg.Service] = max(msg.Work, 0)
		}
	case AskMsg:
		return s.grant(msg)
	}
	return nil
}

// Sharing reports whether any pool has cold endpoints, or had some a short time ago.
func (s *Sharer) Sharing(now time.Duration) bool {
	for _, p := range s.pools {
		if p.active(now) {
			return true
		}
	}
	return false
}

// replacePools notes which pools have cold endpoints. Others are forgotten once nothing
// that was granted of them can be in use.
func (s *Sharer) replacePools(msg PoolsMsg) {
	for key, rate := range msg.Rates {
		p := s.pools[key]
		if p == nil {
			p = &pool{key: key, grants: map[string][]grant{}}
			s.pools[key] = p
		}
		p.rate, p.coldAt = rate, msg.Now
	}
	maps.DeleteFunc(s.pools, func(_ Pool, p *pool) bool {
		p.dropExpired(msg.Now)
		return !p.active(msg.Now) && len(p.grants) == 0
	})
	maps.DeleteFunc(s.entries, func(_ string, e *entry) bool { return msg.Now-e.askedAt > liveFor })
}

// grant returns the shares of the entries that ask.
func (s *Sharer) grant(msg AskMsg) []Grant {
	for _, name := range msg.Entries {
		e := s.entries[name]
		if e == nil {
			e = &entry{work: map[string]float64{}}
			s.entries[name] = e
		}
		e.domain, e.askedAt = msg.FailureDomain, msg.Now
	}
	if msg.Now < s.options.start {
		return nil
	}
	var grants []Grant
	for _, key := range slices.SortedFunc(maps.Keys(s.pools), comparePools) {
		p := s.pools[key]
		if !p.active(msg.Now) {
			continue
		}
		p.dropExpired(msg.Now)
		s.retarget(p, msg)
		for _, name := range msg.Entries {
			if share := p.grant(name, msg.Now, s.maxHolders(p.rate)); share > 0 {
				grants = append(grants, Grant{Pool: key, Entry: name, Share: share})
			}
		}
	}
	return grants
}

func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
}

// live returns the entries that asked a short time ago, sorted by name.
func (s *Sharer) live(now time.Duration) []string {
	var names []string
	for name, e := range s.entries {
		if now-e.askedAt <= liveFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
