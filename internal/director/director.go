// Package director is the control role where endpoints are served without side
// processes: it drives the replicated log, keeps the declared configuration and
// the table of endpoints, and at the leader forms groups.
//
// # Usage
//
//	d, err := director.New(director.Config{Address: address, Seeds: seeds, DataFolder: folder}, endpoints, logger)
//	d.RegisterHandlers(mux)
//	err = d.Run(ctx)
//
// A process without a folder has no vote. Each process follows the leader's view
// and serves it to entries, and passes on in one digest what it has heard.
//
// Lock order: the loop goroutine owns the replica and its journal; mu guards
// everything else and is never held while the loop or a call is waited for.
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
	"papayaseam/internal/replicator"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/tracker"
	"papayaseam/internal/transporter"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	tickEvery  = 50 * time.Millisecond
	planEvery  = 50 * time.Millisecond
	enrolEvery = 200 * time.Millisecond
	inboxSize  = 4096
	batchSize  = 256
	// peerQueue bounds what waits for a peer that does not read; the log repeats
	// what is dropped.
	peerQueue = 64
	endsQueue = 1024
	// ordersAtOnce bounds the orders under way: more of them only wait for each
	// other in this process, and time out.
	ordersAtOnce   = 64
	replicaTimeout = 700 * time.Millisecond
	commandTimeout = 900 * time.Millisecond
	// dialTimeout is far above the way to another control process, and far below
	// the second after which a lost first packet is sent again.
	dialTimeout   = 250 * time.Millisecond
	maxWait       = time.Second
	maxHops       = 3
	identityBytes = 6
	// compactBytes is some of the largest configurations: a new replica reads the
	// snapshot with the newest one, and not all that were before it.
	compactBytes = 512 << 10
	// compactEntries bounds the time to read the log at a start.
	compactEntries = 2000
)

// ErrNoLeader means that no leader answers; send the call again in a moment, to
// any control process.
var ErrNoLeader = errors.New("no control leader answers; send the call again in a moment")

// ErrOutcomeUnknown means that a command may or may not be committed; send the
// same one again, it has no second effect.
var ErrOutcomeUnknown = errors.New("the outcome of the command is not known; send the same one again")

// EndpointClient holds the calls to endpoints.
type EndpointClient interface {
	// Report returns an endpoint's state and the start of its boot.
	Report(ctx context.Context, endpoint messenger.EndpointView) (messenger.EndpointReport, int, error)
	// Order sends one order under a fencing token; begun tells that the endpoint
	// has begun something, which counts among its orders.
	Order(ctx context.Context, endpoint messenger.EndpointView, order placer.Order, token int) (begun bool, err error)
}

// ErrBootEnded marks errors of calls that show that the endpoint's boot has ended.
var ErrBootEnded = errors.New("this boot of the endpoint has ended; its next boot announces itself")

// ErrSuperseded marks orders that an endpoint refused since it has seen a newer
// epoch or token; look at its state before the next order.
var ErrSuperseded = errors.New("the endpoint has seen newer orders; its group must be given up")

// Config is the place of one control process.
type Config struct {
	Name              string
	FailureDomain     string   // FailureDomain is the failure domain of this process.
	Address           string   // Address is the inner address of this process.
	ListenAddress     string   // ListenAddress is the address where endpoints reach this process.
	Seeds             []string // Seeds are the inner addresses of the seeds.
	FirstStart        bool     // FirstStart tells that the whole system starts for the first time.
	DataFolder        string   // DataFolder is empty for a process without a disk.
	ToleratedLosses   int      // ToleratedLosses is the number of disks that may be lost at once.
	GroupStallTimeout time.Duration
	Decode            func(document []byte) (*describer.Configuration, error)
}

// store is the durable state of this replica.
type store interface {
	Identity() string
	Found(identity string, snapshot messenger.Snapshot) error
	Load() (replicator.PersistentState, error)
	Save(effects []replicator.SaveEffect) error
	Close() error
}

// result answers a proposal or a read.
type result struct {
	changed bool
	err     error
}

type proposal struct {
	message replicator.Msg
	id      uint64
	result  chan result
}

type waiter struct {
	term   int
	result chan result
}

// Director is one control process.
type Director struct {
	cfg       Config
	log       *log.Logger
	client    *transporter.Client
	endpoints EndpointClient
	journal   store // journal is nil for a process without a disk.
	machine   *replicator.Machine
	inbox     chan any
	peers     map[string]chan messenger.ReplicaMessage
	ended     chan string
	orders    chan struct{} // orders holds a token for each order under way.
	rounds    *batcher.Batcher[messenger.Confirmation]
	wake      chan struct{} // wake brings the next plan forward.
	logBytes  int

	nextID    uint64
	proposals map[uint64]chan result
	reads     map[uint64][]chan result
	waiters   map[int]waiter

	mu        sync.Mutex
	identity  string
	helpers   int
	seeds     []string
	leader    string
	leading   bool
	term      int
	leadSince time.Duration
	voters    []string
	heard     map[string]time.Duration
	joiners   []string
	authority time.Duration // authority is when the last round began in which a quorum confirmed this leader.
	roundAt   time.Duration // roundAt is when the last confirmed round began, through whichever leader.
	collector collector
	state     *cataloguer.Cataloguer
	config    *describer.Configuration
	fleet     fleet
}

// New opens the journal and prepares the process; Run starts it.
func New(cfg Config, endpoints EndpointClient, logger *log.Logger) (*Director, error) {
	d := &Director{
		cfg: cfg, log: logger, client: transporter.NewClient(transporter.WithDialTimeout(dialTimeout)), endpoints: endpoints,
		inbox: make(chan any, inboxSize), peers: map[string]chan messenger.ReplicaMessage{}, ended: make(chan string, endsQueue), orders: make(chan struct{}, ordersAtOnce), wake: make(chan struct{}, 1),
		proposals: map[uint64]chan result{}, reads: map[uint64][]chan result{}, waiters: map[int]waiter{},
		seeds: cfg.Seeds, heard: map[string]time.Duration{}, state: cataloguer.New(), fleet: newFleet(), collector: newCollector(),
	}
	d.rounds = batcher.New(roundGap, d.round)
	if cfg.DataFolder == "" {
		return d, nil
	}
	journal, err := journaler.Open(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	d.journal = journal
	if journal.Identity() == "" {
		if err := d.found(); err != nil {
			return nil, err
		}
	}
	d.identity = journal.Identity()
	return d, nil
}

// found gives a process with an empty disk its identity.
func (d *Director) found() error {
	fresh := make([]byte, identityBytes)
	if _, err := rand.Read(fresh); err != nil {
		return errors.Wrap(err, "draw an identity")
	}
	identity, voters := enroller.Found(enroller.Place{
		Address: d.cfg.Address, Seeds: d.cfg.Seeds, First: d.cfg.FirstStart, Fresh: hex.EncodeToString(fresh),
	})
	d.log.Info("identity chosen", "replica", identity, "voters", voters)
	return d.journal.Found(identity, messenger.Snapshot{Voters: voters})
}

// SetSeeds exchanges the seeds.
func (d *Director) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// Run drives the process until the context ends or its disk fails.
func (d *Director) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reaped := make(chan struct{})
	go d.reapUntil(ctx, reaped)
	d.begin("sync", func() { d.follow(ctx) })
	d.begin("confirm", func() { repeat(ctx, confirmEvery, d.keepConfirmed) })
	var err error
	if d.journal == nil {
		<-ctx.Done()
	} else {
		defer func() { _ = d.journal.Close() }()
		d.begin("plan", func() { repeatOrWoken(ctx, planEvery, d.wake, d.plan) })
		d.begin("poll", func() { repeatOrWoken(ctx, pollEvery, make(chan struct{}), d.poll) })
		d.begin("remember", func() { repeat(ctx, rememberEvery, d.commitRemembered) })
		d.begin("hint", func() { repeat(ctx, hintEvery, d.hint) })
		d.begin("enrol", func() { repeat(ctx, enrolEvery, d.enrol) })
		err = d.loop(ctx)
	}
	cancel()
	<-reaped
	for d.reap() {
		<-d.ended
	}
	return err
}

// begin runs a helper that reports its end to Run.
func (d *Director) begin(name string, run func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beginLocked(name, run)
}

// beginLocked is begin where mu is held.
func (d *Director) beginLocked(name string, run func()) {
	d.helpers++
	go func() {
		defer func() { d.ended <- name }()
		run()
	}()
}

// reapUntil counts helpers that have ended until the context ends.
func (d *Director) reapUntil(ctx context.Context, reaped chan<- struct{}) {
	defer close(reaped)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.ended:
			d.mu.Lock()
			d.helpers--
			d.mu.Unlock()
		}
	}
}

// reap counts one helper's end and reports whether there is one to wait for.
func (d *Director) reap() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers--
	return d.helpers >= 0
}

// repeat runs a step at a steady pace until the context ends.
func repeat(ctx context.Context, every time.Duration, step func(context.Context)) {
	repeatOrWoken(ctx, every, nil, step)
}

// restFactor bounds a step's part of the processor to a tenth: it rests for so
// many times what it took, however often it is woken.
const restFactor = 9

// repeatOrWoken is repeat for steps that grow with the fleet: it rests between
// them, and a word on the channel brings the next one forward.
func repeatOrWoken(ctx context.Context, every time.Duration, wake <-chan struct{}, step func(context.Context)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		began := time.Now()
		step(ctx)
		if wake != nil {
			rest(ctx, restFactor*time.Since(began))
		}
	}
}

// rest waits, or until the context ends.
func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// wakePlan brings the next plan forward.
func (d *Director) wakePlan() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Ready reports whether this process knows a leader.
func (d *Director) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader != ""
}

// leaderAddress returns the leader's inner address, and whether it is this
// process.
func (d *Director) leaderAddress() (address string, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return enroller.AddressOf(d.leader), d.leading
}

// contacts returns the addresses of all control processes known here, the
// likeliest leader first, this process left out.
func (d *Director) contacts() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []string{enroller.AddressOf(d.leader)}
	for _, c := range d.fleet.viewer.Controls() {
		list = append(list, c.Address)
	}
	for _, voter := range d.voters {
		list = append(list, enroller.AddressOf(voter))
	}
	list = append(list, d.seeds...)
	var known []string
	for _, address := range list {
		if address != "" && address != d.cfg.Address && !slices.Contains(known, address) {
			known = append(known, address)
		}
	}
	return known
}

func now() time.Duration { return timekeeper.Now() }

// table is the tracker of the leader.
func (d *Director) table() *tracker.Tracker { return d.fleet.tracker }
