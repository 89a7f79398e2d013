package planner

const (
	defaultLostAfterMs        = 3_000
	defaultEndpointPatienceMs = 0
	defaultMinPatienceMs      = 3_000
	defaultMaxPatienceMs      = 60_000
	defaultMaxLoads           = 64
	defaultStragglerAfterMs   = 10_000
	defaultDowntimeWeight     = 16
	defaultStrandedWeight     = 1

	singleLoadsDivisor = 8

	stragglerQuorum   = 4
	stragglerMultiple = 3
	stragglerDivisor  = 2
)

type options struct {
	lostAfterMs        int
	endpointPatienceMs int
	minPatienceMs      int
	maxPatienceMs      int
	maxLoads           int
	stragglerAfterMs   int
	downtimeWeight     int
	strandedWeight     int
	standbys           bool
	donors             bool
	neverReplace       bool
}

func defaults() options {
	return options{
		lostAfterMs:        defaultLostAfterMs,
		endpointPatienceMs: defaultEndpointPatienceMs,
		minPatienceMs:      defaultMinPatienceMs,
		maxPatienceMs:      defaultMaxPatienceMs,
		maxLoads:           defaultMaxLoads,
		stragglerAfterMs:   defaultStragglerAfterMs,
		downtimeWeight:     defaultDowntimeWeight,
		strandedWeight:     defaultStrandedWeight,
		standbys:           true,
		donors:             true,
	}
}

// Option changes a setting of a Planner.
type Option func(*options)

// WithUnreachableAfter sets the silence in milliseconds after which an instance
// counts as unusable.
func WithUnreachableAfter(ms int) Option { return func(o *options) { o.lostAfterMs = ms } }

// WithSilenceTimeout sets the bounds in milliseconds of the wait for a silent
// member; in between, the wait equals the model's load time.
func WithSilenceTimeout(least, most int) Option {
	return func(o *options) { o.minPatienceMs, o.maxPatienceMs = least, most }
}

// WithMaxLoads sets how many instances may load weights at the same time.
func WithMaxLoads(n int) Option { return func(o *options) { o.maxLoads = n } }

// WithWeights sets how much a group's downtime counts against one accelerator
// that is stranded with it for the same time.
func WithWeights(downtime, stranded int) Option {
	return func(o *options) { o.downtimeWeight, o.strandedWeight = downtime, stranded }
}

// WithStandbys sets whether members that leave or straggle are replaced only
// after their replacement has loaded.
func WithStandbys(on bool) Option { return func(o *options) { o.standbys = on } }

// WithDonorGroups sets whether a group that cannot be completed gives its members
// to another one.
func WithDonorGroups(on bool) Option { return func(o *options) { o.donors = on } }

// WithReplacement sets whether lost members are replaced at all; without it
// every group waits for its members to return.
func WithReplacement(on bool) Option { return func(o *options) { o.neverReplace = !on } }
