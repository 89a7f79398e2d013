// Package admitter decides at a group's leader which attempts wait, start, are
// refused or revoked: a bounded queue with fair shares per organisation,
// priorities and deadlines, and a table that keeps each attempt's fate.
//
// # Usage
//
// The side process owns one Machine and executes the effects; it asks the
// group's grants right before it calls Update with a StartMsg:
//
//	effects := m.Update(now, admitter.SubmitMsg{Attempt: attempt})
//	if membership.MayDispatch(now) {
//		effects = m.Update(now, admitter.StartMsg{})
//	}
//
// An attempt that was refused or revoked can never start later: its identity
// stays in the table for the retention time, which must exceed the longest
// time a message can be under way.
package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is the fate of an attempt so far.
type State string

// The states of an attempt.
const (
	Unknown State = ""
	Queued  State = "queued"
	Running State = "running"
	Done    State = "done"
	Refused State = "refused" // Refused means that it did not run and never will.
)

// Kinds of refusals.
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

// Attempt is what admission needs to know of one try.
type Attempt struct {
	ID           string
	Organisation string
	Fingerprint  string
	Priority     int           // Priority is higher for more urgent work.
	Deadline     time.Duration // Deadline is when the answer must have begun; 0 means none.
	Suspect      bool          // Suspect marks a fingerprint that ran where a replica crashed.
}

type item struct {
	Attempt
	state   State
	seq     int
	since   time.Duration
	started time.Duration
}

type share struct {
	weight  int
	limit   int
	running int
	virtual float64
	queue   []*item
	active  time.Duration // active is until when it counts as active.
	await   time.Duration // await is until when urgent attempts are expected.
}

// Machine is the admission of one group. It is not safe for concurrent use.
type Machine struct {
	options  options
	items    map[string]*item
	ended    []*item
	shares   map[string]*share
	held     map[string]bool
	parallel int
	running  int
	queued   int
	suspects int
	seq      int
	virtual  float64
	weights  int // weights sums those of the active organisations.
	service  time.Duration
	closed   string
	effects  []Effect
}

// New returns an empty admission.
func New(opts ...Option) *Machine {
	m := &Machine{options: defaults(), items: map[string]*item{}, shares: map[string]*share{}, held: map[string]bool{}}
	for _, opt := range opts {
		opt(&m.options)
	}
	m.parallel = m.options.parallel
	m.service = m.options.service
	m.closed = RefusedNotServing
	return m
}

// Running returns the number of attempts at the endpoint.
func (m *Machine) Running() int { return m.running }

// QueuedAhead returns the number of waiting attempts that one of an organisation
// within its share would wait for.
func (m *Machine) QueuedAhead() int {
	n := 0
	for _, s := range m.shares {
		if s.weight >= m.weights || m.within(s) {
			n += len(s.queue)
		}
	}
	return n
}

// ConcurrencyLimit returns how many attempts may run at once.
func (m *Machine) ConcurrencyLimit() int { return m.parallel }

// State returns the fate of an attempt.
func (m *Machine) State(id string) State {
	if it, ok := m.items[id]; ok {
		return it.state
	}
	return Unknown
}

// Retention returns how long an ended attempt's identity is kept.
func (m *Machine) Retention() time.Duration { return m.options.retention }

// ServiceTime returns the estimate of an attempt's running time.
func (m *Machine) ServiceTime() time.Duration { return m.service }

// Fingerprints returns those of the attempts that run now, sorted.
func (m *Machine) Fingerprints() []string {
	var list []string
	for _, it := range m.items {
		if it.state == Running && it.Fingerprint != "" {
			list = append(list, it.Fingerprint)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Update takes one message and returns the effects to execute.
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
		m.closed = ""
	case CloseMsg:
		m.close(now, msg.Reason)
	case AbortAllMsg:
		m.cut(now)
	case LimitsMsg:
		m.limits(msg)
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) share(organisation string) *share {
	s, ok := m.shares[organisation]
	if !ok {
		s = &share{weight: 1}
		m.shares[organisation] = s
	}
	return s
}

func (m *Machine) submit(now time.Duration, attempt Attempt) {
	if existing, ok := m.items[attempt.ID]; ok {
		if existing.state == Refused {
			m.emit(RefuseEffect{ID: attempt.ID, Kind: RefusedRevoked, Message: "the attempt was refused before; use a new attempt"})
			return
		}
		m.emit(DuplicateEffect{ID: attempt.ID, State: existing.state})
		return
	}
	it := &item{Attempt: attempt, since: now, seq: m.seq}
	m.seq++
	m.items[attempt.ID] = it
	if it.Priority > 0 {
		m.share(it.Organisation).await = now + activeFor
	}
	if kind, message := m.refusal(now, it); kind != "" {
		m.refuse(now, it, kind, message)
		return
	}
	m.enqueue(it)
	if m.queued > m.options.queue {
		m.shed(now)
	}
}

func (m *Machine) refusal(now time.Duration, it *item) (kind, message string) {
	switch {
	case m.closed != "":
		return m.closed, "the group takes no new work; try another group"
	case m.held[it.Fingerprint]:
		return RefusedRequestHeld, "the request crashed replicas and is held; change it or ask an operator to lift the hold"
	case it.Deadline > 0 && now+m.wait(now, it) > it.Deadline:
		return RefusedDeadline, "the answer can not begin before the deadline; retry later or with a later deadline"
	}
	return "", ""
}

// wait estimates the time until an attempt starts: by how many attempts come
// before it in the fair order of organisations.
func (m *Machine) wait(now time.Duration, it *item) time.Duration {
	if m.running+m.queued < m.parallel {
		return 0
	}
	s := m.share(it.Organisation)
	ahead := 0
	for _, queued := range s.queue {
		ahead += btoi(before(queued, it))
	}
	if ahead == 0 && m.running < m.parallel && !m.reserved(s) && !m.keptForUrgent(now, s, it) {
		return 0
	}
	tag := max(s.virtual, m.virtual) + float64(ahead)/float64(s.weight)
	for _, other := range m.shares {
		if other == s || (m.within(s) && !m.within(other)) {
			continue
		}
		sooner := int(math.Ceil((tag - other.virtual) * float64(other.weight)))
		ahead += min(len(other.queue), max(0, sooner))
	}
	return m.service * time.Duration(ahead+1) / time.Duration(max(1, m.parallel))
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// before orders the queue of one organisation.
func before(a, b *item) bool {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq)) < 0
}

func (m *Machine) enqueue(it *item) {
	it.state = Queued
	s := m.share(it.Organisation)
	if len(s.queue) == 0 && s.running == 0 {
		s.virtual = max(s.virtual, m.virtual)
	}
	at, _ := slices.BinarySearchFunc(s.queue, it, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq))
	})
	s.queue = slices.Insert(s.queue, at, it)
	m.queued++
}

// shed refuses the last of the organisation that holds most of the queue for
// its weight.
func (m *Machine) shed(now time.Duration) {
	var worst *share
	worstName := ""
	for name, s := range m.shares {
		if len(s.queue) == 0 {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(len(s.queue)*worst.weight, len(worst.queue)*s.weight), cmp.Compare(name, worstName)) > 0 {
			worst, worstName = s, name
		}
	}
	last := worst.queue[len(worst.queue)-1]
	m.dequeue(last)
	m.refuse(now, last, RefusedOverloaded, "the queue is full; retry after a pause")
}

func (m *Machine) dequeue(it *item) {
	s := m.share(it.Organisation)
	s.queue = slices.DeleteFunc(s.queue, func(other *item) bool { return other == it })
	m.queued--
}

func (m *Machine) refuse(now time.Duration, it *item, kind, message string) {
	it.state = Refused
	m.end(now, it)
	m.emit(RefuseEffect{ID: it.ID, Kind: kind, Message: message})
}

func (m *Machine) end(now time.Duration, it *item) {
	it.since = now
	m.ended = append(m.ended, it)
}
