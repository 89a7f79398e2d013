// Package tracker keeps a table of the endpoints that announced themselves:
// their addresses, their boots and their states.
//
// # Usage
//
//	t := tracker.New()
//	changed := t.Update(tracker.AnnounceMsg{Now: now, Endpoint: view, Report: report})
//	for _, e := range t.Endpoints() { ... }
//
// Boots are distinguished by their start times. Of two boots with the same
// address or the same identity the later one is kept, and messages from the
// earlier one are ignored. Only a later boot proves that an earlier one has ended:
// an endpoint whose connections are refused may run on behind a network cut.
package tracker

import (
	"time"

	"papayaseam/internal/messenger"
)

// Endpoint is one boot of an endpoint.
type Endpoint struct {
	View         messenger.EndpointView
	Report       messenger.EndpointReport
	LastHeard    time.Duration // LastHeard is the time of the last message from the endpoint.
	ReportedAt   time.Duration // ReportedAt is when Report was last updated; 0 until the endpoint has answered a call.
	FailingSince time.Duration // FailingSince is when the first of the failed calls began; 0 if the last call succeeded.
	FailedCalls  int           // FailedCalls is the number of consecutive failed calls.
	RefusedSince time.Duration // RefusedSince is when the first call was made that the endpoint's address refused; 0 if it has been heard from since.
	BootEnded    bool          // BootEnded is set if a later boot answered under the same identity.

	announced      membership    // announced is the membership in the latest announcement.
	maxEpoch       int           // maxEpoch is the highest epoch that the endpoint reported.
	announcedAt    time.Duration // announcedAt is when an announcement last changed the membership.
	reportedOrders int           // reportedOrders is the highest count of accepted orders that the endpoint reported.
	orderStartedAt time.Duration // orderStartedAt is when the endpoint last started an order.
	leaveSent      membership    // leaveSent is the membership that the endpoint was ordered to leave, until it has left.
	cold           coldState
}

// membership is the group that an endpoint belongs to and its state there.
type membership struct {
	group string
	epoch int
	state string
}

func membershipOf(r messenger.EndpointReport) membership {
	return membership{r.Group, r.Epoch, r.State}
}

// Tracker is the table of endpoints. It is not safe for concurrent use.
type Tracker struct {
	endpoints  map[string]*Endpoint
	ids        []string          // ids holds the keys of endpoints, sorted.
	byAddress  map[string]string // byAddress maps each address to the ID of its endpoint.
	endedBoots map[string]int    // endedBoots maps IDs to the boot time of the latest boot that has left or was replaced.
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{endpoints: map[string]*Endpoint{}, byAddress: map[string]string{}, endedBoots: map[string]int{}}
}

// Endpoint returns the endpoint with the given ID, or false if it is unknown.
func (t *Tracker) Endpoint(id string) (Endpoint, bool) {
	e, ok := t.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return *e, true
}

// Endpoints returns all endpoints, sorted by ID.
func (t *Tracker) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(t.ids))
	for _, id := range t.ids {
		list = append(list, *t.endpoints[id])
	}
	return list
}

// Update applies a message and reports whether it changed anything that other
// processes need to know.
func (t *Tracker) Update(msg Msg) bool {
	switch msg := msg.(type) {
	case AnnounceMsg:
		return t.announce(msg)
	case HeartbeatMsg:
		t.heartbeat(msg)
	case LeaveMsg:
		return t.leave(msg)
	case ReportMsg:
		return t.report(msg)
	case CallFailedMsg:
		return t.callFailed(msg)
	case LaterBootMsg:
		return t.laterBoot(msg)
	case LeaveSentMsg:
		t.leaveSent(msg)
	case LeftMsg:
		return t.left(msg)
	case OrderStartedMsg:
		t.orderStarted(msg)
	case ExpireMsg:
		return t.expire(msg)
	case MaybeColdMsg:
		return t.maybeCold(msg)
	}
	return false
}

// announce adds or updates an endpoint. Announcements that are duplicated, out
// of order or from an earlier boot are ignored.
func (t *Tracker) announce(msg AnnounceMsg) bool {
	view := msg.Endpoint
	if ended, ok := t.endedBoots[view.Instance]; ok && view.Born <= ended {
		return false
	}
	e, known := t.endpoints[view.Instance]
	if known && (view.Born < e.View.Born || (view.Born == e.View.Born && view.Sequence <= e.View.Sequence)) {
		return false
	}
	if !t.claimAddress(view) {
		return false
	}
	if known {
		t.releaseAddress(e.View)
	}
	firstSeen := !known || e.View.Born != view.Born
	if firstSeen {
		e = &Endpoint{}
		t.add(view.Instance, e)
	}
	t.byAddress[view.Address] = view.Instance
	view.Leaving = view.Leaving || e.View.Leaving
	before := e.View
	before.Sequence = view.Sequence
	e.View = view
	e.heardFrom(msg.Now)
	changed := e.announceCold(msg.Cold, firstSeen, msg.Now) || before != view
	if msg.Report != nil {
		changed = t.applyAnnounced(e, *msg.Report, msg.Now) || changed
	}
	return changed
}

// heartbeat records that an endpoint was heard from.
func (t *Tracker) heartbeat(msg HeartbeatMsg) {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime || msg.Sequence <= e.View.Sequence {
		return
	}
	e.View.Sequence = msg.Sequence
	e.heardFrom(msg.Now)
}

// heardFrom records that the boot runs.
func (e *Endpoint) heardFrom(now time.Duration) {
	e.LastHeard = max(e.LastHeard, now)
	e.FailingSince, e.FailedCalls, e.RefusedSince = 0, 0, 0
}

// reportPrecedence is how long a report returned by a call takes precedence over
// announced states if their order is unknown. It exceeds the time that an
// announcement may spend in transit.
const reportPrecedence = 5 * time.Second

// maxReportDelay is an upper bound on the age of a report: its age when the
// endpoint sends it plus the duration of the call.
const maxReportDelay = 400 * time.Millisecond

// applyAnnounced stores the state from an announcement, which is newer than the
// last report unless the announcement was delayed. It reports whether the
// membership changed.
func (t *Tracker) applyAnnounced(e *Endpoint, report messenger.EndpointReport, now time.Duration) bool {
	later := e.isLater(membershipOf(report))
	e.announced = membershipOf(report)
	if !later && e.ReportedAt != 0 && now-e.ReportedAt <= reportPrecedence {
		return false
	}
	answered := e.ReportedAt != 0
	changed := t.setReport(e, withLoad(report, e.Report), now)
	if changed {
		e.announcedAt = now
	}
	if !answered {
		e.ReportedAt = 0
	}
	return changed
}

// isLater reports whether an announced membership is certain to be later than
// the current one. Announcements arrive in order, epochs increase, and within an
// epoch a membership goes through its states in order.
func (e *Endpoint) isLater(next membership) bool {
	current := membershipOf(e.Report)
	switch {
	case current == e.announced:
		return true
	case next.epoch != current.epoch || next.group != current.group:
		return next.epoch > e.maxEpoch
	}
	return stateOrder[next.state] >= stateOrder[current.state]
}

// stateOrder ranks the states of a membership in the order that it goes through
// them. A membership returns from open to ready by way of closing.
var stateOrder = map[string]int{"joining": 1, "ready": 2, "open": 3, "closing": 4, "broken": 5}

// withLoad returns the announced state with the fields that announcements lack
// copied from the last report.
func withLoad(report, last messenger.EndpointReport) messenger.EndpointReport {
	report.Orders, report.Queued, report.Active, report.Pace = last.Orders, last.Queued, last.Active, last.Pace
	return report
}

// setReport stores a state and reports whether the membership changed.
func (t *Tracker) setReport(e *Endpoint, report messenger.EndpointReport, now time.Duration) bool {
	changed := e.Report.Group != report.Group || e.Report.Epoch != report.Epoch || e.Report.State != report.State
	e.countLeave(&report, now)
	e.Report = report
	e.ReportedAt = now
	e.maxEpoch = max(e.maxEpoch, report.Epoch)
	return changed
}

// orderStarted counts a started order before the endpoint's reports include it.
func (t *Tracker) orderStarted(msg OrderStartedMsg) {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime {
		return
	}
	e.Report.Orders++
	e.orderStartedAt = msg.Now
}

// leave marks a boot as leaving. The boot stays in the table until it expires,
// since it may still respond.
func (t *Tracker) leave(msg LeaveMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || (msg.BootTime != 0 && e.View.Born != msg.BootTime) {
		return false
	}
	t.endedBoots[msg.ID] = max(t.endedBoots[msg.ID], e.View.Born)
	changed := !e.View.Leaving
	e.View.Leaving = true
	return changed
}

// endBoot removes a boot whose address was claimed by another one.
func (t *Tracker) endBoot(id string) {
	t.endedBoots[id] = max(t.endedBoots[id], t.endpoints[id].View.Born)
	t.remove(id)
}

// report stores the state returned by a call. A started order or a membership
// announced within maxReportDelay may be newer than the report and is kept. A boot's
// count of orders only grows: a report with a lower one was overtaken.
func (t *Tracker) report(msg ReportMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime {
		return false
	}
	e.heardFrom(msg.Now)
	report := msg.Report
	if report.Orders < e.reportedOrders {
		return false
	}
	e.reportedOrders = report.Orders
	if e.orderStartedAt != 0 && msg.Now-e.orderStartedAt < maxReportDelay {
		report.Orders = max(report.Orders, e.Report.Orders)
	}
	if e.announcedAt != 0 && msg.Now-e.announcedAt < maxReportDelay && report.Epoch <= e.maxEpoch {
		report = withMembership(report, e.Report)
	}
	return t.setReport(e, report, msg.Now)
}

// withMembership returns the report with the membership and models of a state
// that was announced after it.
func withMembership(report, announced messenger.EndpointReport) messenger.EndpointReport {
	report.Group, report.Epoch, report.Rank, report.State = announced.Group, announced.Epoch, announced.Rank, announced.State
	report.Models, report.Staged = announced.Models, announced.Staged
	return report
}

// callFailed counts a failed call. It reports whether the call was the first that
// was refused.
func (t *Tracker) callFailed(msg CallFailedMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime {
		return false
	}
	if e.FailingSince == 0 {
		e.FailingSince = msg.CalledAt
	}
	e.FailedCalls++
	if !msg.Refused || e.RefusedSince != 0 {
		return false
	}
	e.RefusedSince = msg.CalledAt
	return true
}

// laterBoot marks a boot as ended. The later boot replaces it once it announces
// itself. No boot is known to be later than one whose start is unknown.
func (t *Tracker) laterBoot(msg LaterBootMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime || e.BootEnded || msg.BootTime == 0 {
		return false
	}
	e.BootEnded = true
	t.endedBoots[msg.ID] = max(t.endedBoots[msg.ID], msg.BootTime)
	return true
}

// left ends a membership before the endpoint's reports show it. Reports that were
// under way at that time do not revert it.
func (t *Tracker) left(msg LeftMsg) bool {
	e, ok := t.endpoints[msg.ID]
	if !ok || e.View.Born != msg.BootTime || e.Report.Group != msg.Group || e.Report.Epoch != msg.Epoch {
		return false
	}
	report := e.Report
	report.Group, report.Epoch, report.Rank, report.State = "", 0, 0, ""
	e.announcedAt = msg.Now
	return t.setReport(e, report, msg.Now)
}

// leaveSent records the membership that an endpoint was ordered to leave.
func (t *Tracker) leaveSent(msg LeaveSentMsg) {
	if e, ok := t.endpoints[msg.ID]; ok && e.View.Born == msg.BootTime && e.Report.Group == msg.Group && e.Report.Epoch == msg.Epoch {
		e.leaveSent = membership{group: msg.Group, epoch: msg.Epoch}
	}
}

// countLeave counts the order to leave that ended a membership, before the endpoint's
// reports include it.
func (e *Endpoint) countLeave(next *messenger.EndpointReport, now time.Duration) {
	ended := membership{group: e.Report.Group, epoch: e.Report.Epoch}
	if next.Group != "" || ended.group == "" || ended != e.leaveSent {
		return
	}
	e.leaveSent = membership{}
	e.orderStartedAt = now
	next.Orders = max(next.Orders, e.Report.Orders+1)
}

// expire removes the endpoints that were silent for too long and reports whether
// there were any.
func (t *Tracker) expire(msg ExpireMsg) bool {
	changed := false
	for id, e := range t.endpoints {
		if msg.Now-e.LastHeard > msg.MaxSilence {
			t.remove(id)
			changed = true
		}
	}
	return changed
}
