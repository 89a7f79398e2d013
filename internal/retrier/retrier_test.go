package retrier

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestTriesStayWithinTheBudget(t *testing.T) {
	b := New(0.1, 50)
	tries := 0
	const requests = 10_000
	for range requests {
		b.RecordRequest("o")
		tries++
		for b.TrySpend("o") {
			tries++
		}
	}
	assert.Assert(t, float64(tries) <= 1.1*requests+10, "%d tries", tries)
}

func TestOneOrganisationDoesNotSpendAnothersBudget(t *testing.T) {
	b := New(0.1, 10)
	for b.TrySpend("large") {
		continue
	}
	assert.Assert(t, b.TrySpend("small"))
}
