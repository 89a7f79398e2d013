package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"
)

const (
	// silentAfter is far above the pace of heartbeats on a slow machine.
	silentAfter = 3 * time.Second
	// orphanAfter is longer than an election takes.
	orphanAfter = 1500 * time.Millisecond
	// keptJoiners bounds the requests to join that are remembered.
	keptJoiners = 16
)

// enrol asks to join where this process has no leader, and at the leader makes
// the next change of membership.
func (d *Director) enrol(ctx context.Context) {
	d.mu.Lock()
	leading, leader := d.leading, d.leader
	lost := leader == "" && now()-d.fleet.ledAt > orphanAfter
	if leader != "" {
		d.fleet.ledAt = now()
	}
	d.mu.Unlock()
	if lost {
		d.askToJoin(ctx)
		return
	}
	if leading {
		d.changeVoters(ctx)
	}
}

// askToJoin asks all known control processes; a current voter is only told so.
func (d *Director) askToJoin(ctx context.Context) {
	request := messenger.JoinRequest{Replica: d.identity}
	for _, address := range d.contacts() {
		var answer messenger.JoinAnswer
		call, cancel := context.WithTimeout(ctx, replicaTimeout)
		err := d.client.Call(call, "http://"+address+"/fleet/join", request, &answer)
		cancel()
		if err == nil && answer.Accepted {
			return
		}
	}
}

// join notes a request to join at the leader, or passes it on.
func (d *Director) join(ctx context.Context, request messenger.JoinRequest) messenger.JoinAnswer {
	leader, leading := d.leaderAddress()
	if !leading {
		request.Hops++
		answer, _ := relay[messenger.JoinAnswer](ctx, d, "/fleet/join", request.Hops, replicaTimeout, request)
		return answer
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := messenger.JoinAnswer{Accepted: slices.Contains(d.voters, request.Replica), Leader: leader, Voters: d.voters}
	if !answer.Accepted && !slices.Contains(d.joiners, request.Replica) && len(d.joiners) < keptJoiners {
		d.joiners = append(d.joiners, request.Replica)
	}
	return answer
}

func (d *Director) changeVoters(ctx context.Context) {
	d.mu.Lock()
	view := enroller.View{
		Self: d.identity, Voters: slices.Clone(d.voters), Joiners: slices.Clone(d.joiners),
		Silent: map[string]bool{}, Floor: 2*d.cfg.ToleratedLosses + 1,
	}
	for _, voter := range view.Voters {
		view.Silent[voter] = now()-max(d.heard[voter], d.leadSince) > silentAfter
	}
	d.mu.Unlock()
	step, due := enroller.Next(view)
	if !due {
		d.mu.Lock()
		d.joiners = nil
		d.mu.Unlock()
		return
	}
	_, err := d.propose(ctx, func(id uint64) replicator.Msg {
		return replicator.ChangeVotersMsg{ID: id, Add: step.Add, Remove: step.Remove}
	})
	d.log.Info("membership changed", "add", step.Add, "remove", step.Remove, "voters", len(view.Voters), "err", err)
}
