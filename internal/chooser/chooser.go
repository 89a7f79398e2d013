// Package chooser decides at an entry to which endpoint a request goes, or that
// it must be refused, as a pure state machine.
//
// # Usage
//
//	c := chooser.New("ne-a")
//	c.Update(chooser.FleetMsg{Endpoints: endpoints, Groups: groups})
//	target, ok := c.Pick(chooser.Request{Service: "writers", Model: "verse"})
//	c.Update(chooser.AttemptStartedMsg{ID: target.ID})
//	c.Update(chooser.AttemptEndedMsg{ID: target.ID, Outcome: chooser.Served})
//
// The running requests of an endpoint are those that it last reported, less
// this entry's own at that time, plus this entry's own now. A group that
// cannot begin a request within its latency objective is not picked.
package chooser

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/messenger"

	"github.com/cespare/xxhash/v2"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota // Served attempts were answered whole.
	Refused                 // Refused attempts did not run.
	Failed                  // Failed attempts broke off or were not answered.
	Canceled                // Canceled attempts say nothing of the endpoint.
)

// Target is an endpoint that requests can go to.
type Target struct {
	ID       string
	BootTime int
	Address  string
	Group    string // Group is the group that the endpoint heads; empty for a plain service.
	Epoch    int
}

// Request is what a request needs.
type Request struct {
	Service string
	Model   string // Model is empty for a plain service.
	Exclude []string
	Urgency Urgency
	Now     time.Duration
}

// Urgency is what a request loses where it does not begin soon.
type Urgency int

// The urgencies.
const (
	Normal  Urgency = iota // Normal requests can still be in time.
	Overdue                // Overdue requests are late already; usual ones go before them.
	Resumed                // Resumed requests have a part of their answer, and would lose it.
)

// Msg is an input of the chooser.
type Msg interface{ chooserMsg() }

// FleetMsg replaces the view of the fleet.
type FleetMsg struct {
	Now        time.Duration
	Endpoints  []messenger.EndpointView
	Groups     []messenger.GroupView
	EntryCount int // EntryCount is the number of entries that share the endpoints.
}

// AttemptStartedMsg tells that an attempt goes to an endpoint.
type AttemptStartedMsg struct{ ID string }

// AttemptEndedMsg tells how an attempt ended.
type AttemptEndedMsg struct {
	ID      string
	Now     time.Duration
	Outcome Outcome
}

// LoadMsg carries the load that an endpoint's answer told.
type LoadMsg struct {
	Now     time.Duration
	ID      string
	Running int
	Waiting int
}

func (FleetMsg) chooserMsg()          {}
func (AttemptStartedMsg) chooserMsg() {}
func (AttemptEndedMsg) chooserMsg()   {}
func (LoadMsg) chooserMsg()           {}

type candidate struct {
	target   Target
	service  string
	model    string
	domain   string
	slots    int
	grouped  bool
	reported int // reported is the running and waiting requests last told.
	queued   int // queued is the part of them that waits.
	ownThen  int // ownThen is this entry's part of them.
	own      int
	history  []ownAt       // history is what own was, the oldest first.
	toldAt   time.Duration // toldAt is when an answer last told the load.
	misses   int
	until    time.Duration // until is when a failing endpoint is tried again.
	pace     float64
	home     bool // home tells that this entry prefers the endpoint.
}

// ownAt is the number of an entry's own requests at one moment.
type ownAt struct {
	at  time.Duration
	own int
}

// remember notes the own requests now and forgets what is too old to be asked.
func (k *candidate) remember(now, lag time.Duration) {
	k.history = append(k.history, ownAt{now, k.own})
	for len(k.history) > 1 && k.history[1].at <= now-lag {
		k.history = k.history[1:]
	}
}

// ownBefore returns the own requests at a moment past.
func (k *candidate) ownBefore(at time.Duration) int {
	own := 0
	for _, h := range k.history {
		if h.at > at {
			break
		}
		own = h.own
	}
	return own
}

// Chooser holds the candidates. It is not safe for concurrent use.
type Chooser struct {
	options    options
	domain     string
	candidates map[string]*candidate
	order      []string
	own        map[string]int
	entries    int
}

// New returns a chooser of an entry in a failure domain.
func New(domain string, opts ...Option) *Chooser {
	c := &Chooser{options: defaults(), domain: domain, candidates: map[string]*candidate{}, own: map[string]int{}}
	for _, opt := range opts {
		opt(&c.options)
	}
	return c
}

// Update takes one message.
func (c *Chooser) Update(msg Msg) {
	switch msg := msg.(type) {
	case FleetMsg:
		c.replace(msg)
	case AttemptStartedMsg:
		c.own[msg.ID]++
		if k := c.candidates[msg.ID]; k != nil {
			k.own = c.own[msg.ID]
		}
	case AttemptEndedMsg:
		c.ended(msg)
	case LoadMsg:
		if k := c.candidates[msg.ID]; k != nil {
			k.reported = msg.Running + msg.Waiting
			k.queued = msg.Waiting
			k.ownThen = k.own
			k.toldAt = msg.Now
		}
	}
}

func (c *Chooser) ended(msg AttemptEndedMsg) {
	c.own[msg.ID]--
	if c.own[msg.ID] <= 0 {
		delete(c.own, msg.ID)
	}
	k := c.candidates[msg.ID]
	if k == nil {
		return
	}
	k.own = c.own[msg.ID]
	switch msg.Outcome {
	case Served:
		k.misses = 0
		k.until = 0
	case Refused, Failed:
		k.misses++
		k.until = msg.Now + min(c.options.restFirst<<min(k.misses-1, maxDoublings), c.options.restMost)
	case Canceled:
	}
}

// maxDoublings keeps the shift of the rest small.
const maxDoublings = 6

func (c *Chooser) replace(msg FleetMsg) {
	old := c.candidates
	c.entries = msg.EntryCount
	c.candidates = map[string]*candidate{}
	byID := map[string]messenger.EndpointView{}
	grouped := map[string]bool{}
	for _, view := range msg.Endpoints {
		byID[view.Instance] = view
	}
	for _, g := range msg.Groups {
		grouped[g.Service] = true
		if head, ok := byID[first(g.Members)]; ok && g.Open {
			k := c.add(old, head, g.Name, g.Epoch)
			k.model = g.Model
			k.pace = g.Pace
			if k.toldAt == 0 || msg.Now-k.toldAt > c.options.reportLag {
				k.reported = g.Active + g.Queued
				k.queued = g.Queued
				k.ownThen = k.ownBefore(msg.Now - c.options.reportLag)
			}
			k.remember(msg.Now, c.options.reportLag)
		}
	}
	for _, view := range msg.Endpoints {
		if !grouped[view.Service] && !view.Leaving {
			c.add(old, view, "", 0)
		}
	}
	c.order = slices.Sorted(maps.Keys(c.candidates))
	c.settle()
}

// settle chooses the groups of each model that this entry prefers: entries that
// each send to a few of many groups know those better than all know all.
func (c *Chooser) settle() {
	byModel := map[string][]*candidate{}
	for _, id := range c.order {
		k := c.candidates[id]
		k.home = false
		if k.grouped {
			byModel[k.model] = append(byModel[k.model], k)
		}
	}
	for _, list := range byModel {
		slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(c.rank(a), c.rank(b)) })
		for _, k := range list[:c.homes(list)] {
			k.home = true
		}
	}
}

// homes returns how many of the groups of a model are preferred: all of the own
// failure domain, and some at least.
func (c *Chooser) homes(list []*candidate) int {
	if c.options.leastHomes == 0 {
		return 0
	}
	near := 0
	for _, k := range list {
		if k.domain == c.domain {
			near++
		}
	}
	return min(max(near, c.options.leastHomes), len(list))
}

// rank orders endpoints for this entry, those of its own failure domain first.
func (c *Chooser) rank(k *candidate) uint64 {
	rank := xxhash.Sum64String(c.options.name+" "+k.target.ID) >> 1
	if k.domain != c.domain {
		rank |= 1 << 63
	}
	return rank
}

func first(members []string) string {
	if len(members) == 0 {
		return ""
	}
	return members[0]
}

func (c *Chooser) add(old map[string]*candidate, view messenger.EndpointView, group string, epoch int) *candidate {
	k := &candidate{
		target:  Target{ID: view.Instance, BootTime: view.Born, Address: view.Address, Group: group, Epoch: epoch},
		service: view.Service, domain: view.FailureDomain, slots: max(view.Slots, 1), grouped: group != "",
		own: c.own[view.Instance],
	}
	if was := old[view.Instance]; was != nil && was.target == k.target {
		k.misses, k.until, k.reported, k.queued, k.ownThen = was.misses, was.until, was.reported, was.queued, was.ownThen
		k.history, k.toldAt = was.history, was.toldAt
	}
	c.candidates[view.Instance] = k
	return k
}

// Load returns the estimated running and waiting requests of an endpoint.
func (c *Chooser) Load(id string) int {
	k := c.candidates[id]
	if k == nil {
		return 0
	}
	return k.running()
}

// Utilization returns the taken part of the places for a model.
func (c *Chooser) Utilization(service, model string) float64 {
	running, slots := 0, 0
	for _, k := range c.candidates {
		if k.service == service && k.model == model {
			running += k.running()
			slots += k.slots
		}
	}
	return float64(running) / float64(max(slots, 1))
}

// HasCandidate reports whether the service has any candidate for a model.
func (c *Chooser) HasCandidate(service, model string) bool {
	for _, k := range c.candidates {
		if k.service == service && k.model == model {
			return true
		}
	}
	return false
}

// running estimates an endpoint's running and waiting requests.
func (k *candidate) running() int { return max(k.reported-k.ownThen, 0) + k.own }
