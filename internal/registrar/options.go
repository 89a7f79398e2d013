package registrar

const (
	defaultMaxTombstones    = 10_000
	defaultMaxTickets       = 50_000
	defaultMaxHolds         = 1_000
	defaultClaimRetentionMs = 60 * 60 * 1000
)

type options struct {
	maxTombstones    int
	maxTickets       int
	maxHolds         int
	claimRetentionMs int
}

func defaultOptions() options {
	return options{
		maxTombstones:    defaultMaxTombstones,
		maxTickets:       defaultMaxTickets,
		maxHolds:         defaultMaxHolds,
		claimRetentionMs: defaultClaimRetentionMs,
	}
}

// Option configures a Registrar. All control processes must use the same options, or
// their states diverge when they apply the log.
type Option func(*options)

// WithMaxTombstones sets how many removed objects are remembered for watchers.
func WithMaxTombstones(n int) Option { return func(o *options) { o.maxTombstones = n } }

// WithMaxTickets sets how many accepted tickets are remembered.
func WithMaxTickets(n int) Option { return func(o *options) { o.maxTickets = n } }

// WithClaimRetention sets how long a claim is kept, in milliseconds of log time.
func WithClaimRetention(ms int) Option { return func(o *options) { o.claimRetentionMs = ms } }
