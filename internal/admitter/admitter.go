// Package admitter implements admission control at a group's leader. Attempts
// wait in a bounded queue with weighted fair sharing between organisations,
// priorities and deadlines. A table records the state of every attempt.
//
// # Usage
//
// The side process owns one Machine and executes the effects it returns. It
// checks the group's grants immediately before it passes a StartMsg:
//
//	effects := m.Update(now, admitter.SubmitMsg{Attempt: attempt})
//	if membership.MayDispatch(now) {
//		effects = m.Update(now, admitter.StartMsg{})
//	}
//
// An attempt that was refused or revoked can never start later: its ID stays in
// the table for the retention time, which must exceed the longest time that a
// message can be in transit.
package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayaseam/internal/apportioner"
)

// State is the lifecycle state of an attempt.
type State string

// The states of an attempt.
const (
	Unknown State = ""
	Queued  State = "queued"
	Running State = "running"
	Done    State = "done"
	Refused State = "refused" // Refused attempts did not run and never will.
)

// Reasons for refusing an attempt.
const (
	RefusedOverloaded  = "overloaded"
	RefusedDeadline    = "deadline"
	RefusedDraining    = "draining"
	RefusedRevoked     = "revoked"
	RefusedRequestHeld = "request-held"
	RefusedDuplicate   = "duplicate-attempt"
	RefusedNotServing  = "not-serving"
	RefusedStaleToken  = "stale-token"
)

// Attempt holds the admission parameters of one attempt at a request.
type Attempt struct {
	ID           string
	Organisation string
	Fingerprint  string
	Priority     int           // Priority is higher for more urgent attempts; 0 is not urgent.
	Deadline     time.Duration // Deadline is the time by which the response must have begun; 0 means none.
	Suspect      bool          // Suspect marks a fingerprint that was running on a replica when it crashed.
}

// record is the table entry of an attempt.
type record struct {
	Attempt
	state      State
	seq        int
	stateSince time.Duration // stateSince is when the attempt was queued or ended.
	startedAt  time.Duration
}

// orgState is the queue and the fair-share accounting of one organisation.
type orgState struct {
	apportioner.Account     // Account is charged 1 with each start.
	limit               int // limit bounds the running attempts; 0 means unlimited.
	running             int
	queue               []*record
	activeUntil         time.Duration // activeUntil is when the organisation stops counting as active.
	urgentUntil         time.Duration // urgentUntil is when the reservation for urgent attempts ends.
}

// Machine is the admission state machine of one group. Times are relative to an
// origin that the caller chooses. It is not safe for concurrent use.
type Machine struct {
	options          options
	records          map[string]*record
	ended            []*record
	orgs             map[string]*orgState
	heldFingerprints map[string]bool // heldFingerprints are those an operator must release.
	concurrencyLimit int
	running          int
	queued           int
	runningSuspects  int
	seq              int
	clock            apportioner.Clock // clock is at the highest virtual time at which an attempt started.
	activeWeight     int               // activeWeight is the sum of the weights of the active organisations.
	serviceTime      time.Duration
	closeReason      string // closeReason is empty while the group admits attempts.
	effects          []Effect
}

// New returns a Machine without attempts. It refuses all of them with
// RefusedNotServing until the first OpenMsg.
func New(opts ...Option) *Machine {
	m := &Machine{options: defaultOptions(), records: map[string]*record{}, orgs: map[string]*orgState{}, heldFingerprints: map[string]bool{}}
	for _, opt := range opts {
		opt(&m.options)
	}
	m.concurrencyLimit = m.options.concurrencyLimit
	m.serviceTime = m.options.serviceTime
	m.closeReason = RefusedNotServing
	return m
}

// Running returns the number of attempts that run at the endpoint.
func (m *Machine) Running() int { return m.running }

// QueuedAhead returns how many queued attempts would be ahead of a new attempt of
// an organisation that is within its share.
func (m *Machine) QueuedAhead() int {
	n := 0
	for _, org := range m.orgs {
		if org.Weight >= m.activeWeight || m.withinShare(org) {
			n += len(org.queue)
		}
	}
	return n
}

// ConcurrencyLimit returns the maximum number of running attempts.
func (m *Machine) ConcurrencyLimit() int { return m.concurrencyLimit }

// State returns the state of an attempt, or Unknown where the table has none.
func (m *Machine) State(id string) State {
	if rec, ok := m.records[id]; ok {
		return rec.state
	}
	return Unknown
}

// Retention returns how long the ID of an ended attempt is kept.
func (m *Machine) Retention() time.Duration { return m.options.retention }

// ServiceTime returns the estimated running time of an attempt.
func (m *Machine) ServiceTime() time.Duration { return m.serviceTime }

// Fingerprints returns the sorted, distinct fingerprints of the running attempts.
func (m *Machine) Fingerprints() []string {
	var list []string
	for _, rec := range m.records {
		if rec.state == Running && rec.Fingerprint != "" {
			list = append(list, rec.Fingerprint)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Update processes one message and returns the effects to execute.
func (m *Machine) Update(now time.Duration, msg Msg) []Effect {
	m.effects = nil
	switch msg := msg.(type) {
	case SubmitMsg:
		m.submit(now, msg.Attempt)
	case StartMsg:
		m.startNext(now)
	case FinishMsg:
		m.finish(now, msg.ID)
	case RevokeMsg:
		m.revoke(now, msg.ID, msg.WithinRetention)
	case OpenMsg:
		m.closeReason = ""
	case CloseMsg:
		m.close(now, msg.Reason)
	case AbortAllMsg:
		m.abortAll(now)
	case LimitsMsg:
		m.applyLimits(msg)
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// org returns the state of an organisation and creates it on first use.
func (m *Machine) org(organisation string) *orgState {
	org, ok := m.orgs[organisation]
	if !ok {
		org = &orgState{Account: apportioner.Account{Weight: 1}}
		m.orgs[organisation] = org
	}
	return org
}

// submit queues a new attempt or refuses it. An attempt ID that is known already
// is reported and never queued twice.
func (m *Machine) submit(now time.Duration, attempt Attempt) {
	if existing, ok := m.records[attempt.ID]; ok {
		if existing.state == Refused {
			m.emit(RefuseEffect{ID: attempt.ID, Kind: RefusedRevoked, Message: "the attempt was refused before; use a new attempt"})
			return
		}
		m.emit(DuplicateEffect{ID: attempt.ID, State: existing.state})
		return
	}
	rec := &record{Attempt: attempt, stateSince: now, seq: m.seq}
	m.seq++
	m.records[attempt.ID] = rec
	if rec.Priority > 0 {
		m.org(rec.Organisation).urgentUntil = now + activityWindow
	}
	if kind, message := m.refusalReason(now, rec); kind != "" {
		m.refuse(now, rec, kind, message)
		return
	}
	m.enqueue(rec)
	if m.queued > m.options.queueLimit {
		m.shed(now)
	}
}

// refusalReason returns why a new attempt must be refused, or "" if it may wait.
func (m *Machine) refusalReason(now time.Duration, rec *record) (kind, message string) {
	switch {
	case m.closeReason != "":
		return m.closeReason, "the group takes no new work; try another group"
	case m.heldFingerprints[rec.Fingerprint]:
		return RefusedRequestHeld, "the request crashed replicas and is held; change it or ask an operator to lift the hold"
	case rec.Deadline > 0 && now+m.estimateWait(now, rec) > rec.Deadline:
		return RefusedDeadline, "the answer can not begin before the deadline; retry later or with a later deadline"
	}
	return "", ""
}

// estimateWait estimates the time until an attempt starts from the number of
// queued attempts that precede it in the fair-queueing order.
func (m *Machine) estimateWait(now time.Duration, rec *record) time.Duration {
	if m.running+m.queued < m.concurrencyLimit {
		return 0
	}
	org := m.org(rec.Organisation)
	ahead := 0
	for _, queued := range org.queue {
		ahead += boolToInt(before(queued, rec))
	}
	if ahead == 0 && m.running < m.concurrencyLimit && !m.reservedForOthers(org) && !m.reservedForUrgent(now, org, rec) {
		return 0
	}
	startTag := max(org.VirtualTime(), m.clock.Now()) + float64(ahead)/float64(org.Weight)
	for _, other := range m.orgs {
		if other == org || (m.withinShare(org) && !m.withinShare(other)) {
			continue
		}
		queuedBefore := int(math.Ceil((startTag - other.VirtualTime()) * float64(other.Weight)))
		ahead += min(len(other.queue), max(0, queuedBefore))
	}
	return m.serviceTime * time.Duration(ahead+1) / time.Duration(max(1, m.concurrencyLimit))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// before reports whether a precedes b in their organisation's queue: by priority,
// then by arrival.
func before(a, b *record) bool {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq)) < 0
}

// enqueue inserts an attempt into the queue of its organisation. An organisation
// that was idle catches up with the current virtual time, so that it gains no
// credit from being idle.
func (m *Machine) enqueue(rec *record) {
	rec.state = Queued
	org := m.org(rec.Organisation)
	if len(org.queue) == 0 && org.running == 0 {
		m.clock.CatchUp(&org.Account)
	}
	i, _ := slices.BinarySearchFunc(org.queue, rec, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq))
	})
	org.queue = slices.Insert(org.queue, i, rec)
	m.queued++
}

// shed refuses the last queued attempt of the organisation whose queue is longest
// in proportion to its weight.
func (m *Machine) shed(now time.Duration) {
	var heaviest *orgState
	heaviestName := ""
	for name, org := range m.orgs {
		if len(org.queue) == 0 {
			continue
		}
		if heaviest == nil || cmp.Or(cmp.Compare(len(org.queue)*heaviest.Weight, len(heaviest.queue)*org.Weight), cmp.Compare(name, heaviestName)) > 0 {
			heaviest, heaviestName = org, name
		}
	}
	last := heaviest.queue[len(heaviest.queue)-1]
	m.dequeue(last)
	m.refuse(now, last, RefusedOverloaded, "the queue is full; retry after a pause")
}

func (m *Machine) dequeue(rec *record) {
	org := m.org(rec.Organisation)
	org.queue = slices.DeleteFunc(org.queue, func(other *record) bool { return other == rec })
	m.queued--
}

func (m *Machine) refuse(now time.Duration, rec *record, kind, message string) {
	rec.state = Refused
	m.recordEnd(now, rec)
	m.emit(RefuseEffect{ID: rec.ID, Kind: kind, Message: message})
}

// recordEnd marks the start of the retention time of an ended attempt.
func (m *Machine) recordEnd(now time.Duration, rec *record) {
	rec.stateSince = now
	m.ended = append(m.ended, rec)
}
