package sharer

import "time"

const (
	// defaultOverage and defaultSlack state the most requests that a cold endpoint may
	// get in one second: its rate times the overage, and the slack.
	defaultOverage = 1.5
	defaultSlack   = 5
	// transitSpread is the difference between the longest and the shortest usual way of a
	// request. Requests that were sent over a second and this time may arrive in one.
	transitSpread = 60 * time.Millisecond
)

type options struct {
	start   time.Duration
	overage float64
	slack   float64
}

func defaults() options { return options{overage: defaultOverage, slack: defaultSlack} }

// Option configures a Sharer.
type Option func(*options)

// WithTakeover makes a new leader grant nothing until everything has expired that other
// leaders granted before the given time.
func WithTakeover(at time.Duration) Option {
	return func(o *options) { o.start = at + Validity + driftMargin }
}

// WithBound sets the most requests that a cold endpoint may get in one second, as a
// multiple of its rate and a number on top of that.
func WithBound(overage, slack float64) Option {
	return func(o *options) { o.overage, o.slack = overage, slack }
}
