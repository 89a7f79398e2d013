package dispatcher_test

import (
	"testing"
	"time"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// newSentMachine returns a machine whose first attempt, a1, was sent to group g
// (or, with an idempotency key, waits for its claim).
func newSentMachine(request dispatcher.Request, opts ...dispatcher.Option) *dispatcher.Machine {
	m := dispatcher.New(request, func() string { return "a1" }, opts...)
	m.Update(0, dispatcher.StartMsg{})
	m.Update(0, dispatcher.ChosenMsg{Target: dispatcher.Target{Group: "g", Address: "g"}})
	return m
}

// dataFrame returns a frame of attempt a1 that carries a part of the response.
func dataFrame(offset int, data string) dispatcher.FrameMsg {
	return dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: "a1", Offset: offset, Data: []byte(data)}}
}

func TestGapInResponseIsNotDelivered(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r"})
	m.Update(0, dataFrame(0, "abc"))
	effects := m.Update(0, dataFrame(5, "fg"))
	attach, ok := effects[0].(dispatcher.AttachEffect)
	assert.Assert(t, ok, "%T", effects[0])
	assert.Equal(t, attach.Offset, 3)
}

func TestFrameOfOtherAttemptIsNotDelivered(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r"})
	effects := m.Update(0, dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: "b7", Data: []byte("x")}})
	_, ok := effects[0].(dispatcher.AttachEffect)
	assert.Assert(t, ok, "%T", effects[0])
}

func TestTruncatedResponseIsNotAnswered(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r"})
	m.Update(0, dataFrame(0, "abc"))
	final := messenger.Frame{Attempt: "a1", Final: true, Verdict: "answered", Length: 9}
	effects := m.Update(0, dispatcher.FrameMsg{Frame: final})
	assert.Equal(t, effects[0].(dispatcher.FinishEffect).Verdict, dispatcher.MayHaveRun)
}

// TestRequestIsHeldAfterTwoCrashedReplicas lets every endpoint that runs the
// request crash: the request must not reach a third one.
func TestRequestIsHeldAfterTwoCrashedReplicas(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r", Repeatable: true, Fingerprint: "f"})
	crash := dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: "a1", Final: true, Verdict: "may-have-run", Kind: "endpoint-crashed", Replica: "g#1"}}
	m.Update(0, crash)
	m.Update(0, dispatcher.CrashReportedMsg{CrashedReplicas: 1})
	m.Update(0, dispatcher.ChosenMsg{Target: dispatcher.Target{Group: "h", Address: "h"}})
	m.Update(0, crash)
	effects := m.Update(0, dispatcher.CrashReportedMsg{})
	assert.Equal(t, effects[0].(dispatcher.FinishEffect).Kind, "request-held")
	assert.Equal(t, m.AttemptCount(), 2)
}

func TestHeldRequestIsRefusedBeforeItRuns(t *testing.T) {
	m := dispatcher.New(dispatcher.Request{ID: "r", CrashedReplicas: 2}, func() string { return "a1" })
	effects := m.Update(0, dispatcher.StartMsg{})
	finish := effects[0].(dispatcher.FinishEffect)
	assert.Equal(t, finish.Kind, "request-held")
	assert.Equal(t, finish.Verdict, dispatcher.NotRun)
}

func TestUnreachableLeaderIsRetriedElsewhere(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r"})
	effects := m.Update(0, dispatcher.ConnectionLostMsg{})
	choose, ok := effects[1].(dispatcher.ChooseEffect)
	assert.Assert(t, ok, "%T", effects[1])
	assert.Assert(t, choose.Excluded["g"])
}

// chooseAfterGroupFailure ends the current attempt because its group failed and
// returns the choice that follows.
func chooseAfterGroupFailure(m *dispatcher.Machine) dispatcher.ChooseEffect {
	final := messenger.Frame{Attempt: "a1", Final: true, Verdict: "may-have-run", Kind: "group-incomplete"}
	effects := m.Update(0, dispatcher.FrameMsg{Frame: final})
	return effects[len(effects)-1].(dispatcher.ChooseEffect)
}

func TestAcceptedAttemptIsReplacedWithoutRetryBudget(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r", Repeatable: true})
	m.Update(0, dataFrame(0, "abc"))
	assert.Assert(t, !chooseAfterGroupFailure(m).Retry)
}

// lastChoice returns the last effect, which must be a ChooseEffect.
func lastChoice(t *testing.T, effects []dispatcher.Effect) dispatcher.ChooseEffect {
	t.Helper()
	choose, ok := effects[len(effects)-1].(dispatcher.ChooseEffect)
	assert.Assert(t, ok, "%T", effects[len(effects)-1])
	return choose
}

func TestRefusedAttemptNeedsRetryBudget(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r", Repeatable: true})
	refusal := messenger.Frame{Attempt: "a1", Final: true, Verdict: "not-run", Kind: "overloaded"}
	assert.Assert(t, lastChoice(t, m.Update(0, dispatcher.FrameMsg{Frame: refusal})).Retry)
}

// TestSecondUnsentAttemptNeedsRetryBudget makes group g unreachable, then h,
// then g again. Only the second failure of a group costs retry budget.
func TestSecondUnsentAttemptNeedsRetryBudget(t *testing.T) {
	m := newSentMachine(dispatcher.Request{ID: "r"})
	assert.Assert(t, !lastChoice(t, m.Update(0, dispatcher.ConnectionLostMsg{})).Retry)
	for _, group := range []string{"h", "g"} {
		m.Update(0, dispatcher.ChosenMsg{Target: dispatcher.Target{Group: group, Address: group}})
		choose := lastChoice(t, m.Update(0, dispatcher.ConnectionLostMsg{}))
		assert.Equal(t, choose.Retry, group == "g", group)
	}
}

// loseLeader breaks the connection of a sent attempt; reattaching then fails
// because no process listens at the leader's address.
func loseLeader(m *dispatcher.Machine) []dispatcher.Effect {
	m.Update(0, dispatcher.ConnectionLostMsg{Sent: true})
	return m.Update(time.Millisecond, dispatcher.ConnectionLostMsg{Sent: true, ConnectionRefused: true})
}

func TestRepeatableRequestLeavesGoneLeaderAtOnce(t *testing.T) {
	choose := lastChoice(t, loseLeader(newSentMachine(dispatcher.Request{ID: "r", Repeatable: true})))
	assert.Assert(t, choose.Excluded["g"])
	assert.Assert(t, !choose.Retry)
}

func TestNonRepeatableRequestReattachesToGoneLeader(t *testing.T) {
	for _, request := range []dispatcher.Request{{ID: "r"}, {ID: "r", Repeatable: true, IdempotencyKey: "k"}} {
		m := newSentMachine(request)
		m.Update(0, dispatcher.ClaimedMsg{Answer: messenger.ClaimAnswer{Granted: true}})
		effects := loseLeader(m)
		_, ok := effects[0].(dispatcher.AttachEffect)
		assert.Assert(t, ok, "%T", effects[0])
	}
}

// TestFailedGroupIsReportedToRouter checks that the router learns of a group
// that failed during a request. Otherwise every other request of the entry would
// have to find out by itself.
func TestFailedGroupIsReportedToRouter(t *testing.T) {
	for kind, unavailable := range map[string]bool{"group-incomplete": true, "answer-broken": false} {
		m := newSentMachine(dispatcher.Request{ID: "r", Repeatable: true})
		final := messenger.Frame{Attempt: "a1", Final: true, Verdict: "may-have-run", Kind: kind}
		reported := false
		for _, effect := range m.Update(0, dispatcher.FrameMsg{Frame: final}) {
			_, ok := effect.(dispatcher.ReportRefusalEffect)
			reported = reported || ok
		}
		assert.Equal(t, reported, unavailable, kind)
	}
}
