package router

import "time"

const (
	defaultRefusalBackoff = 300 * time.Millisecond
	defaultMaxReportLag   = 4 * time.Second

	freshReportAge   = 50 * time.Millisecond
	candidatesDrawn  = 2 // Choose compares this many randomly drawn groups.
	sampleSize       = 4
	roomStdDevs      = 3   // free slots must exceed the expected fluctuation by this many standard deviations
	crowdedDivisor   = 8   // a group with less than 1/8 of its slots free is crowded
	maxDistance      = 2   // distance of a group in another region
	utilizationScale = 100 // cost units per millisecond and per full utilization
)

// distanceMs is the added latency in milliseconds, indexed by distance.
var distanceMs = [3]int{0, 2, 20}

type options struct {
	region         string
	failureDomain  string
	seed           uint64
	refusalBackoff time.Duration
	maxReportLag   time.Duration
}

func defaults() options {
	return options{refusalBackoff: defaultRefusalBackoff, maxReportLag: defaultMaxReportLag}
}

// Option changes a setting of a Router.
type Option func(*options)

// WithLocation sets the region and failure domain of the entry.
func WithLocation(region, failureDomain string) Option {
	return func(o *options) { o.region, o.failureDomain = region, failureDomain }
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithMaxReportLag sets how much older than the newest load report another one
// may be before it is ignored.
func WithMaxReportLag(d time.Duration) Option { return func(o *options) { o.maxReportLag = d } }
