package granter

import "time"

const (
	defaultGrant      = 3 * time.Second
	defaultRenewEvery = time.Second
	defaultRetryRenew = 200 * time.Millisecond
	defaultDrain      = 60 * time.Second
	defaultLeaveGrace = time.Second
	defaultOrderPace  = 2 * time.Second

	clockMarginDivisor = 20
	sentKept           = 8
)

type options struct {
	grant      time.Duration
	renewEvery time.Duration
	retryRenew time.Duration
	drain      time.Duration
	leaveGrace time.Duration
	orderPace  time.Duration
}

func defaults() options {
	return options{
		grant: defaultGrant, renewEvery: defaultRenewEvery, retryRenew: defaultRetryRenew,
		drain: defaultDrain, leaveGrace: defaultLeaveGrace, orderPace: defaultOrderPace,
	}
}

// Option changes a setting of a Machine.
type Option func(*options)

// WithGrant sets the length of a grant and the pace of renewals. All members
// of a system must use the same length.
func WithGrant(grant, every time.Duration) Option {
	return func(o *options) { o.grant, o.renewEvery = grant, every }
}

// WithDrain sets how long running work may take to end when an epoch ends.
func WithDrain(d time.Duration) Option { return func(o *options) { o.drain = d } }

// WithLeaveGrace sets how long a leaving instance still takes new work.
func WithLeaveGrace(d time.Duration) Option { return func(o *options) { o.leaveGrace = d } }
