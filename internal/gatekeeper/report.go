package gatekeeper

import (
	"context"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"
)

const (
	// reportDelay lets the requests that one crash breaks share a report.
	reportDelay = 5 * time.Millisecond
	// reportTimeout allows for a commit through the leader.
	reportTimeout = 900 * time.Millisecond
	// reportRetryDelay is the time between attempts to report without control.
	reportRetryDelay = 200 * time.Millisecond
	// lapseInterval is the time between checks for holds that are over.
	lapseInterval = time.Second
)

// runQuarantine reports crashes to control as they are seen, and ends holds, until the
// context ends.
func (g *Gatekeeper) runQuarantine(ctx context.Context) {
	ticker := time.NewTicker(lapseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.mu.Lock()
			g.quarantine.lapse(timekeeper.Now())
			g.mu.Unlock()
		case <-g.quarantine.wake:
			g.reportQuarantine(ctx)
		}
	}
}

// reportQuarantine sends what waits to the first control process that commits it, and
// keeps it for later if there is none.
func (g *Gatekeeper) reportQuarantine(ctx context.Context) {
	timekeeper.Sleep(ctx, reportDelay)
	g.mu.Lock()
	command := g.quarantine.takePending()
	addresses := g.controlAddresses()
	g.mu.Unlock()
	if len(command.Crashes)+len(command.Survived) == 0 {
		return
	}
	for _, address := range addresses {
		var answer messenger.QuarantineAnswer
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := g.controlClient.Call(callCtx, "http://"+address+"/fleet/quarantine", command, &answer)
		cancel()
		if err == nil && answer.Accepted {
			return
		}
		g.log.Debug("control process did not commit crashes under requests", "control", address, "err", err)
	}
	g.log.Warn("crashes under requests not reported; trying again", "crashes", len(command.Crashes))
	timekeeper.Sleep(ctx, reportRetryDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.putBack(command)
	g.quarantine.poke()
}
