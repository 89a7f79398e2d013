// Package controller implements the control process: it runs a replica of the
// log, applies tickets, claims and assignments, collects the status of all
// processes, distributes configuration, and on the leader runs the planner.
//
// # Usage
//
//	c, err := controller.New(controller.Config{Name: "c1", Address: address, DataFolder: dataFolder, Peers: peers}, logger)
//	c.Register(mux)
//	err = c.Run(ctx)
//
// Locking: the loop goroutine owns the replica and its journal. mu guards the
// applied state and the presence table, and must not be held while waiting for
// the loop.
package controller

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"papayaseam/internal/journaler"
	"papayaseam/internal/messenger"
	"papayaseam/internal/planner"
	"papayaseam/internal/recorder"
	"papayaseam/internal/registrar"
	"papayaseam/internal/replicator"
	"papayaseam/internal/transporter"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	tickInterval      = 50 * time.Millisecond
	planInterval      = 200 * time.Millisecond
	presenceInterval  = 500 * time.Millisecond
	leaderSettleDelay = 4 * time.Second // time for all processes to report to a new leader
	commandTimeout    = 4 * time.Second
	peerCallTimeout   = 2 * time.Second
	loadReportMaxAge  = 10 * time.Second
	aliveTimeout      = 5 * time.Second
	minCompactEntries = 2000
	inboxSize         = 4096
	maxBatchSize      = 256
	peerQueueSize     = 1024
	maxSyncWait       = 5 * time.Second
	presenceOverlap   = 100 * time.Millisecond
)

// ErrOutcomeUnknown means that a command may or may not have been committed.
// Sending the same command again is safe: it takes effect only once.
var ErrOutcomeUnknown = errors.New("the outcome of the command is not known; send the same one again")

// ErrNoLeader means that no leader is known, so that the command was not appended
// to the log. Retry after a short delay.
var ErrNoLeader = errors.New("no control leader is known; check that a majority of control instances runs, then send again")

// Config holds the settings of a control process.
type Config struct {
	Name           string
	Address        string
	DataFolder     string
	Peers          map[string]string // Peers maps the names of the founding control processes to their addresses, including this one.
	PlannerOptions []planner.Option
	Seed           uint64
}

// proposal is a message to the replica loop whose outcome is sent on result.
type proposal struct {
	message replicator.Msg
	id      uint64
	result  chan result
}

// result is the outcome of a proposal.
type result struct {
	answer messenger.CommandAnswer
	err    error
}

// waiter receives the outcome of an entry that was appended in term.
type waiter struct {
	term   int
	result chan result
}

// Controller is a control process.
type Controller struct {
	cfg             Config
	log             *log.Logger
	client          *transporter.Client
	journal         *journaler.Journal
	machine         *replicator.Machine
	planner         *planner.Planner
	inbox           chan any
	peers           map[string]chan messenger.ReplicaMessage
	backgroundDone  chan string
	backgroundCount int // backgroundCount is the number of goroutines that report their end on backgroundDone.
	burnRecorder    *recorder.Recorder
	startedAt       time.Time

	lastProposalID uint64
	proposals      map[uint64]chan result
	waiters        map[int]waiter

	mu            sync.Mutex
	registrar     *registrar.Registrar
	changed       chan struct{}
	presence      presenceTable
	leaderLoads   []messenger.GroupLoad // leaderLoads holds the load reports that the leader last returned.
	leaderLoadsAt time.Time
	leader        string
	isLeader      bool
	leaderSince   time.Time
	lastPlanAt    time.Time
	logClockStart time.Time
	voters        []string
	term          int
}

// New opens the journal and returns a controller; call Run to start it. It returns
// an error if the journal can't be opened.
func New(cfg Config, logger *log.Logger) (*Controller, error) {
	journal, err := journaler.Open(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	return &Controller{
		cfg: cfg, log: logger, client: transporter.NewClient(), journal: journal,
		planner: planner.New(cfg.PlannerOptions...), inbox: make(chan any, inboxSize),
		peers: map[string]chan messenger.ReplicaMessage{}, backgroundDone: make(chan string, peerQueueSize),
		burnRecorder: recorder.New(), startedAt: time.Now(),
		proposals: map[uint64]chan result{}, waiters: map[int]waiter{},
		registrar: registrar.New(), changed: make(chan struct{}), presence: presenceTable{}, logClockStart: time.Now(),
	}, nil
}

// Ready reports whether this process knows the current leader.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != ""
}

// Run runs the process until the context ends, which returns nil, or until its
// journal or stored state fails, which returns the error.
func (c *Controller) Run(ctx context.Context) error {
	defer func() { _ = c.journal.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.ensureIdentity(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	c.startBackground("planner", func() { c.runPeriodically(ctx, planInterval, c.plan) })
	c.startBackground("presence", func() { c.runPeriodically(ctx, presenceInterval, c.reportPresence) })
	err := c.loop(ctx)
	cancel()
	for range c.backgroundCount {
		<-c.backgroundDone
	}
	return err
}

// startBackground starts a goroutine that reports its end to Run. Only the
// goroutine of Run may call it, because backgroundCount is not synchronised.
func (c *Controller) startBackground(name string, run func()) {
	c.backgroundCount++
	go func() {
		defer func() { c.backgroundDone <- name }()
		run()
	}()
}

// runPeriodically calls step at every interval until the context ends.
func (c *Controller) runPeriodically(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(ctx)
		}
	}
}

// loop runs the replica: it processes messages in batches, saves once per batch,
// and then executes the other effects.
func (c *Controller) loop(ctx context.Context) error {
	state, err := c.journal.Load()
	if err != nil {
		return err
	}
	if err := c.restore(state.Snapshot.Data); err != nil {
		return err
	}
	c.machine = replicator.New(c.journal.Identity(), state, replicator.WithSeed(c.cfg.Seed))
	c.log.Info("replica started", "replica", c.machine.ID(), "term", c.machine.Term(), "snapshot", state.Snapshot.Index, "entries", len(state.Entries))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var batch []any
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			batch = append(batch, replicator.TickMsg{})
		case message := <-c.inbox:
			batch = append(batch, message)
		}
		if err := c.step(ctx, c.fillBatch(batch)); err != nil {
			return err
		}
	}
}

// fillBatch adds messages that are already in the inbox, up to maxBatchSize.
func (c *Controller) fillBatch(batch []any) []any {
	for len(batch) < maxBatchSize {
		select {
		case message := <-c.inbox:
			batch = append(batch, message)
		default:
			return batch
		}
	}
	return batch
}

// step updates the replica with a batch of messages. All saves are synced to disk
// in one transaction before any other effect of the batch is executed.
func (c *Controller) step(ctx context.Context, batch []any) error {
	var saves []replicator.SaveEffect
	var otherEffects []replicator.Effect
	for _, message := range batch {
		for _, effect := range c.machine.Update(c.toReplicaMsg(message)) {
			if save, ok := effect.(replicator.SaveEffect); ok {
				saves = append(saves, save)
				continue
			}
			otherEffects = append(otherEffects, effect)
		}
	}
	if len(saves) > 0 {
		if err := c.journal.Save(saves); err != nil {
			return err
		}
	}
	for _, effect := range otherEffects {
		if err := c.execute(ctx, effect); err != nil {
			return err
		}
	}
	return c.compact()
}

// toReplicaMsg returns the replica message of an inbox item and registers where the
// outcome of a proposal is sent.
func (c *Controller) toReplicaMsg(message any) replicator.Msg {
	proposed, ok := message.(proposal)
	if !ok {
		return message.(replicator.Msg)
	}
	c.proposals[proposed.id] = proposed.result
	return proposed.message
}

// execute carries out an effect of the replica other than a save.
func (c *Controller) execute(ctx context.Context, effect replicator.Effect) error {
	switch effect := effect.(type) {
	case replicator.SendEffect:
		c.enqueue(ctx, effect.Message)
	case replicator.ProposalAppendedEffect:
		c.waiters[effect.Index] = waiter{term: effect.Term, result: c.proposals[effect.ID]}
		delete(c.proposals, effect.ID)
	case replicator.RejectedEffect:
		c.proposals[effect.ID] <- result{err: effect.Err}
		delete(c.proposals, effect.ID)
	case replicator.CaughtUpEffect:
		if done, ok := c.proposals[effect.ID]; ok {
			done <- result{}
			delete(c.proposals, effect.ID)
		}
	case replicator.ApplyEffect:
		for _, entry := range effect.Entries {
			c.apply(entry)
		}
	case replicator.RestoreEffect:
		return c.restore(effect.Snapshot.Data)
	case replicator.LeaderChangedEffect:
		c.handleLeaderChange(effect)
	}
	return nil
}

// restore replaces the applied state by a snapshot and wakes the watchers.
func (c *Controller) restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyWatchers()
	return c.registrar.Restore(data)
}

// notifyWatchers wakes the sync requests that wait for a change. The caller must
// hold mu.
func (c *Controller) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// apply applies a committed entry to the state and sends the outcome to its
// waiter. If an entry of another term was committed at the index, the waiter gets
// ErrOutcomeUnknown.
func (c *Controller) apply(entry messenger.Entry) {
	answer := messenger.CommandAnswer{}
	if entry.Kind == replicator.EntryCommand {
		answer = c.applyCommand(entry)
	}
	c.mu.Lock()
	c.voters = c.machine.Voters()
	c.mu.Unlock()
	pending, ok := c.waiters[entry.Index]
	if !ok {
		return
	}
	delete(c.waiters, entry.Index)
	if pending.term != entry.Term {
		pending.result <- result{err: ErrOutcomeUnknown}
		return
	}
	pending.result <- result{answer: answer}
}

// applyCommand applies the command in an entry. An entry that can't be decoded is
// logged and skipped.
func (c *Controller) applyCommand(entry messenger.Entry) messenger.CommandAnswer {
	var command messenger.Command
	answer := messenger.CommandAnswer{}
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		c.log.Error("skipped a log entry whose command could not be decoded", "index", entry.Index, "err", err)
		return answer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, effect := range c.registrar.Update(registrar.CommandMsg{Index: entry.Index, Command: command}) {
		switch effect := effect.(type) {
		case registrar.TicketEffect:
			answer.Ticket = &effect.Answer
		case registrar.ClaimEffect:
			answer.Claim = &effect.Answer
		case registrar.CrashEffect:
			answer.Crash = &effect.Answer
		case registrar.AssignEffect:
			answer.Assigned = effect.Accepted
		case registrar.ChangedEffect:
			c.notifyWatchers()
		}
	}
	return answer
}

// handleLeaderChange stores the new leader. A new leader restarts the log clock at
// the last applied log time and starts with a fresh planner. A process that is
// not the leader fails all waiters with ErrOutcomeUnknown.
func (c *Controller) handleLeaderChange(effect replicator.LeaderChangedEffect) {
	c.mu.Lock()
	wasLeader := c.isLeader
	c.leader = effect.Leader
	c.isLeader = effect.Role == replicator.Leader
	c.term = effect.Term
	if c.isLeader && !wasLeader {
		c.leaderSince = time.Now()
		c.logClockStart = time.Now().Add(-time.Duration(c.registrar.LogTimeMs()) * time.Millisecond)
		c.planner = planner.New(c.cfg.PlannerOptions...)
	}
	c.mu.Unlock()
	c.log.Info("leader changed", "leader", effect.Leader, "role", effect.Role, "term", effect.Term)
	if effect.Role == replicator.Leader {
		return
	}
	for index, pending := range maps.Clone(c.waiters) {
		pending.result <- result{err: ErrOutcomeUnknown}
		delete(c.waiters, index)
	}
}

// snapshotIfDue returns a snapshot of the state, or nil if none is due. One is due
// when the log has at least minCompactEntries entries and as many as the state has
// claims, so that the snapshot cost per entry doesn't grow with the number of
// claims.
func (c *Controller) snapshotIfDue() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine.LogLength() < max(minCompactEntries, c.registrar.ClaimCount()) {
		return nil, nil
	}
	return c.registrar.Snapshot()
}

// compact replaces the applied part of the log by a snapshot if one is due.
func (c *Controller) compact() error {
	data, err := c.snapshotIfDue()
	if data == nil {
		return err
	}
	var saves []replicator.SaveEffect
	for _, effect := range c.machine.Update(replicator.CompactMsg{Index: c.machine.AppliedIndex(), Data: data}) {
		if save, ok := effect.(replicator.SaveEffect); ok {
			saves = append(saves, save)
		}
	}
	if len(saves) == 0 {
		return nil
	}
	return c.journal.Save(saves)
}
