package chooser

import "time"

const (
	// defaultOtherDomain is the part of the places that an endpoint of the own
	// failure domain may be fuller by.
	defaultOtherDomain = 0.15
	// defaultWaitingPart lets a group have a sixth of its places waiting, which
	// start within a quarter of a second at the usual answer length.
	defaultWaitingPart = 6
	// defaultRestFirst is how long an endpoint rests after its first failure.
	defaultRestFirst = 100 * time.Millisecond
	// defaultRestMost bounds the rest, so that a mended endpoint serves again.
	defaultRestMost = 2 * time.Second
)

type options struct {
	otherDomain float64
	waitingPart int
	restFirst   time.Duration
	restMost    time.Duration
}

func defaults() options {
	return options{
		otherDomain: defaultOtherDomain, waitingPart: defaultWaitingPart,
		restFirst: defaultRestFirst, restMost: defaultRestMost,
	}
}

// Option changes a setting of a Chooser.
type Option func(*options)

// WithOtherDomain sets how much fuller an endpoint of the own failure domain
// may be.
func WithOtherDomain(part float64) Option { return func(o *options) { o.otherDomain = part } }

// WithRest sets how long a failing endpoint rests, at first and at most.
func WithRest(first, most time.Duration) Option {
	return func(o *options) { o.restFirst, o.restMost = first, most }
}
