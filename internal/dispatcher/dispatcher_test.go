package dispatcher_test

import (
	"testing"
	"time"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// sent returns a request whose first attempt is under way.
func sent(request dispatcher.Request, opts ...dispatcher.Option) *dispatcher.Machine {
	m := dispatcher.New(request, func() string { return "a1" }, opts...)
	m.Update(0, dispatcher.StartMsg{})
	m.Update(0, dispatcher.ChosenMsg{Target: dispatcher.Target{Group: "g", Address: "g"}})
	return m
}

func frame(offset int, data string) dispatcher.FrameMsg {
	return dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: "a1", Offset: offset, Data: []byte(data)}}
}

func TestGapInAnAnswerIsNeverPassedOn(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r"})
	m.Update(0, frame(0, "abc"))
	effects := m.Update(0, frame(5, "fg"))
	attach, ok := effects[0].(dispatcher.AttachEffect)
	assert.Assert(t, ok, "%T", effects[0])
	assert.Equal(t, attach.Offset, 3)
}

func TestNeighboursFrameIsNeverPassedOn(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r"})
	effects := m.Update(0, dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: "b7", Data: []byte("x")}})
	_, ok := effects[0].(dispatcher.AttachEffect)
	assert.Assert(t, ok, "%T", effects[0])
}

func TestShortAnswerIsNoAnswer(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r"})
	m.Update(0, frame(0, "abc"))
	last := messenger.Frame{Attempt: "a1", Final: true, Verdict: "answered", Length: 9}
	effects := m.Update(0, dispatcher.FrameMsg{Frame: last})
	assert.Equal(t, effects[0].(dispatcher.FinishEffect).Verdict, dispatcher.MayHaveRun)
}

// TestCrashingRequestStopsAfterTwoReplicas lets every endpoint crash.
func TestCrashingRequestStopsAfterTwoReplicas(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r", Repeatable: true, Fingerprint: "f"})
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

func TestUnreachableLeaderMeansNotRunAndAnotherTry(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r"})
	effects := m.Update(0, dispatcher.ConnectionLostMsg{})
	choose, ok := effects[1].(dispatcher.ChooseEffect)
	assert.Assert(t, ok, "%T", effects[1])
	assert.Assert(t, choose.Excluded["g"])
}

// lostChoice lets the current attempt end with its group and returns the
// choice that follows.
func lostChoice(m *dispatcher.Machine) dispatcher.ChooseEffect {
	end := messenger.Frame{Attempt: "a1", Final: true, Verdict: "may-have-run", Kind: "group-incomplete"}
	effects := m.Update(0, dispatcher.FrameMsg{Frame: end})
	return effects[len(effects)-1].(dispatcher.ChooseEffect)
}

func TestTakenAttemptIsReplacedWithoutBudget(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r", Repeatable: true})
	m.Update(0, frame(0, "abc"))
	assert.Assert(t, !lostChoice(m).Retry)
}

// lastChoice returns the choice among the effects, which comes last.
func lastChoice(t *testing.T, effects []dispatcher.Effect) dispatcher.ChooseEffect {
	t.Helper()
	choose, ok := effects[len(effects)-1].(dispatcher.ChooseEffect)
	assert.Assert(t, ok, "%T", effects[len(effects)-1])
	return choose
}

func TestRefusedAttemptNeedsBudget(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r", Repeatable: true})
	refusal := messenger.Frame{Attempt: "a1", Final: true, Verdict: "not-run", Kind: "overloaded"}
	assert.Assert(t, lastChoice(t, m.Update(0, dispatcher.FrameMsg{Frame: refusal})).Retry)
}

// TestAttemptThatNeverLeftNeedsBudgetOnlyAgain lets two groups be unreachable,
// the first of them twice.
func TestAttemptThatNeverLeftNeedsBudgetOnlyAgain(t *testing.T) {
	m := sent(dispatcher.Request{ID: "r"})
	assert.Assert(t, !lastChoice(t, m.Update(0, dispatcher.ConnectionLostMsg{})).Retry)
	for _, group := range []string{"h", "g"} {
		m.Update(0, dispatcher.ChosenMsg{Target: dispatcher.Target{Group: group, Address: group}})
		choose := lastChoice(t, m.Update(0, dispatcher.ConnectionLostMsg{}))
		assert.Equal(t, choose.Retry, group == "g", group)
	}
}

// refused breaks the connection of a sent attempt; then the leader's process
// is gone.
func refused(m *dispatcher.Machine) []dispatcher.Effect {
	m.Update(0, dispatcher.ConnectionLostMsg{Sent: true})
	return m.Update(time.Millisecond, dispatcher.ConnectionLostMsg{Sent: true, ConnectionRefused: true})
}

func TestRepeatableRequestGoesElsewhereAtOnceWhenTheLeaderIsGone(t *testing.T) {
	choose := lastChoice(t, refused(sent(dispatcher.Request{ID: "r", Repeatable: true})))
	assert.Assert(t, choose.Excluded["g"])
	assert.Assert(t, !choose.Retry)
}

func TestUnrepeatableRequestLooksForItsAttemptWhenTheLeaderIsGone(t *testing.T) {
	for _, request := range []dispatcher.Request{{ID: "r"}, {ID: "r", Repeatable: true, IdempotencyKey: "k"}} {
		m := sent(request)
		m.Update(0, dispatcher.ClaimedMsg{Answer: messenger.ClaimAnswer{Granted: true}})
		effects := refused(m)
		_, ok := effects[0].(dispatcher.AttachEffect)
		assert.Assert(t, ok, "%T", effects[0])
	}
}

// TestLostGroupIsAvoidedByOtherRequests tells the router of a group that ended
// under a request, so that the entry's others need not find out for themselves.
func TestLostGroupIsAvoidedByOtherRequests(t *testing.T) {
	for kind, avoided := range map[string]bool{"group-incomplete": true, "answer-broken": false} {
		m := sent(dispatcher.Request{ID: "r", Repeatable: true})
		end := messenger.Frame{Attempt: "a1", Final: true, Verdict: "may-have-run", Kind: kind}
		found := false
		for _, effect := range m.Update(0, dispatcher.FrameMsg{Frame: end}) {
			_, ok := effect.(dispatcher.ReportRefusalEffect)
			found = found || ok
		}
		assert.Equal(t, found, avoided, kind)
	}
}
