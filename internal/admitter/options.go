package admitter

import "time"

const (
	defaultParallel  = 16
	defaultQueue     = 64
	defaultService   = time.Second
	defaultRetention = 2 * time.Minute

	activeFor        = 30 * time.Second
	serviceSmoothing = 8
	reserveDivisor   = 8
	shareMultiple    = 2
)

type options struct {
	parallel  int
	queue     int
	service   time.Duration
	retention time.Duration
}

func defaults() options {
	return options{parallel: defaultParallel, queue: defaultQueue, service: defaultService, retention: defaultRetention}
}

// Option changes a setting of a Machine.
type Option func(*options)

// WithConcurrencyLimit sets how many attempts may run at once.
func WithConcurrencyLimit(n int) Option { return func(o *options) { o.parallel = n } }

// WithQueueLimit sets how many attempts may wait.
func WithQueueLimit(n int) Option { return func(o *options) { o.queue = n } }

// WithServiceTime sets the first estimate of an attempt's running time.
func WithServiceTime(d time.Duration) Option { return func(o *options) { o.service = d } }

// WithRetention sets how long an ended attempt's identity is kept.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }
