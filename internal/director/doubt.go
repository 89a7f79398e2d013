package director

import (
	"context"

	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/prober"
)

// handleDoubt makes the leader ask the members of a group at whose head an entry lost its
// streams. It proves nothing by itself; what counts is what the members answer.
func (d *Director) handleDoubt(ctx context.Context, doubt messenger.Doubt) messenger.DoubtAnswer {
	if _, leading := d.leaderAddress(); !leading {
		doubt.Hops++
		answer, _ := forwardToLeader[messenger.DoubtAnswer](ctx, d, "/fleet/doubt", doubt.Hops, reportTimeout, doubt)
		return answer
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.fleet.placers {
		for _, g := range p.Groups() {
			if g.Head() == (placer.Member{Instance: doubt.Instance, BootTime: doubt.Born}) && g.State == placer.Open {
				d.askMembers(g)
			}
		}
	}
	return messenger.DoubtAnswer{Accepted: true}
}

// askMembers makes the probes of a group's members due now. The caller holds mu.
func (d *Director) askMembers(g placer.Group) {
	for _, m := range g.Members {
		d.fleet.prober.Update(prober.AskMsg{ID: m.Instance})
	}
	select {
	case d.pollTrigger <- struct{}{}:
	default:
	}
}
