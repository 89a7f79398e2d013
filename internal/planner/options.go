package planner

const (
	defaultUnreachableAfterMs    = 3_000
	defaultEndpointDownTimeoutMs = 0
	defaultMinSilenceTimeoutMs   = 3_000
	defaultMaxSilenceTimeoutMs   = 60_000
	defaultMaxLoads              = 64
	defaultStragglerAfterMs      = 10_000
	defaultDowntimeWeight        = 16
	defaultStrandedWeight        = 1

	// Groups that need a single load may exceed the load limit by the limit divided
	// by singleLoadHeadroomDivisor.
	singleLoadHeadroomDivisor = 8

	// A member is slow if its step time exceeds 3/2 of the median of its model,
	// taken over at least stragglerMinSamples members.
	stragglerMinSamples       = 4
	stragglerRatioNumerator   = 3
	stragglerRatioDenominator = 2
)

type options struct {
	unreachableAfterMs    int
	endpointDownTimeoutMs int
	minSilenceTimeoutMs   int
	maxSilenceTimeoutMs   int
	maxLoads              int
	stragglerAfterMs      int
	downtimeWeight        int
	strandedWeight        int
	standbys              bool
	donorGroups           bool
	replacementDisabled   bool
}

func defaults() options {
	return options{
		unreachableAfterMs:    defaultUnreachableAfterMs,
		endpointDownTimeoutMs: defaultEndpointDownTimeoutMs,
		minSilenceTimeoutMs:   defaultMinSilenceTimeoutMs,
		maxSilenceTimeoutMs:   defaultMaxSilenceTimeoutMs,
		maxLoads:              defaultMaxLoads,
		stragglerAfterMs:      defaultStragglerAfterMs,
		downtimeWeight:        defaultDowntimeWeight,
		strandedWeight:        defaultStrandedWeight,
		standbys:              true,
		donorGroups:           true,
	}
}

// Option configures a Planner.
type Option func(*options)

// WithUnreachableAfter sets the time without a report, in milliseconds, after
// which an instance is considered unreachable and gets no work.
func WithUnreachableAfter(ms int) Option { return func(o *options) { o.unreachableAfterMs = ms } }

// WithSilenceTimeout sets the lower and upper bound, in milliseconds, of the time
// before an unreachable member is replaced. Between these bounds the timeout
// equals the load time of the model.
func WithSilenceTimeout(minMs, maxMs int) Option {
	return func(o *options) { o.minSilenceTimeoutMs, o.maxSilenceTimeoutMs = minMs, maxMs }
}

// WithMaxLoads limits the number of instances that load weights at the same
// time. Groups that need a single load may exceed the limit by an eighth.
func WithMaxLoads(n int) Option { return func(o *options) { o.maxLoads = n } }

// WithWeights sets the relative cost of a group's downtime and of one
// accelerator that is idle for the same time because its group cannot serve.
// They determine the order of loads: those that avoid the highest cost come first.
func WithWeights(downtime, stranded int) Option {
	return func(o *options) { o.downtimeWeight, o.strandedWeight = downtime, stranded }
}

// WithStandbys sets whether a member that straggles gets a standby, which replaces
// it once the standby has loaded the weights. If not, stragglers are kept.
func WithStandbys(on bool) Option { return func(o *options) { o.standbys = on } }

// WithDonorGroups sets whether an incomplete group may be dissolved to complete
// another one with its members.
func WithDonorGroups(on bool) Option { return func(o *options) { o.donorGroups = on } }

// WithReplacement sets whether lost members are replaced. If not, a group waits
// until its members return.
func WithReplacement(on bool) Option { return func(o *options) { o.replacementDisabled = !on } }
