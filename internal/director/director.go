// Package director implements the control role of deployments that serve endpoints
// without side processes. It runs the replicated log, keeps the declared
// configuration and the table of endpoints and, on the leader, forms groups.
//
// # Usage
//
//	d, err := director.New(director.Config{Address: address, Seeds: seeds, DataFolder: folder}, endpoints, logger)
//	d.RegisterHandlers(mux)
//	err = d.Run(ctx)
//
// A process without a data folder has no vote. Each follower keeps a copy of the
// leader's view, serves it to entries, and forwards what entries and endpoints
// report to the leader in periodic digests.
//
// Locking: the goroutine that runs the replica owns the replica, its journal and
// the pending requests; mu guards everything else and is never held while waiting
// for that goroutine or for a remote call.
package director

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"papayaseam/internal/batcher"
	"papayaseam/internal/cataloguer"
	"papayaseam/internal/describer"
	"papayaseam/internal/enroller"
	"papayaseam/internal/journaler"
	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/quarantiner"
	"papayaseam/internal/replicator"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/tracker"
	"papayaseam/internal/transporter"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	tickInterval       = 50 * time.Millisecond
	planInterval       = 50 * time.Millisecond
	membershipInterval = 200 * time.Millisecond
	inboxCapacity      = 4096
	maxBatchSize       = 256
	// peerQueueCapacity bounds the messages queued for a peer that does not read
	// them; the replication protocol resends what is dropped.
	peerQueueCapacity = 64
	exitedCapacity    = 1024
	// maxConcurrentOrders bounds the orders in flight: more of them would only
	// contend within this process and time out.
	maxConcurrentOrders = 64
	replicaTimeout      = 700 * time.Millisecond
	commandTimeout      = 900 * time.Millisecond
	// dialTimeout is far above the round trip to another control process, and far
	// below the 1 s after which TCP retransmits a lost SYN.
	dialTimeout   = 250 * time.Millisecond
	maxSyncWait   = time.Second
	maxHops       = 3
	identityBytes = 6
	// compactAfterBytes holds a few of the largest configurations: a new replica
	// reads a snapshot with the newest one instead of all earlier ones.
	compactAfterBytes = 512 << 10
	// compactAfterEntries bounds the time to replay the log at startup.
	compactAfterEntries = 2000
)

// ErrNoLeader means that no leader responds; the caller may retry shortly at any
// control process.
var ErrNoLeader = errors.New("no control leader answers; send the call again in a moment")

// ErrOutcomeUnknown means that a command may or may not have been committed.
// Commands are idempotent, so the caller may send the same one again.
var ErrOutcomeUnknown = errors.New("the outcome of the command is not known; send the same one again")

// EndpointClient calls endpoints.
type EndpointClient interface {
	// Report returns an endpoint's state and the start time of its boot.
	Report(ctx context.Context, endpoint messenger.EndpointView) (messenger.EndpointReport, int, error)
	// Order sends one order with a fencing token. It reports whether the endpoint
	// started to carry it out; false without an error means that there was nothing
	// to do. An order to leave a group has taken effect if there is no error.
	Order(ctx context.Context, endpoint messenger.EndpointView, order placer.Order, token int) (started bool, err error)
}

// ErrNotAtAddress marks errors of calls that the endpoint's address refused, or that
// another endpoint answered there. The boot has ended, or runs on behind a cut.
var ErrNotAtAddress = errors.New("the endpoint does not answer at its address; wait until it is heard from, or its next boot is")

// ErrSuperseded marks orders that an endpoint rejected because it has seen a newer
// epoch or fencing token. The caller must read its state before the next order.
var ErrSuperseded = errors.New("endpoint rejected a superseded order; abandon its group")

// ErrOutdated marks orders that an endpoint rejected because its state is not the one
// that they were decided on. The caller must decide again on a newer report.
var ErrOutdated = errors.New("endpoint's state has changed since the order was decided; decide again on its next report")

// Config configures one control process.
type Config struct {
	Name              string
	FailureDomain     string        // FailureDomain is the failure domain in which this process runs.
	Address           string        // Address is the host:port at which entries and control processes reach this process.
	ListenAddress     string        // ListenAddress is the host:port at which endpoints and operators reach this process.
	Seeds             []string      // Seeds are the addresses of the control processes to contact first.
	FirstStart        bool          // FirstStart is true only when the whole system starts for the first time.
	DataFolder        string        // DataFolder holds the journal; empty for a process without a disk.
	FailureDomains    []string      // FailureDomains are the failure domains that may be evacuated; if empty, those of the endpoints.
	ToleratedLosses   int           // ToleratedLosses is the number of disks that may be lost at once without losing data.
	GroupStallTimeout time.Duration // GroupStallTimeout is the time after which a head that lacks a member has certainly failed its requests.
	Decode            func(document []byte) (*describer.Configuration, error)
}

// store persists the state of this replica.
type store interface {
	Identity() string
	Found(identity string, snapshot messenger.Snapshot) error
	Load() (replicator.PersistentState, error)
	Save(effects []replicator.SaveEffect) error
	Close() error
}

// result is the outcome of a proposal or a read.
type result struct {
	changed bool
	err     error
}

// proposal is a message to the replica whose caller waits for the result.
type proposal struct {
	message replicator.Msg
	id      uint64
	result  chan result
}

// waiter receives the result of an accepted proposal once its log entry is applied
// in the given term.
type waiter struct {
	term   int
	result chan result
}

// Director is one control process.
type Director struct {
	cfg         Config
	log         *log.Logger
	client      *transporter.Client
	endpoints   EndpointClient
	journal     store // journal is nil for a process without a disk.
	machine     *replicator.Machine
	inbox       chan any
	peerQueues  map[string]chan messenger.ReplicaMessage
	exited      chan string
	orderSlots  chan struct{} // orderSlots is a semaphore that holds an element for each order in flight.
	rounds      *batcher.Batcher[messenger.Confirmation]
	planTrigger chan struct{} // planTrigger starts the next plan early.
	pollTrigger chan struct{} // pollTrigger starts the next round of probes early.
	lostConns   chan string   // lostConns receives the addresses of connections that have closed.
	voteTrigger chan struct{} // voteTrigger starts the next membership change early.
	logBytes    int

	nextReadID uint64
	proposals  map[uint64]chan result
	reads      map[uint64][]chan result
	waiters    map[int]waiter

	mu          sync.Mutex
	identity    string
	running     int // running is the number of goroutines that spawn started and that have not been reaped.
	seeds       []string
	leader      string
	leading     bool
	term        int
	leaderSince time.Duration
	voters      []string
	lastLeader  string // lastLeader is the last known leader other than this process.
	attendance  *enroller.Attendance
	applicants  *enroller.Applicants
	standstill  standstill
	stopping    bool          // stopping is set once a planned stop has begun.
	confirmedAt time.Duration // confirmedAt is the start of the last round in which a quorum confirmed this leader.
	lastRoundAt time.Duration // lastRoundAt is the start of the last confirmed round, through whichever leader.
	collector   collector
	state       *cataloguer.Cataloguer
	// appliedIndex is the log index of the last entry in state; 0 in a process without a log.
	appliedIndex int
	config       *describer.Configuration
	fleet        fleet
	holdTimer    *quarantiner.Timer
	quarantine   *quarantineBatch // quarantine is the batch that reports can still join; nil if there is none.
	// crashedBoots holds the boots that count as crashed; empty unless this process leads.
	crashedBoots      map[string]*crashedBoot
	evacuationChanges map[string]evacuationChange // evacuationChanges maps failure domains to the last orders on them.
}

// New opens the journal, if there is a data folder, and prepares the process. Run
// starts it. New fails if the journal can't be opened or written.
func New(cfg Config, endpoints EndpointClient, logger *log.Logger) (*Director, error) {
	d := &Director{
		cfg: cfg, log: logger, endpoints: endpoints,
		inbox: make(chan any, inboxCapacity), peerQueues: map[string]chan messenger.ReplicaMessage{}, exited: make(chan string, exitedCapacity), orderSlots: make(chan struct{}, maxConcurrentOrders), planTrigger: make(chan struct{}, 1), pollTrigger: make(chan struct{}, 1),
		proposals: map[uint64]chan result{}, reads: map[uint64][]chan result{}, waiters: map[int]waiter{},
		seeds: cfg.Seeds, attendance: enroller.NewAttendance(), applicants: enroller.NewApplicants(), lostConns: make(chan string, lostConnCapacity), voteTrigger: make(chan struct{}, 1), state: cataloguer.New(), fleet: newFleet(), collector: newCollector(), holdTimer: quarantiner.NewTimer(),
		crashedBoots: map[string]*crashedBoot{}, evacuationChanges: map[string]evacuationChange{},
	}
	d.client = transporter.NewClient(transporter.WithDialTimeout(dialTimeout), transporter.WithLost(d.noteLostConn))
	d.rounds = batcher.New(minRoundInterval, d.runRound)
	if cfg.DataFolder == "" {
		return d, nil
	}
	journal, err := journaler.Open(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	d.journal = journal
	if journal.Identity() == "" {
		if err := d.createIdentity(); err != nil {
			return nil, err
		}
	}
	d.identity = journal.Identity()
	return d, nil
}

// createIdentity gives a process with an empty disk a replica identity.
func (d *Director) createIdentity() error {
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return errors.Wrap(err, "generate replica identity")
	}
	identity, voters := enroller.BootstrapIdentity(enroller.BootstrapConfig{
		Address: d.cfg.Address, Seeds: d.cfg.Seeds, FirstStart: d.cfg.FirstStart, Nonce: hex.EncodeToString(random),
	})
	d.log.Info("replica identity created", "replica", identity, "voters", voters)
	return d.journal.Found(identity, messenger.Snapshot{Voters: voters})
}

// SetSeeds replaces the seeds.
func (d *Director) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// Run runs the process until the context ends or its disk fails, and returns after
// all goroutines have ended.
func (d *Director) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reaped := make(chan struct{})
	go d.reapUntilDone(ctx, reaped)
	d.spawn("sync", func() { d.followLeader(ctx) })
	d.spawn("beat", func() { runEvery(ctx, beatInterval, d.beat) })
	d.spawn("confirm", func() { runEvery(ctx, idleRoundInterval, d.runIdleRound) })
	var err error
	if d.journal == nil {
		<-ctx.Done()
	} else {
		defer func() { _ = d.journal.Close() }()
		d.spawn("plan", func() { runEveryOrWoken(ctx, planInterval, d.planTrigger, d.plan) })
		d.spawn("poll", func() { runEveryOrWoken(ctx, pollInterval, d.pollTrigger, d.poll) })
		d.spawn("endpoint-records", func() { runEvery(ctx, recordInterval, d.commitEndpointRecords) })
		d.spawn("quarantine", func() { runEvery(ctx, lapseInterval, d.commitLapses) })
		d.spawn("crashes", func() { runEvery(ctx, askInterval, d.checkCrashes) })
		d.spawn("hint", func() { runEvery(ctx, hintInterval, d.sendHints) })
		d.spawn("membership", func() { d.keepMembership(ctx) })
		d.spawn("lost-connections", func() { d.checkLostConns(ctx) })
		err = d.keepReplicaRunning(ctx)
	}
	cancel()
	<-reaped
	for d.reap() {
		<-d.exited
	}
	return err
}

// spawn runs a function in a goroutine that reports its exit to Run.
func (d *Director) spawn(name string, run func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spawnLocked(name, run)
}

// spawnLocked is spawn for callers that hold mu.
func (d *Director) spawnLocked(name string, run func()) {
	d.running++
	go func() {
		defer func() { d.exited <- name }()
		run()
	}()
}

// reapUntilDone reaps exited goroutines until the context ends.
func (d *Director) reapUntilDone(ctx context.Context, reaped chan<- struct{}) {
	defer close(reaped)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.exited:
			d.mu.Lock()
			d.running--
			d.mu.Unlock()
		}
	}
}

// reap counts one goroutine as reaped and reports whether there was one; the
// caller then receives its exit.
func (d *Director) reap() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	return d.running >= 0
}

// runEvery runs a step at a fixed interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
	runEveryOrWoken(ctx, interval, nil, step)
}

// restFactor is the ratio of idle time to run time of a step. It bounds the step's
// share of a CPU to a tenth, however often it is woken.
const restFactor = 9

// runEveryOrWoken is runEvery for steps whose cost grows with the fleet: it rests
// between steps, and a message on wake starts the next one early.
func runEveryOrWoken(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		start := time.Now()
		step(ctx)
		if wake != nil {
			timekeeper.Sleep(ctx, restFactor*time.Since(start))
		}
	}
}

// triggerPlan starts the next plan early.
func (d *Director) triggerPlan() {
	select {
	case d.planTrigger <- struct{}{}:
	default:
	}
}

// Ready reports whether this process knows a leader.
func (d *Director) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader != ""
}

// controlAddresses returns the addresses of all known control processes except
// this one, the likeliest leader first.
func (d *Director) controlAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := []string{enroller.AddressOf(d.leader)}
	for _, c := range d.fleet.viewer.Controls() {
		candidates = append(candidates, c.Address)
	}
	for _, voter := range d.voters {
		candidates = append(candidates, enroller.AddressOf(voter))
	}
	candidates = append(candidates, d.seeds...)
	var addresses []string
	for _, address := range candidates {
		if address != "" && address != d.cfg.Address && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func now() time.Duration { return timekeeper.Now() }

// tracker returns the leader's table of endpoints. The caller holds mu.
func (d *Director) tracker() *tracker.Tracker { return d.fleet.tracker }
