package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
)

const (
	// hintEvery is well below the time in which service must return after all
	// control was lost.
	hintEvery = 300 * time.Millisecond
	// hintTimeout bounds a call to a seed that may be gone.
	hintTimeout = 250 * time.Millisecond
)

// hint tells the seeds who leads, where they do not ask this leader: the seeds may
// have no disk, know only each other after a restart, and be all that entries know.
func (d *Director) hint(ctx context.Context) {
	for _, address := range d.unheardSeeds() {
		call, cancel := context.WithTimeout(ctx, hintTimeout)
		var nothing struct{}
		err := d.client.Call(call, "http://"+address+"/fleet/hint", messenger.ControlView{Address: d.cfg.Address}, &nothing)
		cancel()
		if err != nil {
			d.log.Debug("seed not told", "seed", address, "err", err)
		}
	}
}

// unheardSeeds returns the seeds that have not sent this leader a digest of late.
func (d *Director) unheardSeeds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(d.seeds), func(address string) bool {
		relay, ok := d.fleet.relays[address]
		return address == d.cfg.Address || (ok && now()-relay.at < relayLife)
	})
}

// takeHint lets a process without a vote that knows no leader follow one.
func (d *Director) takeHint(_ context.Context, leader messenger.ControlView) struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal == nil && enroller.AddressOf(d.leader) == "" && leader.Address != "" {
		d.leader = "@" + leader.Address
	}
	return struct{}{}
}
