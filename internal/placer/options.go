package placer

import (
	"math"
	"time"
)

const (
	// defaultUnreachableAfter exceeds two consecutive report calls that time out.
	defaultUnreachableAfter = 700 * time.Millisecond
	// defaultRetryInterval exceeds the round trip of an order and the following report.
	defaultRetryInterval = 500 * time.Millisecond
	// defaultStallTimeout applies to endpoints that declare no stall limit.
	defaultStallTimeout = 10 * time.Second
	// defaultLoadWindow is the interval over which load starts are counted.
	defaultLoadWindow = time.Second
)

type options struct {
	unreachableAfter time.Duration
	retryInterval    time.Duration
	stallTimeout     time.Duration
	loadWindow       time.Duration
	previousLoads    float64
	previousLoadsAt  time.Duration
}

func defaults() options {
	return options{
		unreachableAfter: defaultUnreachableAfter, retryInterval: defaultRetryInterval,
		stallTimeout: defaultStallTimeout, loadWindow: defaultLoadWindow,
	}
}

// Option configures a Placer.
type Option func(*options)

// WithPreviousLeaderLoads counts the loads that a previous leader may have started up to
// the given time under a limit per second, so that both leaders together stay within it.
func WithPreviousLeaderLoads(maxPerSec float64, startedAt time.Duration) Option {
	return func(o *options) {
		o.previousLoads, o.previousLoadsAt = math.Floor(max(maxPerSec, 0)), startedAt
	}
}

// WithUnreachableAfter sets how long an endpoint must not have responded to count
// as unreachable.
func WithUnreachableAfter(d time.Duration) Option {
	return func(o *options) { o.unreachableAfter = d }
}

// WithRetryInterval sets the interval after which an order without effect is resent.
func WithRetryInterval(d time.Duration) Option { return func(o *options) { o.retryInterval = d } }

// WithStallTimeout sets the time after which a head that lost a member has
// certainly stopped by its own stall limit.
func WithStallTimeout(d time.Duration) Option { return func(o *options) { o.stallTimeout = d } }
