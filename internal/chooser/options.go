package chooser

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultOwnDomain is how much likelier an endpoint of the own failure
	// domain is than an equal one elsewhere.
	defaultOwnDomain = 2
	// defaultWaitingPart lets a quarter of the places wait again, which begin
	// before a client gives up.
	defaultWaitingPart = 4
	// defaultPatientShare is the part of the places that late requests may fill:
	// above it usual ones would begin late or be refused for them.
	defaultPatientShare = 0.4
	// defaultSparePart keeps an eighth of the places free of usual requests,
	// since a full group begins none within its objective.
	defaultSparePart = 8
	// defaultOwnFactor is by how much clients may favour one entry.
	defaultOwnFactor = 2
	// defaultReportLag is how old a report is on its way from an engine over
	// control to an entry.
	defaultReportLag = 400 * time.Millisecond
	// defaultLeastHomes lets an entry spread what it sends where its failure domain
	// has few groups of a model.
	defaultLeastHomes = 4
	// defaultRamp counts no endpoint as freer than the mean of all.
	defaultRamp = 1
	// defaultRestFirst is how long an endpoint rests after its first failure.
	defaultRestFirst = 100 * time.Millisecond
	// defaultRestMost bounds the rest, so that a mended endpoint serves again.
	defaultRestMost = 2 * time.Second
)

type options struct {
	random       *rand.Rand
	ownDomain    float64
	waitingPart  int
	sparePart    int
	patientShare float64
	ownFactor    float64
	reportLag    time.Duration
	restFirst    time.Duration
	restMost     time.Duration
	name         string
	leastHomes   int
	ramp         float64
}

func defaults() options {
	return options{
		random: rand.New(rand.NewPCG(1, 1)), ownDomain: defaultOwnDomain, waitingPart: defaultWaitingPart,
		sparePart: defaultSparePart, patientShare: defaultPatientShare, reportLag: defaultReportLag, ownFactor: defaultOwnFactor, restFirst: defaultRestFirst, restMost: defaultRestMost, leastHomes: defaultLeastHomes, ramp: defaultRamp,
	}
}

// Option changes a setting of a Chooser.
type Option func(*options)

// WithSeed sets the seed of the draws; each entry has its own.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithName sets the entry's name, by which its homes are drawn.
func WithName(name string) Option { return func(o *options) { o.name = name } }

// WithMinPreferredGroups sets how many groups of each model an entry prefers at least; with
// none it prefers only those of its own failure domain, by their factor.
func WithMinPreferredGroups(n int) Option { return func(o *options) { o.leastHomes = n } }

// WithFreeShareCap sets how far above the mean of all the free part of an endpoint counts.
func WithFreeShareCap(factor float64) Option { return func(o *options) { o.ramp = factor } }

// WithLocalDomainWeight sets how much likelier an endpoint of the own failure domain
// is than an equal one elsewhere.
func WithLocalDomainWeight(factor float64) Option { return func(o *options) { o.ownDomain = factor } }

// WithBackoff sets how long a failing endpoint rests, at first and at most.
func WithBackoff(first, most time.Duration) Option {
	return func(o *options) { o.restFirst, o.restMost = first, most }
}

// WithOverdueShare sets the part of the places that late requests may fill.
func WithOverdueShare(share float64) Option {
	return func(o *options) { o.patientShare = share }
}
