package router

import "time"

const (
	defaultAvoidFor = 300 * time.Millisecond
	defaultHintLife = 4 * time.Second

	freshFor   = 50 * time.Millisecond
	tournament = 2
	sampleSize = 4

	sureDeviations = 3
	homeDivisor    = 8
	farthest       = 2
	loadScale      = 100
)

// tierMs is the added time in milliseconds by distance.
var tierMs = [3]int{0, 2, 20}

type options struct {
	region        string
	failureDomain string
	seed          uint64
	avoidFor      time.Duration
	hintLife      time.Duration
}

func defaults() options {
	return options{avoidFor: defaultAvoidFor, hintLife: defaultHintLife}
}

// Option changes a setting of a Router.
type Option func(*options)

// WithLocation sets the region and failure domain of the entry.
func WithLocation(region, failureDomain string) Option {
	return func(o *options) { o.region, o.failureDomain = region, failureDomain }
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithMaxReportLag sets by how much a load report may be older than the newest one
// before it no longer counts.
func WithMaxReportLag(d time.Duration) Option { return func(o *options) { o.hintLife = d } }
