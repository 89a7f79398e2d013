package limiter

import "time"

// defaultStallTime is how long a body makes no progress before it may be evicted: above
// the time between two segments of a body whose client sends as fast as it can.
const defaultStallTime = 300 * time.Millisecond

type options struct{ stallTime time.Duration }

func defaultOptions() options { return options{stallTime: defaultStallTime} }

// Option changes a setting of a Limiter.
type Option func(*options)

// WithStallTime sets how long a body makes no progress before it may be evicted.
func WithStallTime(d time.Duration) Option {
	return func(o *options) { o.stallTime = d }
}
