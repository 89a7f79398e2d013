// Package evacuator holds which failure domains are evacuated: nothing more is sent to
// their endpoints until the evacuation is revoked. It is a pure state machine, driven by
// the replicated control log, and copied by processes without a log.
//
// # Usage
//
//	e := evacuator.New()
//	e.Update(evacuator.CommandMsg{Index: 8, Evacuation: messenger.Evacuation{FailureDomain: "ne-a", Active: true, After: 7}})
//	e.Evacuated("ne-a") // true
//	copied.Update(evacuator.ApplyMsg{List: e.Snapshot()})
//
// The revision counts the changes. It is the same in every process that has applied the
// same commands, so that a process with the newest revision has the newest state. A
// revocation is kept as an inactive record with its revision.
//
// An order names the log index up to which its caller knows the orders on the failure
// domain. It is carried out only if there was no other one since, so that an order that is
// late, however long, changes nothing.
package evacuator

import (
	"cmp"
	"slices"

	"papayaseam/internal/messenger"
)

// defaultMaxRevoked bounds the revocations that are kept. A deployment has far fewer
// failure domains.
const defaultMaxRevoked = 256

type options struct{ maxRevoked int }

// Option configures an Evacuator.
type Option func(*options)

// WithMaxRevoked bounds the revocations that are kept; the oldest are dropped first.
// Processes that share a log need the same bound.
func WithMaxRevoked(n int) Option { return func(o *options) { o.maxRevoked = n } }

// Msg is an input of an Evacuator.
type Msg interface{ evacuatorMsg() }

// CommandMsg carries a committed order and its index in the log. An order that is carried
// out invalidates those that were sent before it, also where it changes nothing else.
type CommandMsg struct {
	Evacuation messenger.Evacuation
	Index      int
}

// ApplyMsg carries the state of another process. An older one than is known is ignored.
type ApplyMsg struct{ List messenger.EvacuationList }

// RestoreMsg carries the state of a snapshot, which replaces any other.
type RestoreMsg struct{ List messenger.EvacuationList }

func (CommandMsg) evacuatorMsg() {}
func (ApplyMsg) evacuatorMsg()   {}
func (RestoreMsg) evacuatorMsg() {}

// Evacuator is the state after the applied orders. It is not safe for concurrent use.
type Evacuator struct {
	options  options
	revision int
	records  map[string]messenger.Evacuation // records holds the last order on each failure domain.
	dropped  int                             // dropped is the highest log index of an order whose record was dropped.
}

// New returns an Evacuator without evacuations.
func New(opts ...Option) *Evacuator {
	e := &Evacuator{options: options{maxRevoked: defaultMaxRevoked}, records: map[string]messenger.Evacuation{}}
	for _, opt := range opts {
		opt(&e.options)
	}
	return e
}

// Update applies a message and reports whether it was carried out.
func (e *Evacuator) Update(msg Msg) bool {
	switch msg := msg.(type) {
	case CommandMsg:
		return e.command(msg.Evacuation, msg.Index)
	case ApplyMsg:
		return e.apply(msg.List)
	case RestoreMsg:
		e.replace(msg.List)
		return true
	}
	return false
}

// command applies an order at an index of the log, unless another one came in between.
// Versions without this check logged nothing but changes, which are always applied.
func (e *Evacuator) command(order messenger.Evacuation, index int) bool {
	changes := e.Evacuated(order.FailureDomain) != order.Active
	switch {
	case order.FailureDomain == "":
		return false
	case order.After == 0 && !changes:
		return false
	case order.After != 0 && (order.After < e.LastIndex(order.FailureDomain) || order.After >= index):
		return false
	}
	record := messenger.Evacuation{FailureDomain: order.FailureDomain, Active: order.Active, Modified: e.records[order.FailureDomain].Modified, Index: index}
	if changes {
		e.revision++
		record.Modified = e.revision
	}
	e.records[record.FailureDomain] = record
	e.dropRevoked()
	return true
}

// dropRevoked drops the oldest revocations above the bound.
func (e *Evacuator) dropRevoked() {
	revoked := slices.DeleteFunc(e.Records(), func(r messenger.Evacuation) bool { return r.Active })
	slices.SortFunc(revoked, func(a, b messenger.Evacuation) int { return cmp.Compare(a.Modified, b.Modified) })
	for _, r := range revoked[:max(len(revoked)-e.options.maxRevoked, 0)] {
		e.dropped = max(e.dropped, r.Index)
		delete(e.records, r.FailureDomain)
	}
}

// apply replaces the state by a newer one.
func (e *Evacuator) apply(list messenger.EvacuationList) bool {
	if list.Revision <= e.revision {
		return false
	}
	e.replace(list)
	return true
}

func (e *Evacuator) replace(list messenger.EvacuationList) {
	e.revision, e.dropped = list.Revision, list.Dropped
	e.records = map[string]messenger.Evacuation{}
	for _, r := range list.FailureDomains {
		e.records[r.FailureDomain] = r
	}
}

// Revision returns the number of changes so far; 0 if there never was an evacuation.
func (e *Evacuator) Revision() int { return e.revision }

// Evacuated reports whether a failure domain is evacuated.
func (e *Evacuator) Evacuated(domain string) bool { return e.records[domain].Active }

// LastIndex returns the log index of the last order on a failure domain, or a later one
// if its record was dropped; 0 if there was none.
func (e *Evacuator) LastIndex(domain string) int {
	if r, ok := e.records[domain]; ok {
		return r.Index
	}
	return e.dropped
}

// Known reports whether there is a record of a failure domain.
func (e *Evacuator) Known(domain string) bool {
	_, ok := e.records[domain]
	return ok
}

// Domains returns the evacuated failure domains, sorted.
func (e *Evacuator) Domains() []string {
	var domains []string
	for _, r := range e.Records() {
		if r.Active {
			domains = append(domains, r.FailureDomain)
		}
	}
	return domains
}

// Records returns the last order on each failure domain that had one, sorted by name.
func (e *Evacuator) Records() []messenger.Evacuation {
	records := make([]messenger.Evacuation, 0, len(e.records))
	for _, r := range e.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b messenger.Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return records
}

// Snapshot returns the whole state for an ApplyMsg or a RestoreMsg.
func (e *Evacuator) Snapshot() messenger.EvacuationList {
	return messenger.EvacuationList{Revision: e.revision, FailureDomains: e.Records(), Dropped: e.dropped}
}

// ListSince returns the whole state if it is newer than a revision, and otherwise nil, so
// that messages hold nothing where there never was an evacuation.
func (e *Evacuator) ListSince(revision int) *messenger.EvacuationList {
	if e.revision <= revision {
		return nil
	}
	list := e.Snapshot()
	return &list
}
