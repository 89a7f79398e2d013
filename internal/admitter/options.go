package admitter

import "time"

const (
	defaultConcurrencyLimit = 16
	defaultQueueLimit       = 64
	defaultServiceTime      = time.Second
	defaultRetention        = 2 * time.Minute

	// activityWindow is how long an organisation counts as active after it last had a
	// queued or running attempt, and how long capacity is reserved for its urgent
	// attempts after the last one arrived.
	activityWindow = 30 * time.Second
	// serviceTimeSmoothing is the inverse weight of a new sample in the moving
	// average of the service time.
	serviceTimeSmoothing = 8
	// reserveDivisor is the concurrency limit divided by the capacity reserved for
	// organisations within their share.
	reserveDivisor = 8
	// fairShareMultiple is how many times its fair share an organisation may run
	// before it loses access to the reserved capacity.
	fairShareMultiple = 2
)

type options struct {
	concurrencyLimit int
	queueLimit       int
	serviceTime      time.Duration
	retention        time.Duration
}

func defaultOptions() options {
	return options{concurrencyLimit: defaultConcurrencyLimit, queueLimit: defaultQueueLimit, serviceTime: defaultServiceTime, retention: defaultRetention}
}

// Option changes a setting of a Machine.
type Option func(*options)

// WithConcurrencyLimit sets the maximum number of running attempts.
func WithConcurrencyLimit(n int) Option { return func(o *options) { o.concurrencyLimit = n } }

// WithQueueLimit sets the maximum number of queued attempts.
func WithQueueLimit(n int) Option { return func(o *options) { o.queueLimit = n } }

// WithServiceTime sets the initial estimate of the running time of an attempt.
func WithServiceTime(d time.Duration) Option { return func(o *options) { o.serviceTime = d } }

// WithRetention sets how long the ID of an ended attempt is kept.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }
