// Package router chooses at an entry the group for a request from hints that
// may be late: the configuration, load digests with their age, what this entry
// has sent since, and refusals.
//
// # Usage
//
//	r := router.New(router.WithPlace("maine", "fd-a"), router.WithSeed(1))
//	r.Update(now, router.GroupsMsg{Groups: groups})
//	r.Update(now, router.LoadsMsg{Loads: loads})
//	choice, ok := r.Choose(now, router.Query{Model: "verse-8b"})
//
// Among the nearest candidates that look fit, two are drawn at random and the
// one with the shorter expected time to the first token is taken, so that
// entries that see the same stale report do not all run to one group.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"papayaseam/internal/messenger"
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
	Prefix   string // Prefix is the hash of the prompt's beginning, or empty.
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
}

// Router keeps the hints. It is not safe for concurrent use.
type Router struct {
	options options
	rng     *rand.Rand
	groups  []Group
	hints   map[string]*hint
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
		r.setGroups(msg.Groups)
	case LoadsMsg:
		for _, load := range msg.Loads {
			r.note(now, load)
		}
	case SentMsg:
		r.hint(msg.Group).sent++
	case RefusedMsg:
		r.hint(msg.Group).avoid = now + r.options.avoidFor
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
	r.groups = slices.Clone(groups)
	slices.SortFunc(r.groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
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
	h.load, h.at, h.reported, h.sent = load, at, true, 0
}

// Choose returns the group for a request, false where none looks fit.
func (r *Router) Choose(now time.Duration, query Query) (Choice, bool) {
	fit := r.candidates(now, query)
	if len(fit) == 0 {
		return Choice{}, false
	}
	near := r.nearest(fit)
	picked := near[r.rng.IntN(len(near))]
	if r.options.policy != PolicyRandom && len(near) > 1 {
		other := near[r.rng.IntN(len(near))]
		if r.expected(other, query) < r.expected(picked, query) {
			picked = other
		}
	}
	h := r.hints[picked.Name]
	return Choice{Group: picked.Name, Address: picked.Spec.Members[0].Address, Epoch: picked.Spec.Epoch, Incarnation: h.load.Incarnation}, true
}

func (r *Router) candidates(now time.Duration, query Query) []Group {
	var fit []Group
	for _, group := range r.groups {
		if r.matches(group, query) && r.ready(now, group) {
			fit = append(fit, group)
		}
	}
	return fit
}

func (r *Router) matches(group Group, query Query) bool {
	if query.Excluded[group.Name] || group.Spec.Model != query.Model || group.Spec.Service != query.Service {
		return false
	}
	return query.Adapter == "" || slices.Contains(group.Spec.Adapters, query.Adapter)
}

// ready reports whether the newest report says that the group serves in its
// configured epoch.
func (r *Router) ready(now time.Duration, group Group) bool {
	h, ok := r.hints[group.Name]
	return ok && h.reported && h.load.Ready && !h.load.Draining && h.load.Epoch == group.Spec.Epoch &&
		h.avoid <= now && now-h.at < r.options.hintLife
}

// nearest keeps the candidates of the closest tier that has room; without room
// anywhere it keeps them all.
func (r *Router) nearest(fit []Group) []Group {
	for distance := range 3 {
		var near []Group
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

func (r *Router) hasRoom(group Group) bool {
	h := r.hints[group.Name]
	return h.load.Running+h.load.Queued+h.sent < h.load.Parallel
}

// distance is 0 in the own failure domain, 1 in the own region, else 2.
func (r *Router) distance(group Group) int {
	switch {
	case group.Spec.FailureDomain == r.options.failureDomain:
		return 0
	case group.Spec.Region == r.options.region:
		return 1
	}
	return 2
}

// expected estimates the milliseconds to the first token.
func (r *Router) expected(group Group, query Query) int {
	h := r.hints[group.Name]
	load := h.load
	ms := load.FirstTokenMs
	waiting := load.Running + load.Queued + h.sent - load.Parallel + 1
	if waiting > 0 {
		ms += waiting * load.ServiceMs / max(1, load.Parallel)
	}
	ms += tierMs[r.distance(group)]
	if query.Prefix != "" && slices.Contains(load.Prefixes, query.Prefix) {
		ms -= load.FirstTokenMs / 2
	}
	return ms*loadScale + (load.Running+load.Queued+h.sent)*loadScale/max(1, load.Parallel)
}
