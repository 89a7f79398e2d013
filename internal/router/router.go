// Package router chooses the group for a request at an entry. Its inputs may be
// stale: the configuration, load digests with their age, the attempts that this
// entry sent since, and refusals.
//
// # Usage
//
//	r := router.New(router.WithLocation("maine", "fd-a"), router.WithSeed(1))
//	r.Update(now, router.GroupsMsg{Groups: groups})
//	r.Update(now, router.LoadsMsg{Loads: loads})
//	choice, certain, ok := r.Choose(now, router.Query{Model: "verse-8b"})
//
// The router draws some of the nearest candidates at random and takes the one
// with the lowest expected time to the first token, so that entries that see the
// same stale report do not all send to one group. Where the reports do not show
// whether a group has room, the leaders of a few candidates are asked first.
package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"papayaseam/internal/messenger"

	"github.com/cespare/xxhash/v2"
)

// Group is one active group of the configuration.
type Group struct {
	Name string
	Spec messenger.GroupSpec
}

// Query is what a request needs from a group.
type Query struct {
	Model      string
	Adapter    string
	Service    string
	PrefixHash string // PrefixHash is the hash of the start of the prompt, or empty.
	Excluded   map[string]bool
}

// Choice is the chosen group.
type Choice struct {
	Group       string
	Address     string
	Epoch       int
	Incarnation string
}

// groupState is what this entry knows about a group.
type groupState struct {
	load            messenger.GroupLoad
	measuredAt      time.Duration // measuredAt is when the load was measured, by this entry's clock.
	sentSinceReport int           // sentSinceReport counts this entry's attempts since the report.
	avoidUntil      time.Duration // avoidUntil is when requests may be sent again after a refusal.
	reported        bool

	unreachable bool // unreachable is set until the group reports again.
}

// Router keeps the state of the groups. It is not safe for concurrent use.
type Router struct {
	options        options
	rng            *rand.Rand
	groups         []*Group
	states         map[string]*groupState
	newestReportAt time.Duration // newestReportAt is when the newest report was measured.
}

// New returns a router without any group.
func New(opts ...Option) *Router {
	r := &Router{options: defaults(), states: map[string]*groupState{}}
	for _, opt := range opts {
		opt(&r.options)
	}
	r.rng = rand.New(rand.NewPCG(r.options.seed, 1))
	return r
}

// Update processes one message.
func (r *Router) Update(now time.Duration, msg Msg) {
	switch msg := msg.(type) {
	case GroupsMsg:
		r.setGroups(slices.Clone(msg.Groups))
	case LoadsMsg:
		for _, load := range msg.Loads {
			r.recordLoad(now, load)
		}
	case SentMsg:
		r.state(msg.Group).sentSinceReport++
	case RefusedMsg:
		r.recordRefusal(now, msg)
	}
}

func (r *Router) recordRefusal(now time.Duration, msg RefusedMsg) {
	state := r.state(msg.Group)
	state.avoidUntil = now + r.options.refusalBackoff
	if msg.Unreachable {
		// Reports measured before now do not make the group available again.
		state.unreachable = true
		state.measuredAt = max(state.measuredAt, now)
	}
}

// state returns the state of a group and creates it if it is missing.
func (r *Router) state(group string) *groupState {
	state, ok := r.states[group]
	if !ok {
		state = &groupState{}
		r.states[group] = state
	}
	return state
}

func (r *Router) setGroups(groups []Group) {
	r.groups = nil
	for i := range groups {
		r.groups = append(r.groups, &groups[i])
	}
	slices.SortFunc(r.groups, func(a, b *Group) int { return cmp.Compare(a.Name, b.Name) })
	for name := range r.states {
		configured := slices.ContainsFunc(groups, func(g Group) bool { return g.Name == name })
		if !configured {
			delete(r.states, name)
		}
	}
}

// recordLoad stores a load report unless a newer one is known.
func (r *Router) recordLoad(now time.Duration, load messenger.GroupLoad) {
	state := r.state(load.Group)
	measuredAt := now - time.Duration(load.AgeMs)*time.Millisecond
	if state.reported && (load.Epoch < state.load.Epoch || (load.Epoch == state.load.Epoch && measuredAt <= state.measuredAt)) {
		return
	}
	if load.Epoch > state.load.Epoch || load.Ready && !state.load.Ready {
		state.avoidUntil = 0
	}
	state.load, state.measuredAt, state.reported, state.sentSinceReport, state.unreachable = load, measuredAt, true, 0, false
	r.newestReportAt = max(r.newestReportAt, measuredAt)
}

// Choose returns the group for a request; ok is false if no group can take it.
// If certain is false, the reports do not show whether the group has room: the
// caller should then ask the leaders that SampleCandidates returns, pass their
// reports to Update, and choose among them with BestOf.
func (r *Router) Choose(now time.Duration, query Query) (choice Choice, certain, ok bool) {
	candidates := r.candidates(now, query)
	if len(candidates) == 0 {
		return Choice{}, false, false
	}
	nearest := r.nearest(candidates)
	if cached := r.prefixGroup(candidates, query.PrefixHash); cached != nil && r.certainOfRoom(now, cached) {
		return r.choice(cached), true, true
	}
	best := nearest[r.rng.IntN(len(nearest))]
	for range candidatesDrawn - 1 {
		other := nearest[r.rng.IntN(len(nearest))]
		if r.cost(other) < r.cost(best) {
			best = other
		}
	}
	return r.choice(best), r.certainOfRoom(now, best), true
}

// prefixGroup returns the group that likely has the start of the prompt in its
// cache. It uses rendezvous hashing among the closest groups, so that entries
// agree on it without communication. It returns nil if that group is crowded.
func (r *Router) prefixGroup(candidates []*Group, prefixHash string) *Group {
	if prefixHash == "" {
		return nil
	}
	var winner *Group
	highestSum, closest := uint64(0), maxDistance
	for _, group := range candidates {
		distance := r.distance(group)
		sum := xxhash.Sum64String(prefixHash + group.Name)
		if winner == nil || distance < closest || (distance == closest && sum > highestSum) {
			winner, highestSum, closest = group, sum, distance
		}
	}
	if winner == nil || crowdedDivisor*r.freeSlots(winner) < r.states[winner.Name].load.Parallel {
		return nil
	}
	return winner
}

// SampleCandidates returns some candidates whose leaders should be asked for
// their load. The first is the group that likely has the prompt cached, or else
// one of the nearest. The others are drawn at random among all candidates, since
// a report that shows no room may be as stale as one that shows some.
func (r *Router) SampleCandidates(now time.Duration, query Query) []Choice {
	candidates := r.candidates(now, query)
	if len(candidates) == 0 {
		return nil
	}
	nearest := r.nearest(candidates)
	first := r.prefixGroup(candidates, query.PrefixHash)
	if first == nil {
		first = nearest[r.rng.IntN(len(nearest))]
	}
	sample := []Choice{r.choice(first)}
	r.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, group := range candidates {
		if len(sample) < sampleSize && group.Name != sample[0].Group {
			sample = append(sample, r.choice(group))
		}
	}
	return sample
}

// SampleConfigured returns some of the configured groups that match a request,
// regardless of their reports. Their leaders are asked when there is no
// candidate, so that entries can learn the load of groups while control is down.
func (r *Router) SampleConfigured(query Query) []Choice {
	var sample []Choice
	for _, i := range r.rng.Perm(len(r.groups)) {
		group := r.groups[i]
		if len(sample) < sampleSize && r.matches(group, query) {
			r.state(group.Name)
			sample = append(sample, r.choice(group))
		}
	}
	return sample
}

// BestOf returns the best of the sampled groups by the newest reports: the one
// that likely has the start of the prompt cached, unless it is crowded, else the
// one with the lowest expected time to the first token.
func (r *Router) BestOf(now time.Duration, query Query, sample []Choice) (Choice, bool) {
	var best *Group
	candidates := r.candidates(now, query)
	cached := r.prefixGroup(candidates, query.PrefixHash)
	for _, group := range candidates {
		sampled := slices.ContainsFunc(sample, func(c Choice) bool { return c.Group == group.Name })
		if sampled && group == cached {
			return r.choice(cached), true
		}
		if sampled && (best == nil || r.cost(group) < r.cost(best)) {
			best = group
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return r.choice(best), true
}

func (r *Router) choice(group *Group) Choice {
	return Choice{Group: group.Name, Address: group.Spec.Members[0].Address, Epoch: group.Spec.Epoch, Incarnation: r.states[group.Name].load.Incarnation}
}

// certainOfRoom reports whether a group's report is fresh, or shows so many free
// slots that the requests that started and ended since, estimated from the mean
// running time, are very unlikely to have filled them.
func (r *Router) certainOfRoom(now time.Duration, group *Group) bool {
	state := r.states[group.Name]
	age := now - state.measuredAt
	if age < freshReportAge {
		return true
	}
	serviceMs := max(state.load.ServiceMs, 1)
	changes := 2 * float64(state.load.Running) * float64(age/time.Millisecond) / float64(serviceMs)
	return float64(r.freeSlots(group)) > 1+roomStdDevs*math.Sqrt(changes)
}

// freeSlots estimates how many more requests a group can run; it is negative if
// requests are queued.
func (r *Router) freeSlots(group *Group) int {
	state := r.states[group.Name]
	return state.load.Parallel - state.load.Running - state.load.Queued - state.sentSinceReport
}

// candidates returns the groups that match a request and are available.
func (r *Router) candidates(now time.Duration, query Query) []*Group {
	candidates := make([]*Group, 0, len(r.groups))
	for _, group := range r.groups {
		if r.matches(group, query) && r.available(now, group) {
			candidates = append(candidates, group)
		}
	}
	return candidates
}

func (r *Router) matches(group *Group, query Query) bool {
	if query.Excluded[group.Name] || group.Spec.Model != query.Model || group.Spec.Service != query.Service {
		return false
	}
	return query.Adapter == "" || slices.Contains(group.Spec.Adapters, query.Adapter)
}

// available reports whether the newest report says that the group serves in its
// configured epoch. A group that could not be reached is unavailable until it
// reports again. A report only expires relative to newer ones, so that entries
// keep using the last known state when control sends nothing.
func (r *Router) available(now time.Duration, group *Group) bool {
	state, ok := r.states[group.Name]
	return ok && state.reported && state.load.Ready && !state.load.Draining && state.load.Epoch == group.Spec.Epoch &&
		state.avoidUntil <= now && !state.unreachable && r.newestReportAt-state.measuredAt < r.options.maxReportLag
}

// nearest returns the candidates with free slots within the smallest distance
// that has any; if no candidate has free slots, it returns all of them.
func (r *Router) nearest(candidates []*Group) []*Group {
	for distance := range maxDistance + 1 {
		var nearest []*Group
		for _, group := range candidates {
			if r.distance(group) <= distance && r.hasRoom(group) {
				nearest = append(nearest, group)
			}
		}
		if len(nearest) > 0 {
			return nearest
		}
	}
	return candidates
}

func (r *Router) hasRoom(group *Group) bool { return r.freeSlots(group) > 0 }

// distance is 0 in this entry's failure domain, 1 in its region, else 2.
func (r *Router) distance(group *Group) int {
	switch {
	case group.Spec.FailureDomain == r.options.failureDomain:
		return 0
	case group.Spec.Region == r.options.region:
		return 1
	}
	return 2
}

// cost estimates the time to the first token in hundredths of a millisecond; the
// group's utilization in percent is added to break ties.
func (r *Router) cost(group *Group) int {
	state := r.states[group.Name]
	load := state.load
	ms := load.FirstTokenMs
	if waiting := 1 - r.freeSlots(group); waiting > 0 {
		ms += waiting * load.ServiceMs / max(1, load.Parallel)
	}
	ms += distanceMs[r.distance(group)]
	return ms*utilizationScale + (load.Running+load.Queued+state.sentSinceReport)*utilizationScale/max(1, load.Parallel)
}
