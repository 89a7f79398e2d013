package director

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/describer"
	"papayaseam/internal/journaler"
	"papayaseam/internal/messenger"
	"papayaseam/internal/packer"
	"papayaseam/internal/replicator"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
)

// restPause is how long a replica rests before it tries a full disk again.
const restPause = 300 * time.Millisecond

// loop runs the replica. While its disk is full it rests: a save that found no
// room left the journal as it was, and the replica begins again from that.
func (d *Director) loop(ctx context.Context) error {
	for {
		err := d.runReplica(ctx)
		if !errors.Is(err, journaler.ErrFull) {
			return err
		}
		d.log.Warn("disk full; the replica rests until it has room", "err", err)
		d.rest()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restPause):
		}
	}
}

// rest answers all who wait for the replica that is given up.
func (d *Director) rest() {
	d.noteLeader(replicator.LeaderChangedEffect{Role: replicator.Follower, Term: d.machine.Term()})
	unknown := result{err: ErrOutcomeUnknown}
	for id := range maps.Clone(d.proposals) {
		d.answer(id, unknown)
	}
	for id := range maps.Clone(d.reads) {
		d.answer(id, unknown)
	}
}

// runReplica owns the replica: it takes messages in batches, saves once per
// batch, then executes the other effects.
func (d *Director) runReplica(ctx context.Context) error {
	state, err := d.journal.Load()
	if err != nil {
		return err
	}
	if err := d.restore(state.Snapshot.Data); err != nil {
		return err
	}
	d.machine = replicator.New(d.identity, state, replicator.WithSeed(uint64(now())))
	d.noteVoters()
	d.log.Info("replica started", "replica", d.identity, "term", d.machine.Term(), "snapshot", state.Snapshot.Index, "entries", len(state.Entries), "voters", d.machine.Voters())
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var batch []any
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			batch = append(batch, replicator.TickMsg{})
		case message := <-d.inbox:
			batch = append(batch, message)
		}
		if err := d.step(ctx, d.fill(batch)); err != nil {
			return err
		}
	}
}

func (d *Director) fill(batch []any) []any {
	for len(batch) < batchSize {
		select {
		case message := <-d.inbox:
			batch = append(batch, message)
		default:
			return batch
		}
	}
	return batch
}

// readMsg asks for a confirmation by a quorum; all of one batch share one.
type readMsg struct{ result chan result }

// step updates the replica with a batch. All saves are synced in one
// transaction before any other effect of the batch is executed.
func (d *Director) step(ctx context.Context, batch []any) error {
	var saves []replicator.SaveEffect
	var rest []replicator.Effect
	var readers []chan result
	take := func(message replicator.Msg) {
		for _, effect := range d.machine.Update(message) {
			if save, ok := effect.(replicator.SaveEffect); ok {
				saves = append(saves, save)
				continue
			}
			rest = append(rest, effect)
		}
	}
	for _, message := range batch {
		switch message := message.(type) {
		case readMsg:
			readers = append(readers, message.result)
		case proposal:
			d.proposals[message.id] = message.result
			take(message.message)
		case replicator.Msg:
			take(message)
		}
	}
	if len(readers) > 0 {
		d.nextID++
		d.reads[d.nextID] = readers
		take(replicator.ReadMsg{ID: d.nextID})
	}
	if len(saves) > 0 {
		if err := d.journal.Save(saves); err != nil {
			return err
		}
		d.noteSize(saves)
	}
	for _, effect := range rest {
		if err := d.execute(ctx, effect); err != nil {
			return err
		}
	}
	return d.compact()
}

func (d *Director) noteSize(saves []replicator.SaveEffect) {
	for _, save := range saves {
		for _, entry := range save.Entries {
			d.logBytes += len(entry.Data)
		}
	}
}

func (d *Director) execute(ctx context.Context, effect replicator.Effect) error {
	switch effect := effect.(type) {
	case replicator.SendEffect:
		d.send(ctx, effect.Message)
	case replicator.ProposalAppendedEffect:
		d.waiters[effect.Index] = waiter{term: effect.Term, result: d.proposals[effect.ID]}
		delete(d.proposals, effect.ID)
	case replicator.RejectedEffect:
		d.answer(effect.ID, result{err: effect.Err})
	case replicator.ReadConfirmedEffect:
		d.answer(effect.ID, result{})
	case replicator.ApplyEffect:
		d.applyAll(effect.Entries)
		d.noteVoters()
	case replicator.RestoreEffect:
		d.noteVoters()
		return d.restore(effect.Snapshot.Data)
	case replicator.LeaderChangedEffect:
		d.noteLeader(effect)
	}
	return nil
}

func (d *Director) answer(id uint64, r result) {
	if waiting, ok := d.proposals[id]; ok {
		waiting <- r
		delete(d.proposals, id)
	}
	for _, waiting := range d.reads[id] {
		waiting <- r
	}
	delete(d.reads, id)
}

func (d *Director) restore(data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.state.Restore(data); err != nil {
		return err
	}
	d.readDocument()
	return nil
}

// applyAll hands committed entries to the state, then answers who waits for
// them. Of several configurations only the newest is decoded.
func (d *Director) applyAll(entries []messenger.Entry) {
	results := make([]result, len(entries))
	d.mu.Lock()
	before, _ := d.state.Document()
	for i, entry := range entries {
		if entry.Kind == replicator.EntryCommand {
			results[i].changed = d.applyCommand(entry)
		}
	}
	if after, _ := d.state.Document(); after != before {
		d.readDocument()
	}
	d.mu.Unlock()
	for i, entry := range entries {
		d.answerApplied(entry, results[i])
	}
}

// answerApplied answers who waits for an entry.
func (d *Director) answerApplied(entry messenger.Entry, r result) {
	w, ok := d.waiters[entry.Index]
	if !ok {
		return
	}
	delete(d.waiters, entry.Index)
	if w.term != entry.Term {
		r.err = ErrOutcomeUnknown
	}
	w.result <- r
}

// applyCommand hands one command to the state; mu is held.
func (d *Director) applyCommand(entry messenger.Entry) bool {
	var command messenger.FleetCommand
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		d.log.Error("entry skipped", "index", entry.Index, "err", err)
		return false
	}
	changed := d.state.Update(cataloguer.CommandMsg{Command: command})
	if d.leading {
		d.noteCommitted(command)
	}
	return changed
}

// noteCommitted lets a leader that still applies an earlier one's log know its
// endpoints; mu is held.
func (d *Director) noteCommitted(command messenger.FleetCommand) {
	if e := command.Endpoint; e != nil {
		d.noteRemembered(*e)
	}
	for _, e := range command.Endpoints {
		d.noteRemembered(e)
	}
	if gone := command.Departure; gone != nil {
		d.table().Update(tracker.LeaveMsg{ID: gone.Instance, BootTime: gone.Born})
	}
}

// noteRemembered takes an endpoint from the log; what it says itself goes
// before that. mu is held.
func (d *Director) noteRemembered(view messenger.EndpointView) {
	view.Sequence = -1
	d.table().Update(tracker.AnnounceMsg{Now: now(), Endpoint: view})
}

// readDocument decodes the newest configuration; mu is held.
func (d *Director) readDocument() {
	version, document := d.state.Document()
	if version == 0 {
		return
	}
	config, err := d.decode(document)
	if err != nil {
		d.log.Error("configuration unreadable", "version", version, "err", err)
		return
	}
	d.config = config
	setGauge("papayaseam_configuration_version", float64(version))
	d.fleet.announce()
	d.log.Info("configuration committed", "version", version, "routes", len(config.Routes))
}

func (d *Director) decode(packed string) (*describer.Configuration, error) {
	document, err := packer.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return d.cfg.Decode(document)
}

func (d *Director) noteVoters() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.voters = d.machine.Voters()
}

func (d *Director) noteLeader(effect replicator.LeaderChangedEffect) {
	d.mu.Lock()
	was := d.leading
	d.leader = effect.Leader
	d.leading = effect.Role == replicator.Leader
	d.term = effect.Term
	if d.leading && !was {
		d.leadSince = now()
		d.heard = map[string]time.Duration{}
		d.takeOver()
	}
	if was && !d.leading {
		d.fleet.announce()
	}
	d.mu.Unlock()
	leads := 0.0
	if effect.Role == replicator.Leader {
		leads = 1
	}
	setGauge("papayaseam_control_leads", leads)
	d.log.Info("leader changed", "leader", effect.Leader, "role", effect.Role, "term", effect.Term)
	if effect.Role == replicator.Leader {
		return
	}
	for index, w := range maps.Clone(d.waiters) {
		w.result <- result{err: ErrOutcomeUnknown}
		delete(d.waiters, index)
	}
}

// compact replaces the log by a snapshot when it has grown.
func (d *Director) compact() error {
	if d.logBytes < compactBytes && d.machine.LogLength() < compactEntries {
		return nil
	}
	d.mu.Lock()
	data, err := d.state.Snapshot()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	var saves []replicator.SaveEffect
	for _, effect := range d.machine.Update(replicator.CompactMsg{Index: d.machine.AppliedIndex(), Data: data}) {
		if save, ok := effect.(replicator.SaveEffect); ok {
			saves = append(saves, save)
		}
	}
	if len(saves) == 0 {
		return nil
	}
	d.logBytes = 0
	return d.journal.Save(saves)
}

// propose hands a message to the replica and waits for its end.
func (d *Director) propose(ctx context.Context, build func(id uint64) replicator.Msg) (bool, error) {
	waiting := make(chan result, 1)
	d.mu.Lock()
	d.fleet.nextProposal++
	id := proposalIDs + d.fleet.nextProposal
	d.mu.Unlock()
	return d.await(ctx, proposal{message: build(id), id: id, result: waiting}, waiting)
}

// proposalIDs is where the identities of proposals begin, above those of reads.
const proposalIDs = 1 << 40

func (d *Director) await(ctx context.Context, message any, waiting <-chan result) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	select {
	case d.inbox <- message:
	case <-ctx.Done():
		return false, ErrOutcomeUnknown
	}
	select {
	case r := <-waiting:
		return r.changed, r.err
	case <-ctx.Done():
		return false, ErrOutcomeUnknown
	}
}

// command commits a command.
func (d *Director) command(ctx context.Context, command messenger.FleetCommand) (bool, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return false, errors.Wrap(err, "encode the command")
	}
	return d.propose(ctx, func(id uint64) replicator.Msg { return replicator.ProposeMsg{ID: id, Data: data} })
}
