// Package retrier limits retries with a budget per organisation or service, so
// that the number of attempts stays close to the number of requests even when
// every attempt fails.
//
// # Usage
//
//	b := retrier.New(0.1, 10)
//	b.RecordRequest("harrow-quill")        // earns a tenth of a retry
//	if b.TrySpend("harrow-quill") { ... }  // one retry is allowed
package retrier

// initialDivisor divides the limit to give the initial balance of a key.
const initialDivisor = 5

// Budget holds the number of retries that each key may still make. It is not
// safe for concurrent use.
type Budget struct {
	ratio    float64
	limit    float64
	balances map[string]float64
}

// New returns a budget to which each request adds ratio retries, up to limit
// retries per key. A key starts with a fifth of the limit, so that callers with
// few requests can retry at all.
func New(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, balances: map[string]float64{}}
}

// RecordRequest adds the retries earned by the first attempt of a request.
func (b *Budget) RecordRequest(key string) {
	b.balances[key] = min(b.limit, b.balance(key)+b.ratio)
}

// TrySpend takes one retry from the budget. It returns false if less than one
// is left.
func (b *Budget) TrySpend(key string) bool {
	if b.balance(key) < 1 {
		return false
	}
	b.balances[key]--
	return true
}

func (b *Budget) balance(key string) float64 {
	balance, ok := b.balances[key]
	if !ok {
		balance = b.limit / initialDivisor
		b.balances[key] = balance
	}
	return balance
}
