// Package controller is the control role: it drives the replicated log, applies
// tickets, claims and assignments, gathers the presence of all processes, hands
// out configuration, and at the leader runs the planner.
//
// # Usage
//
//	c, err := controller.New(controller.Config{Name: "c1", Address: address, DataFolder: folder, Peers: peers}, logger)
//	c.Register(mux)
//	err = c.Run(ctx)
//
// Lock order: the loop goroutine owns the replica and its journal; mu guards
// the applied state and the presence table, and is never held while the loop
// is waited for.
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
	tickEvery       = 50 * time.Millisecond
	planEvery       = 200 * time.Millisecond
	presenceEvery   = 500 * time.Millisecond
	settleAfter     = 4 * time.Second
	commandTimeout  = 4 * time.Second
	replicaTimeout  = 2 * time.Second
	loadLife        = 10 * time.Second
	aliveFor        = 5 * time.Second
	compactEntries  = 2000
	inboxSize       = 4096
	batchSize       = 256
	peerQueue       = 1024
	maxWait         = 5 * time.Second
	presenceOverlap = 100 * time.Millisecond
)

// ErrOutcomeUnknown means that a command may or may not have been committed;
// send the same command again, it has no second effect.
var ErrOutcomeUnknown = errors.New("the outcome of the command is not known; send the same one again")

// ErrNoLeader means that no leader is known, so that the command was not
// appended; send it again in a moment.
var ErrNoLeader = errors.New("no control leader is known; check that a majority of control instances runs, then send again")

// Config is the place of one control process.
type Config struct {
	Name           string
	Address        string
	DataFolder     string
	Peers          map[string]string // Peers maps the founding control processes to addresses, this one included.
	PlannerOptions []planner.Option
	Seed           uint64
}

type proposal struct {
	message replicator.Msg
	id      uint64
	result  chan result
}

type result struct {
	answer messenger.CommandAnswer
	err    error
}

type waiter struct {
	term   int
	result chan result
}

// Controller is one control process.
type Controller struct {
	cfg     Config
	log     *log.Logger
	client  *transporter.Client
	journal *journaler.Journal
	machine *replicator.Machine
	planner *planner.Planner
	inbox   chan any
	peers   map[string]chan messenger.ReplicaMessage
	ended   chan string
	helpers int // helpers counts the goroutines that report their end on ended.
	burn    *recorder.Recorder
	began   time.Time

	nextID    uint64
	proposals map[uint64]chan result
	waiters   map[int]waiter

	mu         sync.Mutex
	registrar  *registrar.Registrar
	changed    chan struct{}
	present    presences
	remote     []messenger.GroupLoad // remote holds the loads that the leader last returned.
	remoteAt   time.Time
	leader     string
	leading    bool
	leadSince  time.Time
	lastPlan   time.Time
	clockStart time.Time
	voters     []string
	term       int
}

// New opens the journal and prepares the process; Run starts it.
func New(cfg Config, logger *log.Logger) (*Controller, error) {
	journal, err := journaler.Open(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	return &Controller{
		cfg: cfg, log: logger, client: transporter.NewClient(), journal: journal,
		planner: planner.New(cfg.PlannerOptions...), inbox: make(chan any, inboxSize),
		peers: map[string]chan messenger.ReplicaMessage{}, ended: make(chan string, peerQueue),
		burn: recorder.New(), began: time.Now(),
		proposals: map[uint64]chan result{}, waiters: map[int]waiter{},
		registrar: registrar.New(), changed: make(chan struct{}), present: presences{}, clockStart: time.Now(),
	}, nil
}

// Ready reports whether this process knows a leader.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != ""
}

// Run drives the process until the context ends or its disk fails.
func (c *Controller) Run(ctx context.Context) error {
	defer func() { _ = c.journal.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.enter(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	c.begin("planner", func() { c.repeat(ctx, planEvery, c.plan) })
	c.begin("presence", func() { c.repeat(ctx, presenceEvery, c.reportPresence) })
	err := c.loop(ctx)
	cancel()
	for range c.helpers {
		<-c.ended
	}
	return err
}

// begin runs a helper that reports its end to Run; only the goroutine of Run
// calls it.
func (c *Controller) begin(name string, run func()) {
	c.helpers++
	go func() {
		defer func() { c.ended <- name }()
		run()
	}()
}

// repeat runs a step at a steady pace until the context ends.
func (c *Controller) repeat(ctx context.Context, every time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(every)
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

// loop owns the replica: it takes messages in batches, saves once per batch,
// then executes the other effects.
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
	ticker := time.NewTicker(tickEvery)
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
		if err := c.step(ctx, c.fill(batch)); err != nil {
			return err
		}
	}
}

func (c *Controller) fill(batch []any) []any {
	for len(batch) < batchSize {
		select {
		case message := <-c.inbox:
			batch = append(batch, message)
		default:
			return batch
		}
	}
	return batch
}

// step updates the replica with a batch. All saves are synced in one
// transaction before any other effect of the batch is executed.
func (c *Controller) step(ctx context.Context, batch []any) error {
	var saves []replicator.SaveEffect
	var rest []replicator.Effect
	for _, message := range batch {
		for _, effect := range c.machine.Update(c.message(message)) {
			if save, ok := effect.(replicator.SaveEffect); ok {
				saves = append(saves, save)
				continue
			}
			rest = append(rest, effect)
		}
	}
	if len(saves) > 0 {
		if err := c.journal.Save(saves); err != nil {
			return err
		}
	}
	for _, effect := range rest {
		if err := c.execute(ctx, effect); err != nil {
			return err
		}
	}
	return c.compact()
}

func (c *Controller) message(message any) replicator.Msg {
	p, ok := message.(proposal)
	if !ok {
		return message.(replicator.Msg)
	}
	c.proposals[p.id] = p.result
	return p.message
}

func (c *Controller) execute(ctx context.Context, effect replicator.Effect) error {
	switch effect := effect.(type) {
	case replicator.SendEffect:
		c.send(ctx, effect.Message)
	case replicator.ProposalAppendedEffect:
		c.waiters[effect.Index] = waiter{term: effect.Term, result: c.proposals[effect.ID]}
		delete(c.proposals, effect.ID)
	case replicator.RejectedEffect:
		c.proposals[effect.ID] <- result{err: effect.Err}
		delete(c.proposals, effect.ID)
	case replicator.ApplyEffect:
		for _, entry := range effect.Entries {
			c.apply(entry)
		}
	case replicator.RestoreEffect:
		return c.restore(effect.Snapshot.Data)
	case replicator.LeaderChangedEffect:
		c.noteLeader(effect)
	}
	return nil
}

func (c *Controller) restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announce()
	return c.registrar.Restore(data)
}

// announce wakes the watchers; mu is held.
func (c *Controller) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// apply hands a committed entry to the state and answers who waits for it.
func (c *Controller) apply(entry messenger.Entry) {
	answer := messenger.CommandAnswer{}
	if entry.Kind == replicator.EntryCommand {
		answer = c.applyCommand(entry)
	}
	c.mu.Lock()
	c.voters = c.machine.Voters()
	c.mu.Unlock()
	w, ok := c.waiters[entry.Index]
	if !ok {
		return
	}
	delete(c.waiters, entry.Index)
	if w.term != entry.Term {
		w.result <- result{err: ErrOutcomeUnknown}
		return
	}
	w.result <- result{answer: answer}
}

func (c *Controller) applyCommand(entry messenger.Entry) messenger.CommandAnswer {
	var command messenger.Command
	answer := messenger.CommandAnswer{}
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		c.log.Error("entry skipped", "index", entry.Index, "err", err)
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
			c.announce()
		}
	}
	return answer
}

func (c *Controller) noteLeader(effect replicator.LeaderChangedEffect) {
	c.mu.Lock()
	was := c.leading
	c.leader = effect.Leader
	c.leading = effect.Role == replicator.Leader
	c.term = effect.Term
	if c.leading && !was {
		c.leadSince = time.Now()
		c.clockStart = time.Now().Add(-time.Duration(c.registrar.LogTimeMs()) * time.Millisecond)
		c.planner = planner.New(c.cfg.PlannerOptions...)
	}
	c.mu.Unlock()
	c.log.Info("leader changed", "leader", effect.Leader, "role", effect.Role, "term", effect.Term)
	if effect.Role == replicator.Leader {
		return
	}
	for index, w := range maps.Clone(c.waiters) {
		w.result <- result{err: ErrOutcomeUnknown}
		delete(c.waiters, index)
	}
}

// snapshotIfDue returns the state once the log has grown by as much as the state
// holds, so that the cost per entry stays the same however many claims stand.
func (c *Controller) snapshotIfDue() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine.LogLength() < max(compactEntries, c.registrar.ClaimCount()) {
		return nil, nil
	}
	return c.registrar.Snapshot()
}

// compact replaces the log by a snapshot when one is due.
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
