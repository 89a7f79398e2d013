package chooser

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultLocalDomainWeight is how much likelier an endpoint of the entry's
	// own failure domain is picked than an equal one elsewhere.
	defaultLocalDomainWeight = 2
	// defaultQueueDivisor lets resumed requests queue for up to a quarter of the
	// slots; that many start before a client gives up.
	defaultQueueDivisor = 4
	// defaultOverdueShare is the share of the slots up to which overdue requests
	// are accepted. With a larger share, normal requests would start late or be
	// refused because of them.
	defaultOverdueShare = 0.2
	// defaultHeadroomDivisor keeps an eighth of the slots free of normal
	// requests, since a full group cannot start any within its objective.
	defaultHeadroomDivisor = 8
	// defaultEntryShareFactor is how far one entry may exceed its even share of
	// the slots, as clients may favor one entry.
	defaultEntryShareFactor = 2
	// defaultReportDelay is the age of a load report when it reaches an entry
	// from an engine by way of control.
	defaultReportDelay = 400 * time.Millisecond
	// defaultMinPreferred lets an entry spread its requests if its failure domain
	// has few groups of a model.
	defaultMinPreferred = 4
	// defaultFreeCapFactor counts no endpoint as freer than the mean.
	defaultFreeCapFactor = 1
	// defaultInitialBackoff is the backoff of an endpoint after its first failure.
	defaultInitialBackoff = 100 * time.Millisecond
	// defaultMaxBackoff limits the backoff, so that a recovered endpoint soon
	// gets requests again.
	defaultMaxBackoff = 2 * time.Second
)

type options struct {
	random            *rand.Rand
	localDomainWeight float64
	queueDivisor      int
	headroomDivisor   int
	overdueShare      float64
	entryShareFactor  float64
	reportDelay       time.Duration
	initialBackoff    time.Duration
	maxBackoff        time.Duration
	name              string
	minPreferred      int
	freeCapFactor     float64
}

func defaults() options {
	return options{
		random: rand.New(rand.NewPCG(1, 1)), localDomainWeight: defaultLocalDomainWeight, queueDivisor: defaultQueueDivisor,
		headroomDivisor: defaultHeadroomDivisor, overdueShare: defaultOverdueShare, reportDelay: defaultReportDelay, entryShareFactor: defaultEntryShareFactor, initialBackoff: defaultInitialBackoff, maxBackoff: defaultMaxBackoff, minPreferred: defaultMinPreferred, freeCapFactor: defaultFreeCapFactor,
	}
}

// Option configures a Chooser.
type Option func(*options)

// WithSeed sets the seed of the random picks. Each entry needs a seed of its own.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithName sets the entry's name, which determines the groups it prefers.
func WithName(name string) Option { return func(o *options) { o.name = name } }

// WithMinPreferredGroups sets the minimum number of groups of each model that an
// entry prefers. With 0 it prefers no groups, and only the weight of its own
// failure domain applies.
func WithMinPreferredGroups(n int) Option { return func(o *options) { o.minPreferred = n } }

// WithFreeShareCap limits the free share of an endpoint that counts, as a
// multiple of the mean free share of the model's groups.
func WithFreeShareCap(factor float64) Option { return func(o *options) { o.freeCapFactor = factor } }

// WithLocalDomainWeight sets how much likelier an endpoint of the entry's own
// failure domain is picked than an equal one elsewhere.
func WithLocalDomainWeight(factor float64) Option {
	return func(o *options) { o.localDomainWeight = factor }
}

// WithBackoff sets how long a failing endpoint is not picked: after its first
// failure, and at most.
func WithBackoff(initial, limit time.Duration) Option {
	return func(o *options) { o.initialBackoff, o.maxBackoff = initial, limit }
}

// WithOverdueShare sets the share of the slots up to which overdue requests are
// accepted.
func WithOverdueShare(share float64) Option {
	return func(o *options) { o.overdueShare = share }
}
