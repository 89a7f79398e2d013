package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
)

const (
	// hintInterval is well below the time within which service must be restored
	// after the loss of all control processes.
	hintInterval = 300 * time.Millisecond
	// hintTimeout bounds a call to a seed that may no longer exist.
	hintTimeout = 250 * time.Millisecond
)

// sendHints sends the leader's address to seeds that don't send it digests. Seeds
// without a disk know only each other after a restart, and may be the only
// processes that entries know.
func (d *Director) sendHints(ctx context.Context) {
	for _, address := range d.seedsWithoutDigest() {
		callCtx, cancel := context.WithTimeout(ctx, hintTimeout)
		var empty struct{}
		err := d.client.Call(callCtx, "http://"+address+"/fleet/hint", messenger.ControlView{Address: d.cfg.Address}, &empty)
		cancel()
		if err != nil {
			d.log.Debug("could not send leader hint to seed", "seed", address, "err", err)
		}
	}
}

// seedsWithoutDigest returns the seeds that sent this leader no digest within
// relayTTL; none if this process doesn't lead.
func (d *Director) seedsWithoutDigest() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(d.seeds), func(address string) bool {
		relay, ok := d.fleet.relays[address]
		return address == d.cfg.Address || (ok && now()-relay.receivedAt < relayTTL)
	})
}

// handleHint makes a process without a vote follow the given leader if it knows
// none.
func (d *Director) handleHint(_ context.Context, leader messenger.ControlView) struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal == nil && enroller.AddressOf(d.leader) == "" && leader.Address != "" {
		d.leader = "@" + leader.Address
	}
	return struct{}{}
}
