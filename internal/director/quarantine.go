package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"
)

const (
	// lapseInterval is the time between checks for holds that are over.
	lapseInterval = time.Second
	// gatherPeriod lets what all entries saw of one crash be weighed together: a part
	// is told from those that it comes with by requests at other entries.
	gatherPeriod = 20 * time.Millisecond
)

// quarantineBatch gathers reports that are committed together. Its err is valid once
// done is closed.
type quarantineBatch struct {
	reports []messenger.QuarantineCommand
	done    chan struct{}
	err     error
}

// command returns all reports of the batch as one command.
func (b *quarantineBatch) command() messenger.QuarantineCommand {
	var c messenger.QuarantineCommand
	for _, r := range b.reports {
		c.Crashes = append(c.Crashes, r.Crashes...)
		c.Survived = append(c.Survived, r.Survived...)
		c.Lapsed = append(c.Lapsed, r.Lapsed...)
		c.Running = append(c.Running, r.Running...)
	}
	return c
}

// handleQuarantine commits what an entry learned of content that may crash endpoints.
func (d *Director) handleQuarantine(ctx context.Context, command messenger.QuarantineCommand) messenger.QuarantineAnswer {
	if _, leading := d.leaderAddress(); !leading {
		command.Hops++
		answer, _ := forwardToLeader[messenger.QuarantineAnswer](ctx, d, "/fleet/quarantine", command.Hops, commandTimeout, command)
		return answer
	}
	batch, place := d.joinQuarantineBatch(command)
	if place == 0 {
		d.spawn("quarantine-batch", func() {
			timekeeper.Sleep(ctx, gatherPeriod)
			d.commitQuarantineBatch(context.WithoutCancel(ctx), batch)
		})
	}
	d.dismissCrashes(ctx, batch, place)
	select {
	case <-batch.done:
		return messenger.QuarantineAnswer{Accepted: batch.err == nil}
	case <-ctx.Done():
		return messenger.QuarantineAnswer{}
	}
}

// joinQuarantineBatch adds a report to the batch that others can still join, and returns
// its place there. Whoever has the first must commit the batch.
func (d *Director) joinQuarantineBatch(report messenger.QuarantineCommand) (batch *quarantineBatch, place int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quarantine == nil {
		d.quarantine = &quarantineBatch{done: make(chan struct{})}
	}
	batch = d.quarantine
	batch.reports = append(batch.reports, report)
	return batch, len(batch.reports) - 1
}

// commitQuarantineBatch closes a batch to further commands and commits it, unless it
// changes nothing.
func (d *Director) commitQuarantineBatch(ctx context.Context, batch *quarantineBatch) {
	defer close(batch.done)
	d.mu.Lock()
	d.quarantine = nil
	command := batch.command()
	d.mu.Unlock()
	if len(command.Crashes) == 0 {
		command.Survived = d.suspectedOf(command.Survived)
	}
	if len(command.Crashes)+len(command.Survived)+len(command.Lapsed)+len(command.Running) == 0 {
		return
	}
	if _, batch.err = d.commit(ctx, messenger.FleetCommand{Quarantine: &command}); batch.err != nil {
		d.log.Info("could not commit crashes under requests", "crashes", len(command.Crashes), "survived", len(command.Survived), "lapsed", len(command.Lapsed), "running", len(command.Running), "err", batch.err)
	}
}

// suspectedOf returns the keys that are suspected, since several entries report that
// the same content ran on.
func (d *Director) suspectedOf(keys []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(keys, func(key string) bool { return d.state.Quarantine().Crashes(key) == 0 })
}

// quarantineChanged wakes the entries that wait for a change. The caller holds mu.
func (d *Director) quarantineChanged() {
	setGauge("papayaseam_quarantined_contents", float64(d.state.Quarantine().HeldCount()))
	d.fleet.notifyWaiters()
}

// commitLapses ends the suspicions and holds whose time is over. Only the leader does
// so; others forget what their timers have seen.
func (d *Director) commitLapses(ctx context.Context) {
	d.mu.Lock()
	var records []messenger.QuarantineRecord
	if d.leading {
		records = d.state.Quarantine().Records()
	}
	lapsed := d.holdTimer.Lapsed(now(), records)
	d.mu.Unlock()
	if len(lapsed) == 0 {
		return
	}
	d.handleQuarantine(ctx, messenger.QuarantineCommand{Lapsed: lapsed})
}
