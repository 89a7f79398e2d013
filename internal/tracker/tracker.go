// Package tracker keeps what endpoints say of themselves: who is there, at
// which address, in which boot, and in what state.
//
// # Usage
//
//	t := tracker.New()
//	changed := t.Update(tracker.AnnounceMsg{Now: now, Endpoint: view, Report: report})
//	for _, e := range t.Endpoints() { ... }
//
// Boots are told apart by the time of their start: of two boots at one address
// or under one identity the later one stands, and what an earlier one still
// says changes nothing.
package tracker

import (
	"slices"
	"time"

	"papayaseam/internal/messenger"
)

// Endpoint is one boot of an endpoint.
type Endpoint struct {
	View         messenger.EndpointView
	Report       messenger.EndpointReport
	LastHeard    time.Duration // LastHeard is when anything was last heard of it.
	ReportedAt   time.Duration // ReportedAt is when its state was last read.
	FailingSince time.Duration // FailingSince is when the first of its unanswered calls began; 0 where the last was answered.
	FailedCalls  int           // FailedCalls is the number of unanswered calls since then.
	BootEnded    bool          // BootEnded tells that no process listens at its address any more.

	told      membership    // told is what its newest announcement said.
	newest    int           // newest is the highest epoch that it was seen in.
	toldAt    time.Duration // toldAt is when an announcement last changed its membership.
	orderedAt time.Duration // orderedAt is when it last began an order.
}

// membership is a part in a group and how far it has come.
type membership struct {
	group string
	epoch int
	state string
}

func membershipOf(r messenger.EndpointReport) membership {
	return membership{r.Group, r.Epoch, r.State}
}

// Msg is an input of the table.
type Msg interface{ trackerMsg() }

// AnnounceMsg carries what an endpoint said of itself.
type AnnounceMsg struct {
	Now      time.Duration
	Endpoint messenger.EndpointView
	Report   *messenger.EndpointReport
}

// HeartbeatMsg tells that a boot announced itself anew without a change.
type HeartbeatMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
	Sequence int
}

// LeaveMsg tells that a boot leaves; what it still says changes nothing more.
type LeaveMsg struct {
	ID       string
	BootTime int // BootTime is 0 where only the identity is known.
}

// ReportMsg carries the state that a call to an endpoint returned.
type ReportMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
	Report   messenger.EndpointReport
}

// OrderStartedMsg tells that an endpoint has begun an order.
type OrderStartedMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
}

// CallFailedMsg tells that a call to an endpoint was not answered.
type CallFailedMsg struct {
	CalledAt  time.Duration
	ID        string
	BootTime  int
	BootEnded bool
}

// ExpireMsg drops endpoints that were silent for too long.
type ExpireMsg struct {
	Now        time.Duration
	MaxSilence time.Duration
}

func (AnnounceMsg) trackerMsg()     {}
func (HeartbeatMsg) trackerMsg()    {}
func (LeaveMsg) trackerMsg()        {}
func (ReportMsg) trackerMsg()       {}
func (CallFailedMsg) trackerMsg()   {}
func (OrderStartedMsg) trackerMsg() {}
func (ExpireMsg) trackerMsg()       {}

// Tracker is the table. It is not safe for concurrent use.
type Tracker struct {
	endpoints map[string]*Endpoint
	order     []string          // order holds the identities in the table, sorted.
	at        map[string]string // at maps addresses to the identities that hold them.
	gone      map[string]int    // gone maps identities to the newest boot that has ended.
}

// New returns an empty table.
func New() *Tracker {
	return &Tracker{endpoints: map[string]*Endpoint{}, at: map[string]string{}, gone: map[string]int{}}
}

// Endpoint returns an endpoint by its identity.
func (t *Tracker) Endpoint(id string) (Endpoint, bool) {
	e, ok := t.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return *e, true
}

// Endpoints returns all endpoints, sorted by identity.
func (t *Tracker) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(t.order))
	for _, id := range t.order {
		list = append(list, *t.endpoints[id])
	}
	return list
}

// Update takes one message and reports whether what others must know changed.
func (t *Tracker) Update(msg Msg) bool {
	switch msg := msg.(type) {
	case AnnounceMsg:
		return t.announce(msg)
	case HeartbeatMsg:
		t.alive(msg)
	case LeaveMsg:
		return t.leave(msg)
	case ReportMsg:
		return t.report(msg)
	case CallFailedMsg:
		return t.failed(msg)
	case OrderStartedMsg:
		t.begun(msg)
	case ExpireMsg:
		return t.forget(msg)
	}
	return false
}

func (t *Tracker) announce(msg AnnounceMsg) bool {
	view := msg.Endpoint
	if ended, ok := t.gone[view.Instance]; ok && view.Born <= ended {
		return false
	}
	old, known := t.endpoints[view.Instance]
	if known && (view.Born < old.View.Born || (view.Born == old.View.Born && view.Sequence <= old.View.Sequence)) {
		return false
	}
	if !t.takeAddress(view) {
		return false
	}
	if known {
		t.leaveAddress(old.View)
	}
	if !known || old.View.Born != view.Born {
		old = &Endpoint{}
		t.add(view.Instance, old)
	}
	t.at[view.Address] = view.Instance
	view.Leaving = view.Leaving || old.View.Leaving
	before := old.View
	before.Sequence = view.Sequence
	old.View = view
	old.LastHeard = msg.Now
	old.FailingSince, old.FailedCalls = 0, 0
	old.BootEnded = false
	changed := before != view
	if msg.Report != nil {
		changed = t.tell(old, *msg.Report, msg.Now) || changed
	}
	return changed
}

// alive notes that an endpoint was heard.
func (t *Tracker) alive(msg HeartbeatMsg) {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime || msg.Sequence <= e.View.Sequence {
		return
	}
	e.View.Sequence = msg.Sequence
	e.LastHeard = msg.Now
	e.FailingSince, e.FailedCalls = 0, 0
	e.BootEnded = false
}

// reportLife is how long a report that was asked for goes before what an
// announcement tells, where the order of the two is not known: longer than
// announcements are under way.
const reportLife = 5 * time.Second

// reportLag is above the age that reports may have when they are sent, and the
// call.
const reportLag = 400 * time.Millisecond

// tell takes the state in an announcement, which is fresher than a report's
// where it comes in time, and reports whether the membership changed.
func (t *Tracker) tell(e *Endpoint, report messenger.EndpointReport, now time.Duration) bool {
	follows := e.follows(membershipOf(report))
	e.told = membershipOf(report)
	if !follows && e.ReportedAt != 0 && now-e.ReportedAt <= reportLife {
		return false
	}
	changed := t.take(e, withLoad(report, e.Report), now)
	if changed {
		e.toldAt = now
	}
	return changed
}

// follows reports whether an announced membership is certain to be later than
// the one in the table: announcements are ordered among themselves, epochs
// rise, and within an epoch a membership goes through its states in order.
func (e *Endpoint) follows(next membership) bool {
	current := membershipOf(e.Report)
	switch {
	case current == e.told:
		return true
	case next.epoch != current.epoch || next.group != current.group:
		return next.epoch > e.newest
	}
	return progress[next.state] >= progress[current.state]
}

// progress orders the states of a membership; the way back from open leads
// through closing.
var progress = map[string]int{"joining": 1, "ready": 2, "open": 3, "closing": 4, "broken": 5}

// withLoad completes the state in an announcement by what only reports tell.
func withLoad(report, last messenger.EndpointReport) messenger.EndpointReport {
	report.Orders, report.Queued, report.Active, report.Pace = last.Orders, last.Queued, last.Active, last.Pace
	return report
}

// takeAddress ends earlier boots at the address, and reports false where a
// later boot holds it.
func (t *Tracker) takeAddress(view messenger.EndpointView) bool {
	id, held := t.at[view.Address]
	if !held || id == view.Instance {
		return true
	}
	if t.endpoints[id].View.Born > view.Born {
		return false
	}
	t.end(id)
	return true
}

// add puts an endpoint into the table.
func (t *Tracker) add(id string, e *Endpoint) {
	if _, known := t.endpoints[id]; !known {
		i, _ := slices.BinarySearch(t.order, id)
		t.order = slices.Insert(t.order, i, id)
	}
	t.endpoints[id] = e
}

// remove takes an endpoint out of the table.
func (t *Tracker) remove(id string) {
	if i, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
	t.leaveAddress(t.endpoints[id].View)
	delete(t.endpoints, id)
}

// leaveAddress notes that an endpoint is no longer at its address.
func (t *Tracker) leaveAddress(view messenger.EndpointView) {
	if t.at[view.Address] == view.Instance {
		delete(t.at, view.Address)
	}
}

// take stores a state and reports whether its membership changed.
func (t *Tracker) take(e *Endpoint, report messenger.EndpointReport, now time.Duration) bool {
	changed := e.Report.Group != report.Group || e.Report.Epoch != report.Epoch || e.Report.State != report.State
	e.Report = report
	e.ReportedAt = now
	e.newest = max(e.newest, report.Epoch)
	return changed
}

// begun counts an order that an endpoint has begun, ahead of its reports.
func (t *Tracker) begun(msg OrderStartedMsg) {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime {
		return
	}
	e.Report.Orders++
	e.orderedAt = msg.Now
}

// leave marks a boot; it is kept while it still answers.
func (t *Tracker) leave(msg LeaveMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || (msg.BootTime != 0 && e.View.Born != msg.BootTime) {
		return false
	}
	t.gone[msg.ID] = max(t.gone[msg.ID], e.View.Born)
	changed := !e.View.Leaving
	e.View.Leaving = true
	return changed
}

// end drops a boot whose address another one has taken.
func (t *Tracker) end(id string) {
	t.gone[id] = max(t.gone[id], t.endpoints[id].View.Born)
	t.remove(id)
}

func (t *Tracker) report(msg ReportMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime {
		return false
	}
	e.LastHeard = max(e.LastHeard, msg.Now)
	e.FailingSince, e.FailedCalls = 0, 0
	e.BootEnded = false
	report := msg.Report
	if e.orderedAt != 0 && msg.Now-e.orderedAt < reportLag {
		report.Orders = max(report.Orders, e.Report.Orders)
	}
	if e.toldAt != 0 && msg.Now-e.toldAt < reportLag && report.Epoch <= e.newest {
		report = withMembership(report, e.Report)
	}
	return t.take(e, report, msg.Now)
}

// withMembership completes the load that a report tells by the membership that
// an announcement told after it.
func withMembership(report, told messenger.EndpointReport) messenger.EndpointReport {
	report.Group, report.Epoch, report.Rank, report.State = told.Group, told.Epoch, told.Rank, told.State
	report.Models, report.Staged = told.Models, told.Staged
	return report
}

func (t *Tracker) failed(msg CallFailedMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime {
		return false
	}
	if e.FailingSince == 0 {
		e.FailingSince = msg.CalledAt
	}
	e.FailedCalls++
	changed := msg.BootEnded && !e.BootEnded
	e.BootEnded = e.BootEnded || msg.BootEnded
	return changed
}

func (t *Tracker) forget(msg ExpireMsg) bool {
	changed := false
	for id, e := range t.endpoints {
		if msg.Now-e.LastHeard > msg.MaxSilence {
			t.remove(id)
			changed = true
		}
	}
	return changed
}
