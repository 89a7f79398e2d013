// Package retrier bounds retries by a budget per organisation, so that the
// tries of a process stay close to its requests whatever fails.
//
// # Usage
//
//	b := retrier.New(0.1, 10)
//	b.RecordRequest("harrow-quill")        // earns a tenth of a retry
//	if b.TrySpend("harrow-quill") { ... }  // one retry is allowed
package retrier

const initialDivisor = 5

// Budget holds the earned retries of each organisation. It is not safe for
// concurrent use.
type Budget struct {
	ratio  float64
	most   float64
	earned map[string]float64
}

// New returns a budget in which each request earns a ratio of a retry, and an
// organisation can hold a most number of them. Each begins with a fifth of that
// in hand, so that small callers can retry at all.
func New(ratio, most float64) *Budget {
	return &Budget{ratio: ratio, most: most, earned: map[string]float64{}}
}

// RecordRequest notes a first try.
func (b *Budget) RecordRequest(organisation string) {
	b.earned[organisation] = min(b.most, b.balance(organisation)+b.ratio)
}

// TrySpend takes one retry from the budget, false where none is left.
func (b *Budget) TrySpend(organisation string) bool {
	if b.balance(organisation) < 1 {
		return false
	}
	b.earned[organisation]--
	return true
}

func (b *Budget) balance(organisation string) float64 {
	earned, ok := b.earned[organisation]
	if !ok {
		earned = b.most / initialDivisor
		b.earned[organisation] = earned
	}
	return earned
}
