// Package evacuator holds which failure domains are evacuated: nothing more is sent to
// their endpoints until the evacuation is revoked. It is a pure state machine, driven by
// the replicated control log, and copied by processes without a log.
//
// # Usage
//
//	e := evacuator.New()
//	e.Update(evacuator.CommandMsg{Evacuation: messenger.Evacuation{FailureDomain: "ne-a", Active: true}})
//	e.Evacuated("ne-a") // true
//	copied.Update(evacuator.ApplyMsg{List: e.Snapshot()})
//
// The revision counts the changes. It is the same in every process that has applied the
// same commands, so that a process with the newest revision has the newest state. A
// revocation is kept as an inactive record with its revision.
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

// CommandMsg carries a committed order.
type CommandMsg struct{ Evacuation messenger.Evacuation }

// ApplyMsg carries the state of another process. An older one than is known is ignored.
type ApplyMsg struct{ List messenger.EvacuationList }

func (CommandMsg) evacuatorMsg() {}
func (ApplyMsg) evacuatorMsg()   {}

// Evacuator is the state after the applied orders. It is not safe for concurrent use.
type Evacuator struct {
	options  options
	revision int
	records  map[string]messenger.Evacuation // records holds the last change of each failure domain.
}

// New returns an Evacuator without evacuations.
func New(opts ...Option) *Evacuator {
	e := &Evacuator{options: options{maxRevoked: defaultMaxRevoked}, records: map[string]messenger.Evacuation{}}
	for _, opt := range opts {
		opt(&e.options)
	}
	return e
}

// Update applies a message and reports whether it changed the state.
func (e *Evacuator) Update(msg Msg) bool {
	switch msg := msg.(type) {
	case CommandMsg:
		return e.command(msg.Evacuation)
	case ApplyMsg:
		return e.apply(msg.List)
	}
	return false
}

// command applies an order, unless the failure domain is in that state already.
func (e *Evacuator) command(order messenger.Evacuation) bool {
	if order.FailureDomain == "" || e.Evacuated(order.FailureDomain) == order.Active {
		return false
	}
	e.revision++
	order.Modified = e.revision
	e.records[order.FailureDomain] = order
	e.dropRevoked()
	return true
}

// dropRevoked drops the oldest revocations above the bound.
func (e *Evacuator) dropRevoked() {
	revoked := slices.DeleteFunc(e.Records(), func(r messenger.Evacuation) bool { return r.Active })
	slices.SortFunc(revoked, func(a, b messenger.Evacuation) int { return cmp.Compare(a.Modified, b.Modified) })
	for _, r := range revoked[:max(len(revoked)-e.options.maxRevoked, 0)] {
		delete(e.records, r.FailureDomain)
	}
}

// apply replaces the state by a newer one.
func (e *Evacuator) apply(list messenger.EvacuationList) bool {
	if list.Revision <= e.revision {
		return false
	}
	e.revision = list.Revision
	e.records = map[string]messenger.Evacuation{}
	for _, r := range list.FailureDomains {
		e.records[r.FailureDomain] = r
	}
	return true
}

// Revision returns the number of changes so far; 0 if there never was an evacuation.
func (e *Evacuator) Revision() int { return e.revision }

// Evacuated reports whether a failure domain is evacuated.
func (e *Evacuator) Evacuated(domain string) bool { return e.records[domain].Active }

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

// Records returns the last change of each failure domain that had one, sorted by name.
func (e *Evacuator) Records() []messenger.Evacuation {
	records := make([]messenger.Evacuation, 0, len(e.records))
	for _, r := range e.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b messenger.Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return records
}

// Snapshot returns the whole state for an ApplyMsg.
func (e *Evacuator) Snapshot() messenger.EvacuationList {
	return messenger.EvacuationList{Revision: e.revision, FailureDomains: e.Records()}
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
