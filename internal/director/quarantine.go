package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/messenger"
)

// lapseInterval is the time between checks for holds that are over.
const lapseInterval = time.Second

// handleQuarantine commits what an entry learned of content that may crash endpoints.
func (d *Director) handleQuarantine(ctx context.Context, command messenger.QuarantineCommand) messenger.QuarantineAnswer {
	if _, leading := d.leaderAddress(); !leading {
		command.Hops++
		answer, _ := forwardToLeader[messenger.QuarantineAnswer](ctx, d, "/fleet/quarantine", command.Hops, commandTimeout, command)
		return answer
	}
	command.Hops = 0
	command.Survived = d.suspectedOf(command.Survived)
	if len(command.Crashes)+len(command.Survived)+len(command.Lapsed) == 0 {
		return messenger.QuarantineAnswer{Accepted: true}
	}
	if _, err := d.commit(ctx, messenger.FleetCommand{Quarantine: &command}); err != nil {
		d.log.Info("could not commit crashes under requests", "crashes", len(command.Crashes), "survived", len(command.Survived), "lapsed", len(command.Lapsed), "err", err)
		return messenger.QuarantineAnswer{}
	}
	return messenger.QuarantineAnswer{Accepted: true}
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
