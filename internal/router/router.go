// Package router chooses at an entry the group for a request from hints that
// may be late: the configuration, load digests with their age, what this entry
// has sent since, and refusals.
//
// # Usage
//
//	r := router.New(router.WithLocation("maine", "fd-a"), router.WithSeed(1))
//	r.Update(now, router.GroupsMsg{Groups: groups})
//	r.Update(now, router.LoadsMsg{Loads: loads})
//	choice, sure, ok := r.Choose(now, router.Query{Model: "verse-8b"})
//
// Among the nearest candidates that look fit, some are drawn at random and the
// one with the shortest expected time to the first token is taken, so that
// entries that see the same stale report do not all run to one group. Where
// the reports leave it open whether there is room, the leaders of a few
// candidates are asked first.
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

// Query is what a request needs.
type Query struct {
	Model    string
	Adapter  string
	Service  string
	PrefixHash   string // Prefix is the hash of the prompt's beginning, or empty.
	Excluded map[string]bool
}

// Choice is the chosen group.
type Choice struct {
	Group       string
	Address     string
	Epoch       int
	Incarnation string
}

type hint struct {
	load     messenger.GroupLoad
	at       time.Duration // at is when the load was measured, by this entry's clock.
	sent     int           // sent counts this entry's attempts since the report.
	avoid    time.Duration // avoid is until when a refusal keeps requests away.
	reported bool

	unreachable bool // unreachable is set until the group reports again.
}

// Router keeps the hints. It is not safe for concurrent use.
type Router struct {
	options options
	rng     *rand.Rand
	groups  []*Group
	hints   map[string]*hint
	newest  time.Duration // newest is when the newest report was measured.
}

// New returns a router without any group.
func New(opts ...Option) *Router {
	r := &Router{options: defaults(), hints: map[string]*hint{}}
	for _, opt := range opts {
		opt(&r.options)
	}
	r.rng = rand.New(rand.NewPCG(r.options.seed, 1))
	return r
}

// Update takes one message.
func (r *Router) Update(now time.Duration, msg Msg) {
	switch msg := msg.(type) {
	case GroupsMsg:
		r.setGroups(slices.Clone(msg.Groups))
	case LoadsMsg:
		for _, load := range msg.Loads {
			r.note(now, load)
		}
	case SentMsg:
		r.hint(msg.Group).sent++
	case RefusedMsg:
		r.refused(now, msg)
	}
}

func (r *Router) refused(now time.Duration, msg RefusedMsg) {
	h := r.hint(msg.Group)
	h.avoid = now + r.options.avoidFor
	if msg.Unreachable {
		h.unreachable = true
		h.at = max(h.at, now)
	}
}

func (r *Router) hint(group string) *hint {
	h, ok := r.hints[group]
	if !ok {
		h = &hint{}
		r.hints[group] = h
	}
	return h
}

func (r *Router) setGroups(groups []Group) {
	r.groups = nil
	for i := range groups {
		r.groups = append(r.groups, &groups[i])
	}
	slices.SortFunc(r.groups, func(a, b *Group) int { return cmp.Compare(a.Name, b.Name) })
	for name := range r.hints {
		known := slices.ContainsFunc(groups, func(g Group) bool { return g.Name == name })
		if !known {
			delete(r.hints, name)
		}
	}
}

// note takes a load report unless a newer one is known.
func (r *Router) note(now time.Duration, load messenger.GroupLoad) {
	h := r.hint(load.Group)
	at := now - time.Duration(load.AgeMs)*time.Millisecond
	if h.reported && (load.Epoch < h.load.Epoch || (load.Epoch == h.load.Epoch && at <= h.at)) {
		return
	}
	if load.Epoch > h.load.Epoch || load.Ready && !h.load.Ready {
		h.avoid = 0
	}
	h.load, h.at, h.reported, h.sent, h.unreachable = load, at, true, 0, false
	r.newest = max(r.newest, at)
}

// Choose returns the group for a request, false where none looks fit. Sure is
// false where the reports leave open whether the group has room: then the
// owner should ask the leaders that Sample names, pass on what they report, and
// choose again among them.
func (r *Router) Choose(now time.Duration, query Query) (choice Choice, sure, ok bool) {
	fit := r.candidates(now, query)
	if len(fit) == 0 {
		return Choice{}, false, false
	}
	near := r.nearest(fit)
	if home := r.home(fit, query.PrefixHash); home != nil && r.sure(now, home) {
		return r.choice(home), true, true
	}
	picked := near[r.rng.IntN(len(near))]
	for range tournament - 1 {
		other := near[r.rng.IntN(len(near))]
		if r.expected(other) < r.expected(picked) {
			picked = other
		}
	}
	return r.choice(picked), r.sure(now, picked), true
}

// home returns the group at which a prompt's beginning is likely cached, by
// rendezvous hashing among the closest groups, so that entries agree on it
// without a message. It is nil where that group looks crowded.
func (r *Router) home(fit []*Group, prefix string) *Group {
	if prefix == "" {
		return nil
	}
	var home *Group
	most, closest := uint64(0), farthest
	for _, group := range fit {
		distance := r.distance(group)
		sum := xxhash.Sum64String(prefix + group.Name)
		if home == nil || distance < closest || (distance == closest && sum > most) {
			home, most, closest = group, sum, distance
		}
	}
	if home == nil || homeDivisor*r.free(home) < r.hints[home.Name].load.Parallel {
		return nil
	}
	return home
}

// SampleCandidates returns some of the candidates to ask for their load: one of the
// nearest that look fit, the others drawn at random among all, since a report
// that shows no room may be as old as one that shows some.
func (r *Router) SampleCandidates(now time.Duration, query Query) []Choice {
	fit := r.candidates(now, query)
	if len(fit) == 0 {
		return nil
	}
	near := r.nearest(fit)
	first := r.home(fit, query.PrefixHash)
	if first == nil {
		first = near[r.rng.IntN(len(near))]
	}
	sample := []Choice{r.choice(first)}
	r.rng.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	for _, group := range fit {
		if len(sample) < sampleSize && group.Name != sample[0].Group {
			sample = append(sample, r.choice(group))
		}
	}
	return sample
}

// SampleConfigured returns some of the configured groups for a request, whatever the
// reports say of them. Their leaders are asked when no group looks fit, so that
// entries find out for themselves what control can not tell them.
func (r *Router) SampleConfigured(query Query) []Choice {
	var sample []Choice
	for _, i := range r.rng.Perm(len(r.groups)) {
		group := r.groups[i]
		if len(sample) < sampleSize && r.matches(group, query) {
			r.hint(group.Name)
			sample = append(sample, r.choice(group))
		}
	}
	return sample
}

// BestOf returns, by the newest reports, the one of some groups that likely has the
// prompt's beginning cached and is not crowded, else the one with the shortest
// expected time to the first token.
func (r *Router) BestOf(now time.Duration, query Query, among []Choice) (Choice, bool) {
	var best *Group
	fit := r.candidates(now, query)
	home := r.home(fit, query.PrefixHash)
	for _, group := range fit {
		named := slices.ContainsFunc(among, func(c Choice) bool { return c.Group == group.Name })
		if named && group == home {
			return r.choice(home), true
		}
		if named && (best == nil || r.expected(group) < r.expected(best)) {
			best = group
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return r.choice(best), true
}

func (r *Router) choice(group *Group) Choice {
	return Choice{Group: group.Name, Address: group.Spec.Members[0].Address, Epoch: group.Spec.Epoch, Incarnation: r.hints[group.Name].load.Incarnation}
}

// sure reports whether a report is fresh, or shows so much room that what came
// and went since, as far as its running time tells, can hardly have filled it.
func (r *Router) sure(now time.Duration, group *Group) bool {
	h := r.hints[group.Name]
	age := now - h.at
	if age < freshFor {
		return true
	}
	service := max(h.load.ServiceMs, 1)
	changes := 2 * float64(h.load.Running) * float64(age/time.Millisecond) / float64(service)
	return float64(r.free(group)) > 1+sureDeviations*math.Sqrt(changes)
}

// free estimates the free places of a group.
func (r *Router) free(group *Group) int {
	h := r.hints[group.Name]
	return h.load.Parallel - h.load.Running - h.load.Queued - h.sent
}

func (r *Router) candidates(now time.Duration, query Query) []*Group {
	fit := make([]*Group, 0, len(r.groups))
	for _, group := range r.groups {
		if r.matches(group, query) && r.ready(now, group) {
			fit = append(fit, group)
		}
	}
	return fit
}

func (r *Router) matches(group *Group, query Query) bool {
	if query.Excluded[group.Name] || group.Spec.Model != query.Model || group.Spec.Service != query.Service {
		return false
	}
	return query.Adapter == "" || slices.Contains(group.Spec.Adapters, query.Adapter)
}

// ready reports whether the newest report says that the group serves in its
// configured epoch. A group that could not be reached is left alone until it
// reports again. Reports count as too old only beside newer ones, so that
// entries go on with what they know when control is silent.
func (r *Router) ready(now time.Duration, group *Group) bool {
	h, ok := r.hints[group.Name]
	return ok && h.reported && h.load.Ready && !h.load.Draining && h.load.Epoch == group.Spec.Epoch &&
		h.avoid <= now && !h.unreachable && r.newest-h.at < r.options.hintLife
}

// nearest keeps the candidates of the closest tier that has room; without room
// anywhere it keeps them all.
func (r *Router) nearest(fit []*Group) []*Group {
	for distance := range farthest + 1 {
		var near []*Group
		for _, group := range fit {
			if r.distance(group) <= distance && r.hasRoom(group) {
				near = append(near, group)
			}
		}
		if len(near) > 0 {
			return near
		}
	}
	return fit
}

func (r *Router) hasRoom(group *Group) bool { return r.free(group) > 0 }

// distance is 0 in the own failure domain, 1 in the own region, else 2.
func (r *Router) distance(group *Group) int {
	switch {
	case group.Spec.FailureDomain == r.options.failureDomain:
		return 0
	case group.Spec.Region == r.options.region:
		return 1
	}
	return 2
}

// expected estimates the milliseconds to the first token.
func (r *Router) expected(group *Group) int {
	h := r.hints[group.Name]
	load := h.load
	ms := load.FirstTokenMs
	if waiting := 1 - r.free(group); waiting > 0 {
		ms += waiting * load.ServiceMs / max(1, load.Parallel)
	}
	ms += tierMs[r.distance(group)]
	return ms*loadScale + (load.Running+load.Queued+h.sent)*loadScale/max(1, load.Parallel)
}
