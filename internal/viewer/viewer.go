// Package viewer keeps a versioned view of the fleet, so that a process that has
// one revision is sent only what changed since. It is a pure state machine. The
// leader of control publishes the view; the other control processes apply its
// changes and forward them to entries in the same form.
//
// # Usage
//
//	v := viewer.New()
//	v.Update(viewer.PublishMsg{Term: term, Endpoints: endpoints, Groups: groups})
//	changes := v.ChangesSince(viewer.Position{Term: term, ViewRevision: 17, LoadRevision: 93})
//
//	follower := viewer.New()
//	follower.Update(viewer.ApplyMsg{Changes: changes})
//
// Revisions are numbered within a term of leadership. Loads change all the time,
// so they have revisions of their own, which do not wake waiting processes.
package viewer

import (
	"cmp"
	"maps"
	"slices"

	"papayaseam/internal/messenger"
)

// maxRemoved limits the number of removed items that are kept for incremental
// changes. A process with a revision older than those gets the whole view.
const maxRemoved = 2048

// Position is the latest term and revisions that a process has.
type Position struct {
	Term, ViewRevision, LoadRevision int
}

// Msg is an input of the viewer.
type Msg interface{ viewerMsg() }

// PublishMsg carries the leader's own view. If Partial is set, there may be other
// groups that the leader does not know of yet.
type PublishMsg struct {
	Term      int
	Partial   bool
	Endpoints []messenger.EndpointView
	Groups    []messenger.GroupView
	Controls  []messenger.ControlView
}

// ApplyMsg carries changes received from another process.
type ApplyMsg struct{ Changes messenger.FleetChanges }

func (PublishMsg) viewerMsg() {}
func (ApplyMsg) viewerMsg()   {}

// item is a value and the revision at which it last changed. Removed items are
// kept without their value.
type item[T any] struct {
	value    T
	revision int
	removed  bool
}

// Viewer is one view of the fleet. It is not safe for concurrent use.
type Viewer struct {
	position         Position
	oldestRevision   int // oldestRevision is the oldest revision since which all changes are known.
	partial          bool
	endpoints        map[string]item[messenger.EndpointView]
	groups           map[string]item[messenger.GroupView]
	loads            map[string]item[messenger.HeadLoad]
	controls         []messenger.ControlView
	controlsRevision int // controlsRevision is the revision at which controls last changed.
	removedCount     int // removedCount is the number of removed endpoints and groups that are kept.
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
	v.removedCount = 0
}

// Position returns the term and revisions of this view.
func (v *Viewer) Position() Position { return v.position }

// Partial reports whether there may be groups that are missing from the view.
func (v *Viewer) Partial() bool { return v.partial }

// Controls returns the control processes.
func (v *Viewer) Controls() []messenger.ControlView { return v.controls }

// Endpoints returns the endpoints, sorted by instance.
func (v *Viewer) Endpoints() []messenger.EndpointView {
	return sorted(v.endpoints, instanceOf)
}

// Endpoint returns the endpoint with the given ID, or false if the view has none.
func (v *Viewer) Endpoint(id string) (messenger.EndpointView, bool) {
	it, ok := v.endpoints[id]
	return it.value, ok && !it.removed
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

// sorted returns the values of the items that are not removed, ordered by key.
func sorted[T any](items map[string]item[T], key func(T) string) []T {
	values := make([]T, 0, len(items))
	for _, it := range items {
		if !it.removed {
			values = append(values, it.value)
		}
	}
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return values
}

// Update applies a message and reports whether endpoints, groups or control
// processes changed.
func (v *Viewer) Update(msg Msg) bool {
	switch msg := msg.(type) {
	case PublishMsg:
		return v.publish(msg)
	case ApplyMsg:
		return v.apply(msg.Changes)
	}
	return false
}

// publish replaces the view by the leader's current one and records what
// changed. After a new term, or the first complete view after partial ones,
// other processes are sent the whole view.
func (v *Viewer) publish(msg PublishMsg) bool {
	next := v.position.ViewRevision + 1
	reset := msg.Term != v.position.Term || (v.partial && !msg.Partial)
	v.position.Term = msg.Term
	v.partial = msg.Partial
	changed := replace(v.endpoints, byKey(msg.Endpoints, instanceOf), next, &v.removedCount, func(a, b messenger.EndpointView) bool { return a == b })
	changed = replace(v.groups, byKey(withoutLoads(msg.Groups), nameOf), next, &v.removedCount, equalGroups) || changed
	if !slices.Equal(v.controls, msg.Controls) {
		v.controls = msg.Controls
		v.controlsRevision = next
		changed = true
	}
	if changed || reset {
		v.position.ViewRevision = next
	}
	if reset || v.removedCount > maxRemoved {
		v.dropRemoved()
	}
	v.publishLoads(msg.Groups)
	return changed || reset
}

// publishLoads updates the loads, with a revision of their own.
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

// replace sets the items to the given values. It marks what changed with the
// revision, adds the removed items to removedCount, and reports whether anything
// changed.
func replace[T any](items map[string]item[T], values map[string]T, revision int, removedCount *int, equal func(a, b T) bool) bool {
	changed := false
	for key, value := range values {
		old, ok := items[key]
		if ok && !old.removed && equal(old.value, value) {
			continue
		}
		items[key] = item[T]{value: value, revision: revision}
		changed = true
	}
	for key, old := range items {
		if _, ok := values[key]; !ok && !old.removed {
			items[key] = item[T]{revision: revision, removed: true}
			*removedCount++
			changed = true
		}
	}
	return changed
}

func byKey[T any](values []T, key func(T) string) map[string]T {
	out := make(map[string]T, len(values))
	for _, value := range values {
		out[key(value)] = value
	}
	return out
}

func instanceOf(e messenger.EndpointView) string { return e.Instance }

func nameOf(g messenger.GroupView) string { return g.Name }

// equalGroups reports whether two groups are equal, apart from their loads.
func equalGroups(a, b messenger.GroupView) bool {
	return slices.Equal(a.Members, b.Members) && a.Name == b.Name && a.Epoch == b.Epoch && a.Service == b.Service && a.Model == b.Model &&
		a.FailureDomain == b.FailureDomain && a.Open == b.Open && a.Broken == b.Broken && a.Doubted == b.Doubted
}

func withoutLoads(groups []messenger.GroupView) []messenger.GroupView {
	out := slices.Clone(groups)
	for i := range out {
		out[i].Active, out[i].Queued, out[i].Pace = 0, 0, 0
	}
	return out
}

// dropRemoved deletes the removed items. Processes with an older revision are
// sent the whole view from here on.
func (v *Viewer) dropRemoved() {
	v.oldestRevision = v.position.ViewRevision
	v.removedCount = 0
	maps.DeleteFunc(v.endpoints, func(_ string, e item[messenger.EndpointView]) bool { return e.removed })
	maps.DeleteFunc(v.groups, func(_ string, g item[messenger.GroupView]) bool { return g.removed })
}

// ChangesSince returns the changes that bring a process from a position to this
// view: the whole view if the position is from an earlier term or too old, and
// none if it is from a later term.
func (v *Viewer) ChangesSince(known Position) messenger.FleetChanges {
	changes := messenger.FleetChanges{Term: v.position.Term, View: v.position.ViewRevision, Loads: v.position.LoadRevision, Partial: v.partial}
	if known.Term > v.position.Term {
		return messenger.FleetChanges{Term: v.position.Term}
	}
	if known.Term != v.position.Term || known.ViewRevision < v.oldestRevision {
		changes.Whole = true
		known = Position{ViewRevision: -1, LoadRevision: -1}
	}
	changes.Endpoints, changes.GoneEndpoints = changesSince(v.endpoints, known.ViewRevision)
	changes.Groups, changes.GoneGroups = changesSince(v.groups, known.ViewRevision)
	changes.HeadLoads, _ = changesSince(v.loads, known.LoadRevision)
	if v.controlsRevision > known.ViewRevision {
		changes.Controls = v.controls
	}
	return changes
}

// changesSince returns the values that changed and the keys that were removed
// after a revision, ordered by key.
func changesSince[T any](items map[string]item[T], revision int) (changed []T, removed []string) {
	for _, key := range slices.Sorted(maps.Keys(items)) {
		switch it := items[key]; {
		case it.revision <= revision:
		case it.removed:
			removed = append(removed, key)
		default:
			changed = append(changed, it.value)
		}
	}
	return changed, removed
}

// HasNewerView reports whether this view is newer than a position in more than
// its loads.
func (v *Viewer) HasNewerView(known Position) bool {
	return v.position.Term > known.Term || (v.position.Term == known.Term && v.position.ViewRevision > known.ViewRevision)
}

// apply makes the changes received from another process; those older than this
// view are ignored. A partial view is merged into this view and removes nothing,
// since groups that it lacks may still exist.
func (v *Viewer) apply(c messenger.FleetChanges) bool {
	older := c.Term < v.position.Term || (c.Term == v.position.Term && (c.View < v.position.ViewRevision || c.Loads < v.position.LoadRevision))
	if older || (!c.Whole && c.Term != v.position.Term) {
		return false
	}
	changed := c.Whole || c.View > v.position.ViewRevision
	if c.Whole && !c.Partial {
		v.clear()
	}
	if c.Whole {
		setRevision(v.endpoints, c.View)
		setRevision(v.groups, c.View)
		setRevision(v.loads, c.Loads)
	}
	v.partial = c.Partial
	v.position = Position{Term: c.Term, ViewRevision: c.View, LoadRevision: c.Loads}
	put(v.endpoints, c.Endpoints, instanceOf, c.View)
	put(v.groups, c.Groups, nameOf, c.View)
	put(v.loads, c.HeadLoads, func(l messenger.HeadLoad) string { return l.Name }, c.Loads)
	v.removedCount += markRemoved(v.endpoints, c.GoneEndpoints, c.View) + markRemoved(v.groups, c.GoneGroups, c.View)
	for _, name := range c.GoneGroups {
		delete(v.loads, name)
	}
	if c.Controls != nil {
		v.controls = c.Controls
		v.controlsRevision = c.View
	}
	if c.Whole || v.removedCount > maxRemoved {
		v.dropRemoved()
	}
	return changed
}

// setRevision sets the revision of all items. Items kept from an earlier term
// have revisions of that term, which are not comparable.
func setRevision[T any](items map[string]item[T], revision int) {
	for key, it := range items {
		it.revision = revision
		items[key] = it
	}
}

func put[T any](items map[string]item[T], values []T, key func(T) string, revision int) {
	for _, value := range values {
		items[key(value)] = item[T]{value: value, revision: revision}
	}
}

// markRemoved marks the items with the given keys as removed and returns their
// number.
func markRemoved[T any](items map[string]item[T], keys []string, revision int) int {
	for _, key := range keys {
		items[key] = item[T]{revision: revision, removed: true}
	}
	return len(keys)
}
