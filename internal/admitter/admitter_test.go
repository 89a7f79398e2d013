package admitter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func opened(opts ...Option) *Machine {
	m := New(opts...)
	m.Update(0, OpenMsg{})
	return m
}

// submit offers attempts of one organisation and returns the refused ones.
func submit(m *Machine, now time.Duration, organisation string, n int) (refused []string) {
	for range n {
		id := fmt.Sprintf("%s-%d", organisation, m.seq)
		for _, effect := range m.Update(now, SubmitMsg{Attempt: Attempt{ID: id, Organisation: organisation}}) {
			if r, ok := effect.(RefuseEffect); ok {
				refused = append(refused, r.ID)
			}
		}
	}
	return refused
}

// started runs the machine for a number of starts and counts per organisation.
func started(m *Machine, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		for _, effect := range m.Update(0, StartMsg{}) {
			if s, ok := effect.(StartEffect); ok {
				counts[m.items[s.ID].Organisation]++
				m.Update(0, FinishMsg{ID: s.ID})
			}
		}
	}
	return counts
}

func TestSharesFollowTheWeights(t *testing.T) {
	m := opened(WithConcurrencyLimit(1), WithQueueLimit(1000))
	m.Update(0, LimitsMsg{Organisations: []Organisation{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}}})
	submit(m, 0, "large", 300)
	submit(m, 0, "small", 100)
	counts := started(m, 80)
	assert.Equal(t, counts["large"], 60)
	assert.Equal(t, counts["small"], 20)
}

func TestFullQueueShedsTheLargestClaimant(t *testing.T) {
	m := opened(WithConcurrencyLimit(1), WithQueueLimit(10))
	submit(m, 0, "large", 10)
	assert.Equal(t, len(submit(m, 0, "small", 3)), 3, "one of the large organisation is refused for each")
	assert.Equal(t, len(m.share("small").queue), 3)
	assert.Equal(t, len(m.share("large").queue), 7)
}

func TestLateStartIsRefusedBeforeItRuns(t *testing.T) {
	m := opened(WithConcurrencyLimit(1), WithServiceTime(time.Second))
	submit(m, 0, "o", 5)
	effects := m.Update(0, SubmitMsg{Attempt: Attempt{ID: "x", Organisation: "o", Deadline: 2 * time.Second}})
	assert.Equal(t, effects[0].(RefuseEffect).Kind, RefusedDeadline)
}

func TestWaitingPastTheDeadlineIsRefused(t *testing.T) {
	m := opened(WithConcurrencyLimit(1), WithServiceTime(time.Millisecond))
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "x", Organisation: "o", Deadline: time.Second}})
	effects := m.Update(2*time.Second, TickMsg{})
	assert.Equal(t, effects[0].(RefuseEffect).Kind, RefusedDeadline)
	assert.Equal(t, len(m.Update(2*time.Second, StartMsg{})), 0)
}

func TestPriorityOrdersWithinAnOrganisation(t *testing.T) {
	m := opened(WithConcurrencyLimit(1))
	for i, priority := range []int{0, 5, 9} {
		m.Update(0, SubmitMsg{Attempt: Attempt{ID: fmt.Sprint(i), Organisation: "o", Priority: priority}})
	}
	effects := m.Update(0, StartMsg{})
	assert.Equal(t, effects[0].(StartEffect).ID, "2")
}

// TestLastPlaceIsKeptForUrgentWork fills a group after an urgent attempt: the
// last place stays free for the next urgent one, and for other organisations,
// until none has come for long.
func TestLastPlaceIsKeptForUrgentWork(t *testing.T) {
	m := opened(WithConcurrencyLimit(reserveDivisor))
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "u1", Organisation: "o", Priority: 5}})
	m.Update(0, StartMsg{})
	m.Update(0, FinishMsg{ID: "u1"})
	submit(m, 0, "o", reserveDivisor+2)
	m.Update(0, StartMsg{})
	assert.Equal(t, m.Running(), reserveDivisor-1)
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "u2", Organisation: "o", Priority: 1}})
	m.Update(0, StartMsg{})
	assert.Equal(t, m.State("u2"), Running)
	m.Update(0, FinishMsg{ID: "u2"})
	m.Update(0, SubmitMsg{Attempt: Attempt{ID: "x", Organisation: "other"}})
	m.Update(0, StartMsg{})
	assert.Equal(t, m.State("x"), Running)
	m.Update(activeFor, FinishMsg{ID: "x"})
	assert.Equal(t, m.Running(), reserveDivisor-1)
	m.Update(activeFor, StartMsg{})
	assert.Equal(t, m.Running(), reserveDivisor, "no urgent attempt came for long")
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	m := opened(WithConcurrencyLimit(4))
	for _, id := range []string{"a", "b", "c"} {
		m.Update(0, SubmitMsg{Attempt: Attempt{ID: id, Organisation: "o", Suspect: id != "c"}})
	}
	m.Update(0, StartMsg{})
	assert.Equal(t, m.State("a"), Running)
	assert.Equal(t, m.State("b"), Queued)
	assert.Equal(t, m.State("c"), Running)
}

func TestNothingStartsWhileClosed(t *testing.T) {
	m := opened()
	submit(m, 0, "o", 2)
	m.Update(0, CloseMsg{Reason: RefusedDraining})
	assert.Equal(t, len(m.Update(0, StartMsg{})), 0)
	assert.Equal(t, len(submit(m, 0, "o", 1)), 1)
}

func TestOrganisationsLimitHolds(t *testing.T) {
	m := opened(WithConcurrencyLimit(8))
	m.Update(0, LimitsMsg{Organisations: []Organisation{{Name: "o", Weight: 1, ConcurrencyLimit: 2}}})
	submit(m, 0, "o", 5)
	m.Update(0, StartMsg{})
	assert.Equal(t, m.Running(), 2)
}

func BenchmarkAttempt(b *testing.B) {
	for _, waiting := range []int{0, 32, 64, 128} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			m := opened(WithConcurrencyLimit(8), WithQueueLimit(1000))
			submit(m, 0, "o", waiting+8)
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
