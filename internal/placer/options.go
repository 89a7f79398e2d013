package placer

import (
	"slices"
	"time"
)

const (
	// defaultSilentAfter is longer than two report calls that time out.
	defaultSilentAfter = 700 * time.Millisecond
	// defaultRepeatAfter is longer than an order's round trip with its report.
	defaultRepeatAfter = 500 * time.Millisecond
	// defaultBreakAfter is for endpoints that declare no limit of their own.
	defaultBreakAfter = 10 * time.Second
	// defaultLoadWindow is the span over which starts of loads are counted.
	defaultLoadWindow = time.Second
)

type options struct {
	silentAfter time.Duration
	repeatAfter time.Duration
	breakAfter  time.Duration
	loadWindow  time.Duration
	loads       []time.Duration
}

func defaults() options {
	return options{
		silentAfter: defaultSilentAfter, repeatAfter: defaultRepeatAfter,
		breakAfter: defaultBreakAfter, loadWindow: defaultLoadWindow,
	}
}

// Option changes a setting of a Placer.
type Option func(*options)

// WithPreviousLeaderLoads counts loads that an earlier leader may have begun up to a
// moment, so that those of both leaders together keep to the store's limit.
func WithPreviousLeaderLoads(n int, at time.Duration) Option {
	return func(o *options) { o.loads = slices.Repeat([]time.Duration{at}, n) }
}

// WithUnreachableAfter sets after which unanswered time an endpoint counts as
// silent.
func WithUnreachableAfter(d time.Duration) Option { return func(o *options) { o.silentAfter = d } }

// WithRetryInterval sets after which time an order without effect is repeated.
func WithRetryInterval(d time.Duration) Option { return func(o *options) { o.repeatAfter = d } }

// WithStallTimeout sets after which time a head that lacks a member has broken
// by itself for certain.
func WithStallTimeout(d time.Duration) Option { return func(o *options) { o.breakAfter = d } }
