// Package viewer keeps a view of the fleet by revisions, so that a process that
// knows one revision is told only what changed since, as a pure state machine.
// The leader of control publishes the view; other control processes take its
// changes and pass them on to entries in the same form.
//
// # Usage
//
//	v := viewer.New()
//	v.Update(viewer.PublishMsg{Term: term, Endpoints: endpoints, Groups: groups})
//	changes := v.ChangesSince(viewer.Position{Term: term, ViewRevision: 17, LoadRevision: 93})
//
//	copy := viewer.New()
//	copy.Update(viewer.ApplyMsg{Changes: changes})
//
// Revisions count within one term of leadership. Loads change all the time and
// have a revision of their own, which wakes nobody.
package viewer

import (
	"cmp"
	"maps"
	"slices"

	"papayaseam/internal/messenger"
)

// keptGone bounds the removed items that are remembered; whoever asks for
// changes since an older revision is told the whole view.
const keptGone = 2048

// Position is the newest revision that a process knows.
type Position struct {
	Term, ViewRevision, LoadRevision int
}

// Msg is an input of the viewer.
type Msg interface{ viewerMsg() }

// PublishMsg carries the leader's own view. Partial tells that groups which it
// does not name may stand.
type PublishMsg struct {
	Term      int
	Partial   bool
	Endpoints []messenger.EndpointView
	Groups    []messenger.GroupView
	Controls  []messenger.ControlView
}

// ApplyMsg carries what another process told.
type ApplyMsg struct{ Changes messenger.FleetChanges }

func (PublishMsg) viewerMsg() {}
func (ApplyMsg) viewerMsg()   {}

// item is a value and the revision at which it last changed.
type item[T any] struct {
	value T
	at    int
	gone  bool
}

// Viewer is one view of the fleet. It is not safe for concurrent use.
type Viewer struct {
	position   Position
	floor      int // floor is the oldest revision since which changes are known.
	partial    bool
	endpoints  map[string]item[messenger.EndpointView]
	groups     map[string]item[messenger.GroupView]
	loads      map[string]item[messenger.HeadLoad]
	controls   []messenger.ControlView
	controlsAt int
	gone       int
}

// New returns an empty view.
func New() *Viewer {
	v := &Viewer{}
	v.clear()
	return v
}

func (v *Viewer) clear() {
	v.endpoints = map[string]item[messenger.EndpointView]{}
	v.groups = map[string]item[messenger.GroupView]{}
	v.loads = map[string]item[messenger.HeadLoad]{}
	v.gone = 0
}

// Position returns the revision of this view.
func (v *Viewer) Position() Position { return v.position }

// Partial reports whether groups that are not named may stand.
func (v *Viewer) Partial() bool { return v.partial }

// Controls returns the control processes.
func (v *Viewer) Controls() []messenger.ControlView { return v.controls }

// Endpoints returns the endpoints, sorted by identity.
func (v *Viewer) Endpoints() []messenger.EndpointView {
	return sorted(v.endpoints, instanceOf)
}

// Groups returns the groups with their loads, sorted by name.
func (v *Viewer) Groups() []messenger.GroupView {
	groups := sorted(v.groups, func(g messenger.GroupView) string { return g.Name })
	for i, g := range groups {
		load := v.loads[g.Name].value
		groups[i].Active, groups[i].Queued, groups[i].Pace = load.Active, load.Queued, load.Pace
	}
	return groups
}

func sorted[T any](items map[string]item[T], name func(T) string) []T {
	list := make([]T, 0, len(items))
	for _, it := range items {
		if !it.gone {
			list = append(list, it.value)
		}
	}
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

// Update takes one message and reports whether endpoints, groups or control
// processes changed.
func (v *Viewer) Update(msg Msg) bool {
	switch msg := msg.(type) {
	case PublishMsg:
		return v.publish(msg)
	case ApplyMsg:
		return v.take(msg.Changes)
	}
	return false
}

// publish compares the leader's view with the last one. A new term, and the
// first whole view after partial ones, are told whole.
func (v *Viewer) publish(msg PublishMsg) bool {
	next := v.position.ViewRevision + 1
	afresh := msg.Term != v.position.Term || (v.partial && !msg.Partial)
	v.position.Term = msg.Term
	v.partial = msg.Partial
	changed := replace(v.endpoints, byName(msg.Endpoints, instanceOf), next, &v.gone, func(a, b messenger.EndpointView) bool { return a == b })
	changed = replace(v.groups, byName(withoutLoads(msg.Groups), nameOf), next, &v.gone, sameGroup) || changed
	if !slices.Equal(v.controls, msg.Controls) {
		v.controls = msg.Controls
		v.controlsAt = next
		changed = true
	}
	if changed || afresh {
		v.position.ViewRevision = next
	}
	if afresh || v.gone > keptGone {
		v.forgetGone()
	}
	v.publishLoads(msg.Groups)
	return changed || afresh
}

func (v *Viewer) publishLoads(groups []messenger.GroupView) {
	loads := map[string]messenger.HeadLoad{}
	for _, g := range groups {
		loads[g.Name] = messenger.HeadLoad{Name: g.Name, Active: g.Active, Queued: g.Queued, Pace: g.Pace}
	}
	maps.DeleteFunc(v.loads, func(name string, _ item[messenger.HeadLoad]) bool {
		_, ok := loads[name]
		return !ok
	})
	if replace(v.loads, loads, v.position.LoadRevision+1, new(int), func(a, b messenger.HeadLoad) bool { return a == b }) {
		v.position.LoadRevision++
	}
}

// replace makes items hold the values, stamps what changed and reports whether
// anything did.
func replace[T any](items map[string]item[T], values map[string]T, at int, gone *int, same func(a, b T) bool) bool {
	changed := false
	for name, value := range values {
		old, ok := items[name]
		if ok && !old.gone && same(old.value, value) {
			continue
		}
		items[name] = item[T]{value: value, at: at}
		changed = true
	}
	for name, old := range items {
		if _, ok := values[name]; !ok && !old.gone {
			items[name] = item[T]{at: at, gone: true}
			*gone++
			changed = true
		}
	}
	return changed
}

func byName[T any](values []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(values))
	for _, value := range values {
		out[name(value)] = value
	}
	return out
}

func instanceOf(e messenger.EndpointView) string { return e.Instance }

func nameOf(g messenger.GroupView) string { return g.Name }

func sameGroup(a, b messenger.GroupView) bool {
	return slices.Equal(a.Members, b.Members) && a.Name == b.Name && a.Epoch == b.Epoch && a.Service == b.Service && a.Model == b.Model &&
		a.FailureDomain == b.FailureDomain && a.Open == b.Open && a.Broken == b.Broken
}

func withoutLoads(groups []messenger.GroupView) []messenger.GroupView {
	out := slices.Clone(groups)
	for i := range out {
		out[i].Active, out[i].Queued, out[i].Pace = 0, 0, 0
	}
	return out
}

// forgetGone drops what is remembered of removed items: older revisions are
// told the whole view from here on.
func (v *Viewer) forgetGone() {
	v.floor = v.position.ViewRevision
	v.gone = 0
	maps.DeleteFunc(v.endpoints, func(_ string, e item[messenger.EndpointView]) bool { return e.gone })
	maps.DeleteFunc(v.groups, func(_ string, g item[messenger.GroupView]) bool { return g.gone })
}

// ChangesSince returns what a process at a position lacks.
func (v *Viewer) ChangesSince(known Position) messenger.FleetChanges {
	changes := messenger.FleetChanges{Term: v.position.Term, View: v.position.ViewRevision, Loads: v.position.LoadRevision, Partial: v.partial}
	if known.Term > v.position.Term {
		return messenger.FleetChanges{Term: v.position.Term}
	}
	if known.Term != v.position.Term || known.ViewRevision < v.floor {
		changes.Whole = true
		known = Position{ViewRevision: -1, LoadRevision: -1}
	}
	changes.Endpoints, changes.GoneEndpoints = since(v.endpoints, known.ViewRevision)
	changes.Groups, changes.GoneGroups = since(v.groups, known.ViewRevision)
	changes.HeadLoads, _ = since(v.loads, known.LoadRevision)
	if v.controlsAt > known.ViewRevision {
		changes.Controls = v.controls
	}
	return changes
}

// since returns the items that changed after a revision, in order.
func since[T any](items map[string]item[T], at int) (changed []T, gone []string) {
	for _, name := range slices.Sorted(maps.Keys(items)) {
		switch it := items[name]; {
		case it.at <= at:
		case it.gone:
			gone = append(gone, name)
		default:
			changed = append(changed, it.value)
		}
	}
	return changed, gone
}

// HasNewerView reports whether a process at a position lacks more than loads.
func (v *Viewer) HasNewerView(known Position) bool {
	return v.position.Term > known.Term || (v.position.Term == known.Term && v.position.ViewRevision > known.ViewRevision)
}

// take makes the changes that another process told. A partial view is added to
// what is known, and ends nothing.
func (v *Viewer) take(c messenger.FleetChanges) bool {
	older := c.Term < v.position.Term || (c.Term == v.position.Term && (c.View < v.position.ViewRevision || c.Loads < v.position.LoadRevision))
	if older || (!c.Whole && c.Term != v.position.Term) {
		return false
	}
	changed := c.Whole || c.View > v.position.ViewRevision
	if c.Whole && !c.Partial {
		v.clear()
	}
	if c.Whole {
		restamp(v.endpoints, c.View)
		restamp(v.groups, c.View)
		restamp(v.loads, c.Loads)
	}
	v.partial = c.Partial
	v.position = Position{Term: c.Term, ViewRevision: c.View, LoadRevision: c.Loads}
	put(v.endpoints, c.Endpoints, instanceOf, c.View)
	put(v.groups, c.Groups, nameOf, c.View)
	put(v.loads, c.HeadLoads, func(l messenger.HeadLoad) string { return l.Name }, c.Loads)
	v.gone += drop(v.endpoints, c.GoneEndpoints, c.View) + drop(v.groups, c.GoneGroups, c.View)
	for _, name := range c.GoneGroups {
		delete(v.loads, name)
	}
	if c.Controls != nil {
		v.controls = c.Controls
		v.controlsAt = c.View
	}
	if c.Whole || v.gone > keptGone {
		v.forgetGone()
	}
	return changed
}

// restamp counts what is kept from another term as known at a revision.
func restamp[T any](items map[string]item[T], at int) {
	for name, it := range items {
		it.at = at
		items[name] = it
	}
}

func put[T any](items map[string]item[T], values []T, name func(T) string, at int) {
	for _, value := range values {
		items[name(value)] = item[T]{value: value, at: at}
	}
}

func drop[T any](items map[string]item[T], names []string, at int) int {
	for _, name := range names {
		items[name] = item[T]{at: at, gone: true}
	}
	return len(names)
}
