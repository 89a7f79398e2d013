package director

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/describer"
	"papayaseam/internal/enroller"
	"papayaseam/internal/journaler"
	"papayaseam/internal/messenger"
	"papayaseam/internal/packer"
	"papayaseam/internal/replicator"
	"papayaseam/internal/tracker"

	"github.com/cockroachdb/errors"
)

// diskFullRetryDelay is the time between attempts to write to a full disk.
const diskFullRetryDelay = 300 * time.Millisecond

// keepReplicaRunning runs the replica and restarts it while its disk is full: a
// failed save leaves the journal unchanged, so the replica can start from it again.
// It returns any other error.
func (d *Director) keepReplicaRunning(ctx context.Context) error {
	for {
		err := d.runReplica(ctx)
		if !errors.Is(err, journaler.ErrFull) {
			return err
		}
		d.log.Warn("disk full; restarting the replica from its journal", "err", err)
		d.failPending()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(diskFullRetryDelay):
		}
	}
}

// failPending ends the leadership of a replica that is about to be restarted and
// completes all pending requests with ErrOutcomeUnknown.
func (d *Director) failPending() {
	d.handleLeaderChange(replicator.LeaderChangedEffect{Role: replicator.Follower, Term: d.machine.Term()})
	unknown := result{err: ErrOutcomeUnknown}
	for id := range maps.Clone(d.proposals) {
		d.completeRequest(id, unknown)
	}
	for id := range maps.Clone(d.reads) {
		d.completeRequest(id, unknown)
	}
}

// runReplica loads the replica from its journal and runs it: it processes messages
// in batches and saves once per batch before it executes the other effects.
func (d *Director) runReplica(ctx context.Context) error {
	state, err := d.journal.Load()
	if err != nil {
		return err
	}
	if err := d.restore(state.Snapshot); err != nil {
		return err
	}
	d.machine = replicator.New(d.identity, state, replicator.WithSeed(uint64(now())))
	d.updateVoters()
	d.log.Info("replica started", "replica", d.identity, "term", d.machine.Term(), "snapshot", state.Snapshot.Index, "entries", len(state.Entries), "voters", d.machine.Voters())
	ticker := time.NewTicker(tickInterval)
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
		if err := d.step(ctx, d.fillBatch(batch)); err != nil {
			return err
		}
	}
}

// fillBatch adds the messages that are waiting in the inbox, up to maxBatchSize.
func (d *Director) fillBatch(batch []any) []any {
	for len(batch) < maxBatchSize {
		select {
		case message := <-d.inbox:
			batch = append(batch, message)
		default:
			return batch
		}
	}
	return batch
}

// readMsg requests a confirmation by a quorum; all requests in one batch share it.
type readMsg struct{ result chan result }

// step updates the replica with a batch. All saves are synced in one transaction
// before any other effect of the batch is executed.
func (d *Director) step(ctx context.Context, batch []any) error {
	var saves []replicator.SaveEffect
	var effects []replicator.Effect
	var readers []chan result
	update := func(message replicator.Msg) {
		for _, effect := range d.machine.Update(message) {
			if save, ok := effect.(replicator.SaveEffect); ok {
				saves = append(saves, save)
				continue
			}
			effects = append(effects, effect)
		}
	}
	for _, message := range batch {
		switch message := message.(type) {
		case readMsg:
			readers = append(readers, message.result)
		case proposal:
			d.proposals[message.id] = message.result
			update(message.message)
		case replicator.Msg:
			update(message)
		}
	}
	if len(readers) > 0 {
		d.nextReadID++
		d.reads[d.nextReadID] = readers
		update(replicator.ReadMsg{ID: d.nextReadID})
	}
	if len(saves) > 0 {
		if err := d.journal.Save(saves); err != nil {
			return err
		}
		d.addLogBytes(saves)
	}
	for _, effect := range effects {
		if err := d.execute(ctx, effect); err != nil {
			return err
		}
	}
	return d.compact()
}

// addLogBytes adds saved entries to the size of the log since the last snapshot.
func (d *Director) addLogBytes(saves []replicator.SaveEffect) {
	for _, save := range saves {
		for _, entry := range save.Entries {
			d.logBytes += len(entry.Data)
		}
	}
}

// execute carries out one effect of the replica.
func (d *Director) execute(ctx context.Context, effect replicator.Effect) error {
	switch effect := effect.(type) {
	case replicator.SendEffect:
		d.send(ctx, effect.Message)
	case replicator.ProposalAppendedEffect:
		d.waiters[effect.Index] = waiter{term: effect.Term, result: d.proposals[effect.ID]}
		delete(d.proposals, effect.ID)
	case replicator.RejectedEffect:
		d.completeRequest(effect.ID, result{err: effect.Err})
	case replicator.ReadConfirmedEffect:
		d.completeRequest(effect.ID, result{})
	case replicator.CaughtUpEffect:
		if effect.ID == 0 {
			d.triggerMembership()
		}
		d.completeRequest(effect.ID, result{})
	case replicator.ApplyEffect:
		d.applyEntries(effect.Entries)
		d.updateVoters()
		if slices.ContainsFunc(effect.Entries, replicator.EndsChange) {
			d.triggerMembership()
		}
	case replicator.RestoreEffect:
		d.updateVoters()
		return d.restore(effect.Snapshot)
	case replicator.LeaderChangedEffect:
		d.handleLeaderChange(effect)
	}
	return nil
}

// completeRequest sends the result to the caller of a proposal or the callers of a
// read.
func (d *Director) completeRequest(id uint64, r result) {
	if done, ok := d.proposals[id]; ok {
		done <- r
		delete(d.proposals, id)
	}
	for _, done := range d.reads[id] {
		done <- r
	}
	delete(d.reads, id)
}

// restore replaces the applied state with a snapshot.
func (d *Director) restore(snapshot messenger.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.state.Restore(snapshot.Data); err != nil {
		return err
	}
	d.appliedIndex = snapshot.Index
	d.loadConfiguration()
	d.quarantineChanged()
	if d.state.Evacuations().Revision() > 0 {
		d.evacuationsChanged()
	}
	return nil
}

// applyEntries applies committed entries to the state, then completes the proposals
// that wait for them. Of several configurations, only the newest is decoded.
func (d *Director) applyEntries(entries []messenger.Entry) {
	results := make([]result, len(entries))
	d.mu.Lock()
	before, _ := d.state.Document()
	quarantine, evacuations := d.state.Quarantine().Revision(), d.state.Evacuations().Revision()
	for i, entry := range entries {
		if entry.Kind == replicator.EntryCommand {
			results[i].changed = d.applyCommand(entry)
		}
		d.appliedIndex = entry.Index
	}
	if after, _ := d.state.Document(); after != before {
		d.loadConfiguration()
	}
	if d.state.Quarantine().Revision() != quarantine {
		d.quarantineChanged()
	}
	if d.state.Evacuations().Revision() != evacuations {
		d.evacuationsChanged()
	}
	d.mu.Unlock()
	for i, entry := range entries {
		d.completeEntry(entry, results[i])
	}
}

// completeEntry completes the proposal that waits for an applied entry. If another
// leader's entry took its place in the log, the outcome is unknown.
func (d *Director) completeEntry(entry messenger.Entry, r result) {
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

// applyCommand applies one command to the state and reports whether it changed
// anything. The caller holds mu.
func (d *Director) applyCommand(entry messenger.Entry) bool {
	var command messenger.FleetCommand
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		d.log.Error("skipping undecodable log entry", "index", entry.Index, "err", err)
		return false
	}
	changed := d.state.Update(cataloguer.CommandMsg{Command: command, Index: entry.Index})
	if d.leading {
		d.trackCommitted(command)
	}
	return changed
}

// trackCommitted adds committed endpoints and departures to the endpoint table of a
// leader that is still applying the log of an earlier one. The caller holds mu.
func (d *Director) trackCommitted(command messenger.FleetCommand) {
	if e := command.Endpoint; e != nil {
		d.trackRecordedEndpoint(*e)
	}
	for _, e := range command.Endpoints {
		d.trackRecordedEndpoint(e)
	}
	if departure := command.Departure; departure != nil {
		d.tracker().Update(tracker.LeaveMsg{ID: departure.Instance, BootTime: departure.Born})
	}
}

// trackRecordedEndpoint adds an endpoint from the log or from the last leader's view to
// the endpoint table, with a sequence number below any of its own announcements, which
// take precedence. A departure in the log holds whatever that view says: it may have been
// acknowledged after the view was published. The caller holds mu.
func (d *Director) trackRecordedEndpoint(view messenger.EndpointView) {
	view.Sequence = -1
	view.Leaving = view.Leaving || d.state.Departed(view.Instance, view.Born)
	d.tracker().Update(tracker.AnnounceMsg{Now: now(), Endpoint: view, Cold: d.inheritedCold(view)})
}

// loadConfiguration decodes the newest committed configuration and keeps the current
// one if that fails. The caller holds mu.
func (d *Director) loadConfiguration() {
	version, document := d.state.Document()
	if version == 0 {
		return
	}
	config, err := d.decode(document)
	if err != nil {
		d.log.Error("could not decode committed configuration", "version", version, "err", err)
		return
	}
	d.config = config
	setGauge("papayaseam_configuration_version", float64(version))
	d.fleet.notifyWaiters()
	d.log.Info("configuration committed", "version", version, "routes", len(config.Routes))
}

// decode unpacks and decodes a configuration document.
func (d *Director) decode(packed string) (*describer.Configuration, error) {
	document, err := packer.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return d.cfg.Decode(document)
}

// updateVoters copies the replica's voters to where mu guards them.
func (d *Director) updateVoters() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.voters = d.machine.Voters()
}

// handleLeaderChange records the new leader and term, and starts or ends the
// leadership of this process. A process that doesn't lead completes its waiting
// proposals with ErrOutcomeUnknown.
func (d *Director) handleLeaderChange(effect replicator.LeaderChangedEffect) {
	d.mu.Lock()
	wasLeading := d.leading
	d.leader = effect.Leader
	d.leading = effect.Role == replicator.Leader
	d.term = effect.Term
	if d.leader != "" && !d.leading {
		d.lastLeader = d.leader
	}
	if d.leading != wasLeading {
		if pending := d.applicants.Replicas(); len(pending) > 0 {
			d.log.Info("join requests forgotten with the leadership", "replicas", firstNames(pending), "term", effect.Term)
		}
		d.applicants.Update(enroller.LeadershipMsg{Leading: d.leading})
	}
	if d.leading && !wasLeading {
		d.leaderSince = now()
		d.attendance.Update(enroller.LeadMsg{Now: now(), Former: d.lastLeader})
		d.startLeadership()
	}
	if wasLeading && !d.leading {
		d.fleet.notifyWaiters()
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

// compact replaces the log with a snapshot once it exceeds one of its bounds.
func (d *Director) compact() error {
	if d.logBytes < compactAfterBytes && d.machine.LogLength() < compactAfterEntries {
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

// propose sends a message to the replica and waits for the outcome. It reports
// whether the command changed the state, or returns the replica's rejection, or
// ErrOutcomeUnknown.
func (d *Director) propose(ctx context.Context, build func(id uint64) replicator.Msg) (bool, error) {
	done := make(chan result, 1)
	d.mu.Lock()
	d.fleet.nextProposal++
	id := firstProposalID + d.fleet.nextProposal
	d.mu.Unlock()
	return d.await(ctx, proposal{message: build(id), id: id, result: done}, done)
}

// firstProposalID is the start of the range of proposal IDs, above those of reads.
const firstProposalID = 1 << 40

// await sends a message to the replica and waits for its result, for at most
// commandTimeout.
func (d *Director) await(ctx context.Context, message any, done <-chan result) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	select {
	case d.inbox <- message:
	case <-ctx.Done():
		return false, ErrOutcomeUnknown
	}
	select {
	case r := <-done:
		return r.changed, r.err
	case <-ctx.Done():
		return false, ErrOutcomeUnknown
	}
}

// commit commits a command to the log and reports whether it changed the state. It
// returns ErrOutcomeUnknown if the command may or may not have been committed.
func (d *Director) commit(ctx context.Context, command messenger.FleetCommand) (bool, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return false, errors.Wrap(err, "encode the command")
	}
	return d.propose(ctx, func(id uint64) replicator.Msg { return replicator.ProposeMsg{ID: id, Data: data} })
}
