package registrar

const (
	defaultRemovalsKept = 10_000
	defaultTicketsKept  = 50_000
	defaultHoldsKept    = 1_000
	defaultClaimMs      = 60 * 60 * 1000
)

type options struct {
	removalsKept int
	ticketsKept  int
	holdsKept    int
	claimMs      int
}

func defaults() options {
	return options{
		removalsKept: defaultRemovalsKept,
		ticketsKept:  defaultTicketsKept,
		holdsKept:    defaultHoldsKept,
		claimMs:      defaultClaimMs,
	}
}

// Option changes a setting of a Registrar. All control processes must use the
// same settings, since they apply the same log.
type Option func(*options)

// WithMaxTombstones sets how many removals are remembered for watchers.
func WithMaxTombstones(n int) Option { return func(o *options) { o.removalsKept = n } }

// WithMaxTickets sets how many accepted tickets are remembered.
func WithMaxTickets(n int) Option { return func(o *options) { o.ticketsKept = n } }

// WithClaimRetention sets for how many milliseconds of log time a claim
// stands.
func WithClaimRetention(ms int) Option { return func(o *options) { o.claimMs = ms } }
