// Package dispatcher decides at an entry what happens to one request: the
// choice of a group, the claim of a keyed request, re-attachment after silence,
// retries, resumption elsewhere, and the verdict.
//
// # Usage
//
// The entry owns one Machine for each request. It calls Update with StartMsg,
// executes the effects, and feeds their outcomes back until FinishEffect:
//
//	m := dispatcher.New(dispatcher.Request{ID: id, Repeatable: true}, newAttemptID)
//	effects := m.Update(now, dispatcher.StartMsg{})
//
// A verdict is never a guess: NotRun is said only after a refusal, a failure
// before the first byte left, or a revocation that the group's leader confirmed.
package dispatcher

import (
	"time"

	"papayaseam/internal/messenger"
)

// Verdict tells what is certain about a request.
type Verdict string

// The verdicts.
const (
	Answered   Verdict = "answered"
	NotRun     Verdict = "not-run"
	MayHaveRun Verdict = "may-have-run"
)

// Request is what the decisions depend on.
type Request struct {
	ID           string
	Organisation string
	IdempotencyKey          string // Key is the caller's idempotency key, or empty.
	Fingerprint  string
	Repeatable   bool
	CrashedReplicas      int // Crashes is the known number of replicas that crashed under it.
	Deadline     time.Duration
}

// Target is a group to send an attempt to.
type Target struct {
	Group       string
	Address     string
	Epoch       int
	Incarnation string
}

type phase int

const (
	choosing phase = iota
	claiming
	sending
	attaching
	revoking
	reporting
	finished
)

// Machine is one request's way. It is not safe for concurrent use.
type Machine struct {
	options   options
	request   Request
	newID     func() string
	phase     phase
	target    Target
	attempt   string
	previous  string // previous is an attempt that is certain not to have run.
	offset    int
	attaches  int
	lostSince time.Duration
	crashes   int
	tries     int
	excluded  map[string]bool
	heard     bool // heard is set once the leader answered the current attempt.
	free      bool // free is set while the next try needs no retry budget.
	mayHave   bool // mayHave is set once any attempt may have run.
	foreign   bool // foreign marks an attempt of an earlier request with the same key.
	lastKind  string
	lastText  string
	effects   []Effect
}

// New returns the way of a request; newID names its attempts.
func New(request Request, newID func() string, opts ...Option) *Machine {
	m := &Machine{options: defaults(), request: request, newID: newID, excluded: map[string]bool{}, crashes: request.CrashedReplicas}
	for _, opt := range opts {
		opt(&m.options)
	}
	return m
}

// AttemptID returns the current attempt's identity.
func (m *Machine) AttemptID() string { return m.attempt }

// AttemptCount returns how many attempts were sent.
func (m *Machine) AttemptCount() int { return m.tries }

// Update takes one message and returns the effects to execute.
func (m *Machine) Update(now time.Duration, msg Msg) []Effect {
	m.effects = nil
	if m.phase == finished {
		return nil
	}
	switch msg := msg.(type) {
	case StartMsg:
		m.begin(now)
	case ChosenMsg:
		m.chosen(msg)
	case ClaimedMsg:
		m.claimed(now, msg)
	case FrameMsg:
		m.frame(now, msg.Frame)
	case ConnectionLostMsg:
		m.broken(now, msg)
	case RevokedMsg:
		m.revoked(now, msg)
	case CrashReportedMsg:
		m.reported(now, msg)
	case CallerGoneMsg:
		m.gone()
	}
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) begin(now time.Duration) {
	if m.held() {
		m.finishHeld()
		return
	}
	m.choose(now)
}

func (m *Machine) held() bool { return m.crashes >= m.options.crashes }

func (m *Machine) finishHeld() {
	m.finish(NotRun, "request-held", "the request ran where replicas crashed and is held; change it or ask an operator to lift the hold")
}

func (m *Machine) choose(now time.Duration) {
	if m.request.Deadline > 0 && now > m.request.Deadline && m.offset == 0 {
		m.finish(NotRun, "deadline", "the deadline passed before the answer began; retry with a later deadline")
		return
	}
	m.phase = choosing
	m.emit(ChooseEffect{Excluded: m.excludedGroups(), Retry: m.tries > 0 && !m.free})
}

func (m *Machine) excludedGroups() map[string]bool {
	groups := map[string]bool{}
	for group := range m.excluded {
		groups[group] = true
	}
	return groups
}

func (m *Machine) chosen(msg ChosenMsg) {
	if m.phase != choosing {
		return
	}
	if msg.Kind != "" {
		m.finishLast(msg.Kind, msg.Message)
		return
	}
	m.target = msg.Target
	m.attempt = m.newID()
	if m.request.IdempotencyKey == "" {
		m.send()
		return
	}
	m.phase = claiming
	m.emit(ClaimEffect{Request: messenger.ClaimRequest{
		Organisation: m.request.Organisation, Key: m.request.IdempotencyKey, Fingerprint: m.request.Fingerprint,
		Attempt: m.attempt, Group: m.target.Group, Address: m.target.Address,
		Token: m.target.Incarnation, Previous: m.previous,
	}})
}

// finishLast ends the request for want of a group, with the reason of the
// last refusal where there was one.
func (m *Machine) finishLast(kind, message string) {
	if m.lastKind != "" {
		kind, message = m.lastKind, m.lastText
	}
	m.finish(NotRun, kind, message)
}

func (m *Machine) send() {
	m.phase = sending
	m.tries++
	m.attaches = 0
	m.lostSince = 0
	m.offset = 0
	m.heard = false
	m.free = false
	m.emit(SendEffect{Target: m.target, Attempt: m.attempt, Suspect: m.crashes > 0})
}

// claimed goes on with the claim, or follows the attempt that holds it.
func (m *Machine) claimed(now time.Duration, msg ClaimedMsg) {
	if m.phase != claiming {
		return
	}
	answer := msg.Answer
	switch {
	case msg.Failed:
		m.finish(NotRun, "claim-unavailable", "the claim of the idempotency key could not be committed; retry with the same key")
	case answer.Conflict:
		m.finish(NotRun, answer.Kind, answer.Message)
	case answer.Granted:
		m.send()
	default:
		m.follow(now, answer)
	}
}

// follow attaches to the attempt of an earlier request with the same key.
func (m *Machine) follow(now time.Duration, answer messenger.ClaimAnswer) {
	m.foreign = true
	m.attempt = answer.Attempt
	m.target = Target{Group: answer.Group, Address: answer.Address, Incarnation: answer.Token}
	m.offset = 0
	m.lostSince = now
	m.attach()
}

func (m *Machine) attach() {
	m.phase = attaching
	m.attaches++
	m.emit(AttachEffect{Target: m.target, Attempt: m.attempt, Offset: m.offset, Pause: m.attaches > 1})
}

// frame takes a piece of the answer, whose digest the owner has checked where
// it is the last one. A break in attempt or offset is treated
// like a broken connection, never passed on.
func (m *Machine) frame(now time.Duration, frame messenger.Frame) {
	if m.phase != sending && m.phase != attaching {
		return
	}
	if frame.Attempt != m.attempt || (len(frame.Data) > 0 && frame.Offset != m.offset) {
		m.broken(now, ConnectionLostMsg{Sent: true})
		return
	}
	m.lostSince = 0
	m.heard = true
	if len(frame.Data) > 0 || frame.Status > 0 {
		m.offset += len(frame.Data)
		m.emit(DeliverEffect{Frame: frame})
	}
	if frame.Final {
		m.ended(now, frame)
	}
}

func (m *Machine) ended(now time.Duration, frame messenger.Frame) {
	switch Verdict(frame.Verdict) {
	case Answered:
		if frame.Length != m.offset {
			m.lost(now, "answer-broken", "the answer ended short")
			return
		}
		m.finish(Answered, "", "")
	case NotRun:
		m.notRun(now, frame.Kind, frame.Message)
	default:
		if frame.Kind == "endpoint-crashed" && m.request.Fingerprint != "" {
			m.crashed(frame.Replica)
			return
		}
		m.lost(now, frame.Kind, frame.Message)
	}
}

// notRun goes on elsewhere after a certain "not run".
func (m *Machine) notRun(now time.Duration, kind, message string) {
	m.previous = m.attempt
	m.foreign = false
	m.lastKind, m.lastText = kind, message
	if kind == "deadline" || kind == "request-held" {
		m.finish(NotRun, kind, message)
		return
	}
	m.excluded[m.target.Group] = true
	m.emit(ReportRefusalEffect{Target: m.target, Kind: kind})
	m.choose(now)
}

// crashed reports the fingerprint before the request may run again.
func (m *Machine) crashed(replica string) {
	m.crashes++
	m.mayHave = true
	m.excluded[m.target.Group] = true
	m.phase = reporting
	m.emit(ReportCrashEffect{Replica: replica, Fingerprint: m.request.Fingerprint})
}

func (m *Machine) reported(now time.Duration, msg CrashReportedMsg) {
	if m.phase != reporting {
		return
	}
	m.crashes = max(m.crashes, msg.CrashedReplicas)
	if m.held() {
		m.finish(MayHaveRun, "request-held", "the request ran where replicas crashed and is held; change it or ask an operator to lift the hold")
		return
	}
	m.lost(now, "endpoint-crashed", "the endpoint crashed")
}

// gone ends the request when its caller has left.
func (m *Machine) gone() {
	if m.phase == sending || m.phase == attaching {
		m.emit(RevokeEffect{Target: m.target, Attempt: m.attempt, Cancel: true})
	}
	m.finish(MayHaveRun, "caller-gone", "the caller closed the connection")
}

func (m *Machine) finish(verdict Verdict, kind, message string) {
	if verdict == NotRun && m.mayHave {
		verdict = MayHaveRun
	}
	m.phase = finished
	m.emit(FinishEffect{Verdict: verdict, Kind: kind, Message: message})
}
