package dispatcher_test

import (
	"testing"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// verdictOfStop ends a request whose entry stops. If the machine revokes an attempt
// first, the leader gives the answer.
func verdictOfStop(t *testing.T, m *dispatcher.Machine, answer dispatcher.RevokedMsg) dispatcher.FinishEffect {
	t.Helper()
	effects := m.Update(0, dispatcher.StoppingMsg{})
	if revoke, ok := effects[0].(dispatcher.RevokeEffect); ok {
		assert.Assert(t, revoke.Await)
		effects = m.Update(0, answer)
	}
	assert.Equal(t, len(effects), 1)
	finish := effects[0].(dispatcher.FinishEffect)
	assert.Equal(t, finish.Kind, "draining")
	return finish
}

// Guards against a verdict of a stopping entry that is a guess.
func TestStoppingEntryKnowsWhatRan(t *testing.T) {
	sent := dispatcher.Request{ID: "r", Repeatable: true}
	for _, c := range []struct {
		name    string
		request dispatcher.Request
		before  []dispatcher.Msg
		answer  dispatcher.RevokedMsg
		verdict dispatcher.Verdict
	}{
		{"it waited at its group", sent, nil, dispatcher.RevokedMsg{NotRun: true}, dispatcher.NotRun},
		{"it ran", sent, nil, dispatcher.RevokedMsg{State: "running"}, dispatcher.MayHaveRun},
		{"the leader is silent", sent, nil, dispatcher.RevokedMsg{Failed: true}, dispatcher.MayHaveRun},
		{
			"a later attempt waited",
			sent,
			[]dispatcher.Msg{
				dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: "a1", Final: true, Verdict: "may-have-run", Kind: "group-incomplete"}},
				dispatcher.ChosenMsg{Target: dispatcher.Target{Group: "h", Address: "h"}},
			},
			dispatcher.RevokedMsg{NotRun: true},
			dispatcher.MayHaveRun,
		},
		{
			"it was refused and looks for a group",
			sent,
			[]dispatcher.Msg{dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: "a1", Final: true, Verdict: "not-run", Kind: "overloaded"}}},
			dispatcher.RevokedMsg{},
			dispatcher.NotRun,
		},
		{"its key is being claimed", dispatcher.Request{ID: "r", IdempotencyKey: "k"}, nil, dispatcher.RevokedMsg{}, dispatcher.NotRun},
		{
			"it follows an earlier request",
			dispatcher.Request{ID: "r", IdempotencyKey: "k"},
			[]dispatcher.Msg{dispatcher.ClaimedMsg{Answer: messenger.ClaimAnswer{Attempt: "a0", Group: "g", Address: "g"}}},
			dispatcher.RevokedMsg{NotRun: true},
			dispatcher.MayHaveRun,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newSentMachine(c.request)
			for _, msg := range c.before {
				m.Update(0, msg)
			}
			assert.Equal(t, verdictOfStop(t, m, c.answer).Verdict, c.verdict)
		})
	}
}

// Guards against a stop that ends work whose answer its caller can still get by key.
func TestStoppingEntryCancelsOnlyWorkWithoutKey(t *testing.T) {
	for key, cancels := range map[string]bool{"": true, "k": false} {
		m := newSentMachine(dispatcher.Request{ID: "r", IdempotencyKey: key})
		if key != "" {
			m.Update(0, dispatcher.ClaimedMsg{Answer: messenger.ClaimAnswer{Granted: true}})
		}
		effects := m.Update(0, dispatcher.StoppingMsg{})
		assert.Equal(t, effects[0].(dispatcher.RevokeEffect).Cancel, cancels, key)
	}
}
