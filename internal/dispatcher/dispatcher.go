// Package dispatcher is the state machine of one request at an entry: it chooses
// a group, claims the idempotency key, reattaches after a connection loss,
// retries or resumes on other groups, and decides the verdict.
//
// # Usage
//
// The entry creates one Machine for each request. It calls Update with StartMsg,
// executes the effects, and feeds their outcomes back until FinishEffect:
//
//	m := dispatcher.New(dispatcher.Request{ID: id, Repeatable: true}, newAttemptID)
//	effects := m.Update(now, dispatcher.StartMsg{})
//
// A verdict is never a guess: NotRun is returned only after a refusal, a failure
// before the first byte was sent, or a revocation that the group's leader
// confirmed.
package dispatcher

import (
	"time"

	"papayaseam/internal/messenger"
)

// Verdict says whether a request ran, as far as that is known for certain.
type Verdict string

// The verdicts.
const (
	Answered   Verdict = "answered"     // The caller received the complete response.
	NotRun     Verdict = "not-run"      // No attempt of the request ran.
	MayHaveRun Verdict = "may-have-run" // An attempt of the request may have run.
)

// Request holds the properties of a request that the machine depends on.
type Request struct {
	ID              string
	Organisation    string
	IdempotencyKey  string // IdempotencyKey is set by the caller, or empty.
	Fingerprint     string
	Repeatable      bool          // Repeatable means that the request may run more than once.
	CrashedReplicas int           // CrashedReplicas is the known number of replicas that crashed while running it.
	Deadline        time.Duration // Deadline is a time on the clock of Update, or 0.
}

// Target is the group that an attempt is sent to.
type Target struct {
	Group       string
	Address     string
	Epoch       int
	Incarnation string
}

type phase int

const (
	choosing  phase = iota // waiting for a target
	claiming               // waiting for the claim of the idempotency key
	sending                // receiving the response on the attempt's first connection
	attaching              // receiving the response on a later connection
	revoking               // waiting for the outcome of a revocation
	reporting              // waiting for the outcome of a crash report
	finished
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	options           options
	request           Request
	newAttemptID      func() string
	phase             phase
	target            Target
	attemptID         string
	previousAttemptID string // previousAttemptID names an attempt that certainly did not run.
	offset            int    // offset is the number of response bytes delivered from the current attempt.
	reattachments     int
	disconnectedSince time.Duration // disconnectedSince is when the connection to the attempt was lost, or 0.
	crashedReplicas   int
	attemptCount      int
	excluded          map[string]bool
	leaderResponded   bool // leaderResponded is set once the leader sent a frame of the current attempt.
	freeRetry         bool // freeRetry is set while the next attempt needs no retry budget.
	mayHaveRun        bool // mayHaveRun is set once any attempt may have run.
	followsEarlier    bool // followsEarlier is set while the attempt belongs to an earlier request with the same key.
	stopping          bool // stopping is set once this process is about to end.
	lastErrorKind     string
	lastErrorMessage  string
	effects           []Effect
}

// New returns the machine of a request; newAttemptID generates the IDs of its
// attempts.
func New(request Request, newAttemptID func() string, opts ...Option) *Machine {
	m := &Machine{options: defaults(), request: request, newAttemptID: newAttemptID, excluded: map[string]bool{}, crashedReplicas: request.CrashedReplicas}
	for _, opt := range opts {
		opt(&m.options)
	}
	return m
}

// AttemptID returns the ID of the current attempt.
func (m *Machine) AttemptID() string { return m.attemptID }

// AttemptCount returns how many attempts were sent.
func (m *Machine) AttemptCount() int { return m.attemptCount }

// Update processes one message and returns the effects to execute.
func (m *Machine) Update(now time.Duration, msg Msg) []Effect {
	m.effects = nil
	if m.phase == finished {
		return nil
	}
	switch msg := msg.(type) {
	case StartMsg:
		m.start(now)
	case ChosenMsg:
		m.handleChosen(msg)
	case ClaimedMsg:
		m.handleClaimed(now, msg)
	case FrameMsg:
		m.handleFrame(now, msg.Frame)
	case ConnectionLostMsg:
		m.handleConnectionLost(now, msg)
	case RevokedMsg:
		m.handleRevoked(now, msg)
	case CrashReportedMsg:
		m.handleCrashReported(now, msg)
	case CallerGoneMsg:
		m.handleCallerGone()
	case StoppingMsg:
		m.handleStopping()
	}
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) start(now time.Duration) {
	if m.isHeld() {
		m.finishHeld()
		return
	}
	m.choose(now)
}

func (m *Machine) isHeld() bool { return m.crashedReplicas >= m.options.maxCrashedReplicas }

func (m *Machine) finishHeld() {
	m.finish(NotRun, "request-held", "the request ran where replicas crashed and is held; change it or ask an operator to lift the hold")
}

func (m *Machine) choose(now time.Duration) {
	if m.request.Deadline > 0 && now > m.request.Deadline && m.offset == 0 {
		m.finish(NotRun, "deadline", "the deadline passed before the answer began; retry with a later deadline")
		return
	}
	m.phase = choosing
	m.emit(ChooseEffect{Excluded: m.cloneExcluded(), Retry: m.attemptCount > 0 && !m.freeRetry})
}

// cloneExcluded returns a copy, since effects outlive the call of Update.
func (m *Machine) cloneExcluded() map[string]bool {
	groups := map[string]bool{}
	for group := range m.excluded {
		groups[group] = true
	}
	return groups
}

func (m *Machine) handleChosen(msg ChosenMsg) {
	if m.phase != choosing {
		return
	}
	if msg.Kind != "" {
		m.finishWithoutGroup(msg.Kind, msg.Message)
		return
	}
	m.target = msg.Target
	m.attemptID = m.newAttemptID()
	if m.request.IdempotencyKey == "" {
		m.sendAttempt()
		return
	}
	m.phase = claiming
	m.emit(ClaimEffect{Request: messenger.ClaimRequest{
		Organisation: m.request.Organisation, Key: m.request.IdempotencyKey, Fingerprint: m.request.Fingerprint,
		Attempt: m.attemptID, Group: m.target.Group, Address: m.target.Address,
		Token: m.target.Incarnation, Previous: m.previousAttemptID,
	}})
}

// finishWithoutGroup ends the request because no group can take it. If a group
// refused it before, the error is that of the last refusal.
func (m *Machine) finishWithoutGroup(kind, message string) {
	if m.lastErrorKind != "" {
		kind, message = m.lastErrorKind, m.lastErrorMessage
	}
	m.finish(NotRun, kind, message)
}

func (m *Machine) sendAttempt() {
	m.phase = sending
	m.attemptCount++
	m.reattachments = 0
	m.disconnectedSince = 0
	m.offset = 0
	m.leaderResponded = false
	m.freeRetry = false
	m.emit(SendEffect{Target: m.target, Attempt: m.attemptID, Suspect: m.crashedReplicas > 0})
}

// handleClaimed sends the attempt if the claim was granted, or else follows the
// attempt that holds the claim.
func (m *Machine) handleClaimed(now time.Duration, msg ClaimedMsg) {
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
		m.sendAttempt()
	default:
		m.followEarlierAttempt(now, answer)
	}
}

// followEarlierAttempt attaches to the attempt of an earlier request with the
// same key.
func (m *Machine) followEarlierAttempt(now time.Duration, answer messenger.ClaimAnswer) {
	m.followsEarlier = true
	m.attemptID = answer.Attempt
	m.target = Target{Group: answer.Group, Address: answer.Address, Incarnation: answer.Token}
	m.offset = 0
	m.disconnectedSince = now
	m.attach()
}

func (m *Machine) attach() {
	m.phase = attaching
	m.reattachments++
	m.emit(AttachEffect{Target: m.target, Attempt: m.attemptID, Offset: m.offset, Pause: m.reattachments > 1})
}

// handleFrame delivers a part of the response. The caller of Update has checked
// the digest in the final frame. A frame of another attempt or at an unexpected
// offset is not delivered, but handled like a lost connection.
func (m *Machine) handleFrame(now time.Duration, frame messenger.Frame) {
	if m.phase != sending && m.phase != attaching {
		return
	}
	if frame.Attempt != m.attemptID || (len(frame.Data) > 0 && frame.Offset != m.offset) {
		m.handleConnectionLost(now, ConnectionLostMsg{Sent: true})
		return
	}
	m.disconnectedSince = 0
	m.leaderResponded = true
	if len(frame.Data) > 0 || frame.Status > 0 {
		m.offset += len(frame.Data)
		m.emit(DeliverEffect{Frame: frame})
	}
	if frame.Final {
		m.handleFinalFrame(now, frame)
	}
}

// handleFinalFrame acts on the verdict of the current attempt.
func (m *Machine) handleFinalFrame(now time.Duration, frame messenger.Frame) {
	switch Verdict(frame.Verdict) {
	case Answered:
		if frame.Length != m.offset {
			m.handleMayHaveRun(now, "answer-broken", "the answer ended short")
			return
		}
		m.finish(Answered, "", "")
	case NotRun:
		m.handleNotRun(now, frame.Kind, frame.Message)
	default:
		if frame.Kind == "endpoint-crashed" && m.request.Fingerprint != "" {
			m.handleCrash(frame.Replica)
			return
		}
		m.handleMayHaveRun(now, frame.Kind, frame.Message)
	}
}

// handleNotRun tries another group after an attempt that certainly did not run.
// It ends the request if its deadline passed or the request is held.
func (m *Machine) handleNotRun(now time.Duration, kind, message string) {
	m.previousAttemptID = m.attemptID
	m.followsEarlier = false
	m.lastErrorKind, m.lastErrorMessage = kind, message
	if kind == "deadline" || kind == "request-held" {
		m.finish(NotRun, kind, message)
		return
	}
	m.excluded[m.target.Group] = true
	m.emit(ReportRefusalEffect{Target: m.target, Kind: kind})
	m.choose(now)
}

// handleCrash reports the fingerprint of a request whose endpoint crashed. The
// request is not sent again before the outcome of the report is known.
func (m *Machine) handleCrash(replica string) {
	m.crashedReplicas++
	m.mayHaveRun = true
	m.excluded[m.target.Group] = true
	m.phase = reporting
	m.emit(ReportCrashEffect{Replica: replica, Fingerprint: m.request.Fingerprint})
}

func (m *Machine) handleCrashReported(now time.Duration, msg CrashReportedMsg) {
	if m.phase != reporting {
		return
	}
	m.crashedReplicas = max(m.crashedReplicas, msg.CrashedReplicas)
	if m.isHeld() {
		m.finish(MayHaveRun, "request-held", "the request ran where replicas crashed and is held; change it or ask an operator to lift the hold")
		return
	}
	m.handleMayHaveRun(now, "endpoint-crashed", "the endpoint crashed")
}

// handleCallerGone cancels the current attempt and ends the request after its
// caller disconnected.
func (m *Machine) handleCallerGone() {
	if m.phase == sending || m.phase == attaching {
		m.emit(RevokeEffect{Target: m.target, Attempt: m.attemptID, Cancel: true})
	}
	m.finish(MayHaveRun, "caller-gone", "the caller closed the connection")
}

// finish ends the request. The verdict can not be NotRun if any attempt may have
// run.
func (m *Machine) finish(verdict Verdict, kind, message string) {
	if verdict == NotRun && m.mayHaveRun {
		verdict = MayHaveRun
	}
	m.phase = finished
	m.emit(FinishEffect{Verdict: verdict, Kind: kind, Message: message})
}
