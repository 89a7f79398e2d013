package retrier

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAttemptsStayWithinBudget guards against retry storms: each request is
// retried for as long as the budget allows.
func TestAttemptsStayWithinBudget(t *testing.T) {
	b := New(0.1, 50)
	attempts := 0
	const requests = 10_000
	for range requests {
		b.RecordRequest("o")
		attempts++
		for b.TrySpend("o") {
			attempts++
		}
	}
	assert.Assert(t, float64(attempts) <= 1.1*requests+10, "%d attempts", attempts)
}

func TestOrganisationsHaveSeparateBudgets(t *testing.T) {
	b := New(0.1, 10)
	for b.TrySpend("large") {
		continue
	}
	assert.Assert(t, b.TrySpend("small"))
}
