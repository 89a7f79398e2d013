package replicator

const (
	defaultElectionTicks = 10
	// defaultFirstElectionTicks is the minimum election timeout of replicas that have
	// seen no leader since they started. It exceeds the heartbeat interval plus the
	// network latency.
	defaultFirstElectionTicks = 3
	defaultHeartbeatTicks     = 2
	// suspicionStaggerTicks is the time between the campaigns of two voters whose leader
	// is gone; an election with two syncs to disk is decided in it.
	suspicionStaggerTicks = 2
	// learnerIdleTicks is the time after which a learner that neither answers nor asks is
	// dropped; longer than a sync of a large snapshot takes.
	learnerIdleTicks    = 60
	defaultBatchEntries = 512
	// defaultBatchBytes keeps a message far smaller than the memory of a process,
	// however far a replica lags behind.
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

func defaultOptions() options {
	return options{
		electionTicks:      defaultElectionTicks,
		firstElectionTicks: defaultFirstElectionTicks,
		heartbeatTicks:     defaultHeartbeatTicks,
		batchEntries:       defaultBatchEntries,
		batchBytes:         defaultBatchBytes,
	}
}

// Option configures a Machine.
type Option func(*options)

// WithSeed sets the seed for randomizing election timeouts.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithElectionTicks sets the minimum election timeout in ticks. Timeouts are chosen at
// random between n and 2n-1 ticks.
func WithElectionTicks(n int) Option { return func(o *options) { o.electionTicks = n } }

// WithHeartbeatTicks sets the interval of a leader's heartbeats in ticks.
func WithHeartbeatTicks(n int) Option { return func(o *options) { o.heartbeatTicks = n } }

// WithBatchEntries sets the maximum number of entries in one append message.
func WithBatchEntries(n int) Option { return func(o *options) { o.batchEntries = n } }

// WithBatchBytes sets the maximum size of the entries in one append message, in
// bytes. A single larger entry is still sent.
func WithBatchBytes(n int) Option { return func(o *options) { o.batchBytes = n } }
