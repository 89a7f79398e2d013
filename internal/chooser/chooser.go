// Package chooser selects the endpoint that an entry sends a request to, or
// reports that the request must be refused. It is a pure state machine.
//
// # Usage
//
//	c := chooser.New("ne-a")
//	c.Update(chooser.FleetMsg{Endpoints: endpoints, Groups: groups})
//	target, ok := c.Pick(chooser.Request{Service: "writers", Model: "verse"})
//	c.Update(chooser.AttemptStartedMsg{ID: target.ID})
//	c.Update(chooser.AttemptEndedMsg{ID: target.ID, Outcome: chooser.Served})
//
// The load of an endpoint is estimated as its last reported load, minus the
// requests that this entry had in flight there at the time of the report, plus
// those it has in flight now. A group that cannot start a request within its
// latency objective is not picked.
package chooser

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/messenger"

	"github.com/cespare/xxhash/v2"
)

// Outcome is the result of an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	Served   Outcome = iota // Served attempts received a complete response.
	Refused                 // Refused attempts were rejected before they ran.
	Failed                  // Failed attempts got no response or an incomplete one.
	Canceled                // Canceled attempts do not count for or against the endpoint.
)

// Target is an endpoint that a request can be sent to.
type Target struct {
	ID       string
	BootTime int // BootTime identifies the boot of the endpoint; later boots have larger values.
	Address  string
	Group    string // Group is the group whose head the endpoint is; empty for a plain service.
	Epoch    int
}

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	Model   string   // Model is empty for a plain service.
	Exclude []string // Exclude holds the IDs of endpoints that must not be picked.
	Urgency Urgency
	Fill    float64       // Fill is the fraction of a group's capacity up to which the request is accepted; 0 means all of it.
	Now     time.Duration // Now is a reading of the clock that the messages use.
}

// Urgency states what a request loses if it does not start soon.
type Urgency int

// The urgencies of a request.
const (
	Normal  Urgency = iota // Normal requests can still meet their latency objective.
	Overdue                // Overdue requests have already missed their objective; normal requests take precedence.
	Resumed                // Resumed requests continue a response that the client has in part and would lose.
)

// Msg is an input of the chooser. Its times are readings of one monotonic clock.
type Msg interface{ chooserMsg() }

// FleetMsg replaces the chooser's view of the fleet.
type FleetMsg struct {
	Now        time.Duration
	Endpoints  []messenger.EndpointView
	Groups     []messenger.GroupView
	EntryCount int // EntryCount is the number of entries that share the endpoints.
}

// AttemptStartedMsg records that an attempt is being sent to an endpoint.
type AttemptStartedMsg struct{ ID string }

// AttemptEndedMsg records how an attempt ended.
type AttemptEndedMsg struct {
	ID      string
	Now     time.Duration
	Outcome Outcome
}

// LoadMsg carries the load that an endpoint reported with a response.
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

// candidate is an endpoint that can be picked, with its last known load.
type candidate struct {
	target           Target
	service          string
	model            string
	domain           string
	slots            int
	grouped          bool
	reported         int              // reported is the last reported number of running and waiting requests.
	queued           int              // queued is the number of waiting requests among them.
	inFlightAtReport int              // inFlightAtReport is this entry's part of the reported requests.
	inFlight         int              // inFlight is the number of requests from this entry now.
	history          []inFlightSample // history holds earlier values of inFlight, oldest first.
	loadAt           time.Duration    // loadAt is the time of the last load reported with a response.
	failures         int              // failures counts consecutive refused and failed attempts.
	retryAt          time.Duration    // retryAt is when a failing endpoint may be picked again.
	slowdown         float64          // slowdown is the reported step time relative to normal; above 1 is slower.
	preferred        bool             // preferred marks the groups that this entry sends most requests to.
	fallback         bool             // fallback marks those that it prefers without the evacuated failure domains.
}

// inFlightSample is the number of requests an entry had in flight at one time.
type inFlightSample struct {
	at       time.Duration
	inFlight int
}

// recordInFlight appends the current number of requests in flight to the
// history and drops samples that are no longer needed to look back by maxAge.
func (cand *candidate) recordInFlight(now, maxAge time.Duration) {
	cand.history = append(cand.history, inFlightSample{now, cand.inFlight})
	for len(cand.history) > 1 && cand.history[1].at <= now-maxAge {
		cand.history = cand.history[1:]
	}
}

// inFlightAt returns the number of requests in flight at an earlier time.
func (cand *candidate) inFlightAt(at time.Duration) int {
	inFlight := 0
	for _, sample := range cand.history {
		if sample.at > at {
			break
		}
		inFlight = sample.inFlight
	}
	return inFlight
}

// Chooser holds the candidate endpoints and their estimated loads. It is not
// safe for concurrent use.
type Chooser struct {
	options    options
	domain     string
	candidates map[string]*candidate
	ids        []string       // ids holds the keys of candidates, sorted.
	inFlight   map[string]int // inFlight counts this entry's requests by endpoint.
	entryCount int
	notices    map[string]notice // notices holds what endpoints said of themselves, by endpoint.

	evacuations map[string]phaseOut // evacuations holds the evacuated failure domains.
	latest      time.Duration       // latest is the latest time that a message or a request carried.
	closedCount int                 // closedCount is the number of closed failure domains as the preferred groups were marked.

	cold coldState
}

// New returns a chooser for an entry in the given failure domain.
func New(domain string, opts ...Option) *Chooser {
	c := &Chooser{options: defaults(), domain: domain, candidates: map[string]*candidate{}, inFlight: map[string]int{}, notices: map[string]notice{}, cold: newColdState()}
	for _, opt := range opts {
		opt(&c.options)
	}
	return c
}

// Update applies a message to the state.
func (c *Chooser) Update(msg Msg) {
	switch msg := msg.(type) {
	case FleetMsg:
		c.replaceFleet(msg)
	case AttemptStartedMsg:
		c.inFlight[msg.ID]++
		c.cold.take(msg.ID)
		if cand := c.candidates[msg.ID]; cand != nil {
			cand.inFlight = c.inFlight[msg.ID]
		}
	case AttemptEndedMsg:
		c.endAttempt(msg)
	case NoticeMsg:
		c.addNotice(msg)
	case EvacuationMsg:
		c.evacuate(msg)
	case ShareMsg:
		c.cold.setShares(msg)
	case BrokenMsg:
		c.cold.broken(msg)
	case CheckedMsg:
		c.cold.checked(msg)
	case LoadMsg:
		if cand := c.candidates[msg.ID]; cand != nil {
			cand.reported = msg.Running + msg.Waiting
			cand.queued = msg.Waiting
			cand.inFlightAtReport = cand.inFlight
			cand.loadAt = msg.Now
		}
	}
}

// endAttempt removes an attempt from the requests in flight. Refused and failed
// attempts start or extend the backoff of the endpoint; a served one ends it.
func (c *Chooser) endAttempt(msg AttemptEndedMsg) {
	c.inFlight[msg.ID]--
	if c.inFlight[msg.ID] <= 0 {
		delete(c.inFlight, msg.ID)
	}
	cand := c.candidates[msg.ID]
	if cand == nil {
		return
	}
	cand.inFlight = c.inFlight[msg.ID]
	switch msg.Outcome {
	case Served:
		cand.failures = 0
		cand.retryAt = 0
	case Refused, Failed:
		cand.failures++
		cand.retryAt = msg.Now + min(c.options.initialBackoff<<min(cand.failures-1, maxDoublings), c.options.maxBackoff)
	case Canceled:
	}
}

// maxDoublings limits the shift of the initial backoff, which would overflow
// after many failures.
const maxDoublings = 6

// replaceFleet rebuilds the candidates from a new view of the fleet. A
// candidate whose target is unchanged keeps its backoff and load history.
func (c *Chooser) replaceFleet(msg FleetMsg) {
	old := c.candidates
	c.entryCount = msg.EntryCount
	c.latest = max(c.latest, msg.Now)
	c.candidates = map[string]*candidate{}
	byID := map[string]messenger.EndpointView{}
	grouped := map[string]bool{}
	for _, view := range msg.Endpoints {
		byID[view.Instance] = view
	}
	for _, g := range msg.Groups {
		grouped[g.Service] = true
		if head, ok := byID[headOf(g.Members)]; ok && g.Open {
			cand := c.add(old, head, g.Name, g.Epoch)
			cand.model = g.Model
			cand.slowdown = g.Pace
			if cand.loadAt == 0 || msg.Now-cand.loadAt > c.options.reportDelay {
				cand.reported = g.Active + g.Queued
				cand.queued = g.Queued
				cand.inFlightAtReport = cand.inFlightAt(msg.Now - c.options.reportDelay)
			}
			cand.recordInFlight(msg.Now, c.options.reportDelay)
		}
	}
	for _, view := range msg.Endpoints {
		if !grouped[view.Service] && !view.Leaving {
			c.add(old, view, "", 0)
		}
	}
	c.ids = slices.Sorted(maps.Keys(c.candidates))
	c.cold.replace(msg)
	c.markPreferred()
}

// markPreferred chooses the groups of each model that this entry prefers. An
// entry that sends most requests to a few groups gets load reports from those
// with its responses, and estimates their load better than if it sent a few
// requests to every group. Groups in closed failure domains are not preferred.
func (c *Chooser) markPreferred() {
	c.closedCount = c.countClosed()
	byModel := map[string][]*candidate{}
	for _, id := range c.ids {
		cand := c.candidates[id]
		cand.preferred, cand.fallback = false, false
		if cand.grouped && !c.closed(cand) {
			byModel[cand.model] = append(byModel[cand.model], cand)
		}
	}
	for _, groups := range byModel {
		slices.SortFunc(groups, func(a, b *candidate) int { return cmp.Compare(c.preferenceKey(a), c.preferenceKey(b)) })
		for _, cand := range groups[:c.preferredCount(groups)] {
			cand.preferred = true
		}
		c.markFallback(groups)
	}
}

// preferredCount returns how many of a model's groups are preferred: as many as
// there are in the entry's own failure domain, and at least the configured
// minimum.
func (c *Chooser) preferredCount(groups []*candidate) int {
	if c.options.minPreferred == 0 {
		return 0
	}
	local := 0
	for _, cand := range groups {
		if cand.domain == c.domain {
			local++
		}
	}
	return min(max(local, c.options.minPreferred), len(groups))
}

// preferenceKey returns the sort key of a group in this entry's order of
// preference: groups in the entry's own failure domain come first, and the rest
// of the order is a hash that differs between entries.
func (c *Chooser) preferenceKey(cand *candidate) uint64 {
	key := xxhash.Sum64String(c.options.name+" "+cand.target.ID) >> 1
	if cand.domain != c.domain {
		key |= 1 << 63
	}
	return key
}

// headOf returns the first member of a group, or "" if it has none.
func headOf(members []string) string {
	if len(members) == 0 {
		return ""
	}
	return members[0]
}

// add creates the candidate for an endpoint. It carries over the backoff and
// load of the previous candidate if the target is unchanged.
func (c *Chooser) add(old map[string]*candidate, view messenger.EndpointView, group string, epoch int) *candidate {
	cand := &candidate{
		target:  Target{ID: view.Instance, BootTime: view.Born, Address: view.Address, Group: group, Epoch: epoch},
		service: view.Service, domain: view.FailureDomain, slots: max(view.Slots, 1), grouped: group != "",
		inFlight: c.inFlight[view.Instance],
	}
	if prev := old[view.Instance]; prev != nil && prev.target == cand.target {
		cand.failures, cand.retryAt, cand.reported, cand.queued, cand.inFlightAtReport = prev.failures, prev.retryAt, prev.reported, prev.queued, prev.inFlightAtReport
		cand.history, cand.loadAt = prev.history, prev.loadAt
	}
	c.candidates[view.Instance] = cand
	return cand
}

// Load returns the estimated number of running and waiting requests at an
// endpoint, or 0 if the endpoint is unknown.
func (c *Chooser) Load(id string) int {
	cand := c.candidates[id]
	if cand == nil {
		return 0
	}
	return cand.load()
}

// Utilization returns the estimated load of a model as a fraction of its slots.
// Waiting requests count, so it can exceed 1. Closed failure domains do not count.
func (c *Chooser) Utilization(service, model string) float64 {
	load, slots := 0, 0
	for _, cand := range c.candidates {
		if cand.service == service && cand.model == model && !c.closed(cand) {
			load += cand.load()
			slots += cand.slots
		}
	}
	return float64(load) / float64(max(slots, 1))
}

// HasCandidate reports whether any endpoint of the service serves the model.
func (c *Chooser) HasCandidate(service, model string) bool {
	for _, cand := range c.candidates {
		if cand.service == service && cand.model == model {
			return true
		}
	}
	return false
}

// load estimates the number of running and waiting requests at the endpoint.
func (cand *candidate) load() int { return max(cand.reported-cand.inFlightAtReport, 0) + cand.inFlight }
