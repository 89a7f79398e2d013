package granter

import "time"

const (
	defaultGrantDuration       = 3 * time.Second
	defaultRenewInterval       = time.Second
	defaultRenewRetryDelay     = 200 * time.Millisecond
	defaultDrainTimeout        = 60 * time.Second
	defaultLeaveGrace          = time.Second
	defaultOrderRepeatInterval = 2 * time.Second

	// clockMarginDivisor makes the leader's grant 1/20 (5 %) shorter than the
	// member's promise, to allow for clocks that run at different rates.
	clockMarginDivisor = 20

	// maxPendingRenewals is the number of latest sequence numbers whose send times
	// are kept. Answers to older renewals are ignored.
	maxPendingRenewals = 8
)

type options struct {
	grantDuration       time.Duration
	renewInterval       time.Duration
	renewRetryDelay     time.Duration
	drainTimeout        time.Duration
	leaveGrace          time.Duration
	orderRepeatInterval time.Duration
}

func defaultOptions() options {
	return options{
		grantDuration: defaultGrantDuration, renewInterval: defaultRenewInterval, renewRetryDelay: defaultRenewRetryDelay,
		drainTimeout: defaultDrainTimeout, leaveGrace: defaultLeaveGrace, orderRepeatInterval: defaultOrderRepeatInterval,
	}
}

// Option changes a setting of a Machine.
type Option func(*options)

// WithGrant sets the duration of a grant and the interval between renewals. All
// instances of a system must use the same duration.
func WithGrant(duration, renewInterval time.Duration) Option {
	return func(o *options) { o.grantDuration, o.renewInterval = duration, renewInterval }
}

// WithDrain sets how long running work may take to finish when an epoch ends.
func WithDrain(timeout time.Duration) Option {
	return func(o *options) { o.drainTimeout = timeout }
}

// WithLeaveGrace sets how long a leaving instance still accepts new work.
func WithLeaveGrace(grace time.Duration) Option {
	return func(o *options) { o.leaveGrace = grace }
}
