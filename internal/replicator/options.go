package replicator

const (
	defaultElectionTicks = 10
	// defaultFirstElectionTicks is for replicas that have met no leader since
	// their start: above a leader's heartbeat and its way.
	defaultFirstElectionTicks = 3
	defaultHeartbeatTicks     = 2
	defaultBatchEntries       = 512
	// defaultBatchBytes keeps one message far below the memory of a process,
	// however far a replica is behind.
	defaultBatchBytes = 256 << 10
)

type options struct {
	seed               uint64
	electionTicks      int
	firstElectionTicks int
	heartbeatTicks     int
	batchEntries       int
	batchBytes         int
}

func defaults() options {
	return options{
		electionTicks:      defaultElectionTicks,
		firstElectionTicks: defaultFirstElectionTicks,
		heartbeatTicks:     defaultHeartbeatTicks,
		batchEntries:       defaultBatchEntries,
		batchBytes:         defaultBatchBytes,
	}
}

// Option changes a setting of a Machine.
type Option func(*options)

// WithSeed sets the seed of the election timeouts.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithElectionTicks sets the least election timeout in ticks; the longest is
// just under twice as long.
func WithElectionTicks(n int) Option { return func(o *options) { o.electionTicks = n } }

// WithHeartbeatTicks sets the pace of a leader's heartbeats in ticks.
func WithHeartbeatTicks(n int) Option { return func(o *options) { o.heartbeatTicks = n } }

// WithBatchEntries sets the most entries in one append message.
func WithBatchEntries(n int) Option { return func(o *options) { o.batchEntries = n } }

// WithBatchBytes sets the most bytes of entries in one append message; a single
// entry may be larger.
func WithBatchBytes(n int) Option { return func(o *options) { o.batchBytes = n } }
