package router

import "time"

// Policy names a way to choose among the nearest candidates.
type Policy string

// The policies.
const (
	PolicyTwoChoices Policy = "two-choices"
	PolicyRandom     Policy = "random"
)

const (
	defaultAvoidFor = 300 * time.Millisecond
	defaultHintLife = 15 * time.Second

	loadScale = 100
)

// tierMs is the added time in milliseconds by distance.
var tierMs = [3]int{0, 2, 20}

type options struct {
	region        string
	failureDomain string
	seed          uint64
	policy        Policy
	avoidFor      time.Duration
	hintLife      time.Duration
}

func defaults() options {
	return options{policy: PolicyTwoChoices, avoidFor: defaultAvoidFor, hintLife: defaultHintLife}
}

// Option changes a setting of a Router.
type Option func(*options)

// WithPlace sets the region and failure domain of the entry.
func WithPlace(region, failureDomain string) Option {
	return func(o *options) { o.region, o.failureDomain = region, failureDomain }
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithPolicy sets the way to choose.
func WithPolicy(policy Policy) Option { return func(o *options) { o.policy = policy } }

// WithHintLife sets the age at which a load report no longer counts.
func WithHintLife(d time.Duration) Option { return func(o *options) { o.hintLife = d } }
