package admitter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newOpenMachine returns a Machine that admits attempts.
func newOpenMachine(opts ...Option) *Machine {
	m := New(opts...)
	m.Update(0, OpenMsg{})
	return m
}

// submitAttempts submits n attempts of one organisation and returns the IDs of all
// attempts that were refused meanwhile.
func submitAttempts(m *Machine, now time.Duration, organisation string, n int) (refused []string) {
	for range n {
		id := fmt.Sprintf("%s-%d", organisation, m.seq)
		for _, effect := range m.Update(now, SubmitMsg{Attempt: Attempt{ID: id, Organisation: organisation}}) {
			if refusal, ok := effect.(RefuseEffect); ok {
				refused = append(refused, refusal.ID)
			}
		}
	}
	return refused
}

// countStarts sends n start messages, ends every started attempt at once and
// returns the number of starts per organisation.
func countStarts(m *Machine, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		for _, effect := range m.Update(0, StartMsg{}) {
			if start, ok := effect.(StartEffect); ok {
				counts[m.records[start.ID].Organisation]++
				m.Update(0, FinishMsg{ID: start.ID})
			}
		}
	}
	return counts
}

// TestStartsAreProportionalToWeights guards against an organisation with a long
// queue taking more than its weighted share of the starts.
func TestStartsAreProportionalToWeights(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(1), WithQueueLimit(1000))
	m.Update(0, LimitsMsg{Organisations: []Organisation{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}}})
	submitAttempts(m, 0, "large", 300)
	submitAttempts(m, 0, "small", 100)
	counts := countStarts(m, 80)
	assert.Equal(t, counts["large"], 60)
	assert.Equal(t, counts["small"], 20)
}

// TestFullQueueRefusesLongestQueue guards against one organisation filling the
// queue so that the attempts of others are refused.
func TestFullQueueRefusesLongestQueue(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(1), WithQueueLimit(10))
	submitAttempts(m, 0, "large", 10)
	assert.Equal(t, len(submitAttempts(m, 0, "small", 3)), 3, "an attempt of the large organisation must be refused for each")
	assert.Equal(t, len(m.org("small").queue), 3)
	assert.Equal(t, len(m.org("large").queue), 7)
}

// TestUnreachableDeadlineIsRefusedAtOnce guards against queueing an attempt that
// cannot start before its deadline.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(1), WithServiceTime(time.Second))
	submitAttempts(m, 0, "o", 5)
	effects := m.Update(0, SubmitMsg{Attempt: Attempt{ID: "x", Organisation: "o", Deadline: 2 * time.Second}})
	assert.Equal(t, effects[0].(RefuseEffect).Kind, RefusedDeadline)
}

// TestQueuedAttemptPastDeadlineIsRefused guards against starting a queued attempt
// after its deadline.
func TestQueuedAttemptPastDeadlineIsRefused(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(1), WithServiceTime(time.Millisecond))
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "x", Organisation: "o", Deadline: time.Second}})
	effects := m.Update(2*time.Second, TickMsg{})
	assert.Equal(t, effects[0].(RefuseEffect).Kind, RefusedDeadline)
	assert.Equal(t, len(m.Update(2*time.Second, StartMsg{})), 0)
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(1))
	for i, priority := range []int{0, 5, 9} {
		m.Update(0, SubmitMsg{Attempt: Attempt{ID: fmt.Sprint(i), Organisation: "o", Priority: priority}})
	}
	effects := m.Update(0, StartMsg{})
	assert.Equal(t, effects[0].(StartEffect).ID, "2")
}

// TestLastUnitIsReservedForUrgentAttempts guards against urgent attempts waiting
// behind others of the same organisation. After an urgent attempt, the last unit
// of concurrency stays free for the next urgent one and for other organisations,
// until no urgent attempt has arrived for activityWindow.
func TestLastUnitIsReservedForUrgentAttempts(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(reserveDivisor))
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "u1", Organisation: "o", Priority: 5}})
	m.Update(0, StartMsg{})
	m.Update(0, FinishMsg{ID: "u1"})
	submitAttempts(m, 0, "o", reserveDivisor+2)
	m.Update(0, StartMsg{})
	assert.Equal(t, m.Running(), reserveDivisor-1)
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "u2", Organisation: "o", Priority: 1}})
	m.Update(0, StartMsg{})
	assert.Equal(t, m.State("u2"), Running)
	m.Update(0, FinishMsg{ID: "u2"})
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "x", Organisation: "other"}})
	m.Update(0, StartMsg{})
	assert.Equal(t, m.State("x"), Running)
	m.Update(activityWindow, FinishMsg{ID: "x"})
	assert.Equal(t, m.Running(), reserveDivisor-1)
	m.Update(activityWindow, StartMsg{})
	assert.Equal(t, m.Running(), reserveDivisor, "the reservation must end when no urgent attempt has arrived within activityWindow")
}

// TestSuspectsRunOneAtATime guards against a crash with two running suspects, which
// could not be attributed to either.
func TestSuspectsRunOneAtATime(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(4))
	for _, id := range []string{"a", "b", "c"} {
		m.Update(0, SubmitMsg{Attempt: Attempt{ID: id, Organisation: "o", Suspect: id != "c"}})
	}
	m.Update(0, StartMsg{})
	assert.Equal(t, m.State("a"), Running)
	assert.Equal(t, m.State("b"), Queued)
	assert.Equal(t, m.State("c"), Running)
}

func TestNothingStartsWhileClosed(t *testing.T) {
	m := newOpenMachine()
	submitAttempts(m, 0, "o", 2)
	m.Update(0, CloseMsg{Reason: RefusedDraining})
	assert.Equal(t, len(m.Update(0, StartMsg{})), 0)
	assert.Equal(t, len(submitAttempts(m, 0, "o", 1)), 1)
}

func TestOrganisationConcurrencyLimit(t *testing.T) {
	m := newOpenMachine(WithConcurrencyLimit(8))
	m.Update(0, LimitsMsg{Organisations: []Organisation{{Name: "o", Weight: 1, ConcurrencyLimit: 2}}})
	submitAttempts(m, 0, "o", 5)
	m.Update(0, StartMsg{})
	assert.Equal(t, m.Running(), 2)
}

func BenchmarkAttempt(b *testing.B) {
	for _, queued := range []int{0, 32, 64, 128} {
		b.Run(fmt.Sprintf("waiting-%d", queued), func(b *testing.B) {
			m := newOpenMachine(WithConcurrencyLimit(8), WithQueueLimit(1000))
			submitAttempts(m, 0, "o", queued+8)
			m.Update(0, StartMsg{})
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				id := fmt.Sprint("x", n)
				m.Update(0, SubmitMsg{Attempt: Attempt{ID: id, Organisation: "p"}})
				m.Update(0, RevokeMsg{ID: id})
				m.Update(time.Duration(n)*time.Second, TickMsg{})
			}
		})
	}
}
