package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
)

// joinAfterLeaderless is how long a process waits without a leader before it
// asks to join; longer than an election takes.
const joinAfterLeaderless = 1500 * time.Millisecond

// maintainMembership asks to join the control group if this process has had no
// leader for a while and, on the leader, makes the next membership change.
func (d *Director) maintainMembership(ctx context.Context) {
	d.mu.Lock()
	leading, leader := d.leading, d.leader
	leaderless := leader == "" && now()-d.fleet.lastLeaderAt > joinAfterLeaderless && !d.stopping
	if leader != "" {
		d.fleet.lastLeaderAt = now()
	}
	d.mu.Unlock()
	if leaderless {
		d.requestJoin(ctx)
		return
	}
	if leading {
		d.changeVoters(ctx)
	}
}

// requestJoin sends a join request to all known control processes, and stops early
// if one answers that this replica is a voter already.
func (d *Director) requestJoin(ctx context.Context) {
	request := messenger.JoinRequest{Replica: d.identity}
	for _, address := range d.controlAddresses() {
		var answer messenger.JoinAnswer
		callCtx, cancel := context.WithTimeout(ctx, replicaTimeout)
		err := d.client.Call(callCtx, "http://"+address+"/fleet/join", request, &answer)
		cancel()
		if err == nil && answer.Accepted {
			return
		}
	}
}

// handleJoin queues a join request at the leader; other processes forward it.
func (d *Director) handleJoin(ctx context.Context, request messenger.JoinRequest) messenger.JoinAnswer {
	leader, leading := d.leaderAddress()
	if !leading {
		request.Hops++
		answer, _ := forwardToLeader[messenger.JoinAnswer](ctx, d, "/fleet/join", request.Hops, replicaTimeout, request)
		return answer
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := messenger.JoinAnswer{Accepted: slices.Contains(d.voters, request.Replica), Leader: leader, Voters: d.voters}
	if answer.Accepted || !d.attendance.MayJoin(now(), request.Replica, d.otherVoters(), d.minVoters()) {
		return answer
	}
	if d.applicants.Update(enroller.JoinRequestedMsg{Now: now(), Replica: request.Replica}) {
		d.log.Info("join request accepted", "replica", request.Replica, "term", d.term, "confirmed-ms", (now() - d.confirmedAt).Milliseconds())
		d.triggerMembership()
	}
	return answer
}

// changeVoters proposes the next membership change, if one is due.
func (d *Director) changeVoters(ctx context.Context) {
	view := d.membership()
	view.Joiners = d.caughtUp(ctx)
	change, due := enroller.NextChange(view)
	if !due {
		return
	}
	err := d.proposeChange(ctx, view, change)
	spare := len(view.Voters) > view.MinVoters
	if change.Remove == "" || !spare || !view.Unresponsive[change.Remove] || err != nil && !errors.Is(err, ErrOutcomeUnknown) {
		return
	}
	countRemoval(view.Refused[change.Remove])
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attendance.Update(enroller.GivenUpMsg{Now: now(), Replica: change.Remove})
}

// caughtUp lets the applicants learn the log and returns those that have shown that they
// keep it, oldest request first.
func (d *Director) caughtUp(ctx context.Context) (replicas []string) {
	d.mu.Lock()
	applicants := d.applicants.Replicas()
	d.mu.Unlock()
	for _, replica := range applicants {
		_, err := d.propose(ctx, func(id uint64) replicator.Msg { return replicator.LearnMsg{ID: id, Replica: replica} })
		if err == nil {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// isLearner reports whether this process has a disk and no vote.
func (d *Director) isLearner() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.journal != nil && !slices.Contains(d.voters, d.identity)
}

// minVoters returns the number of voters needed to tolerate the configured losses.
func (d *Director) minVoters() int { return 2*d.cfg.ToleratedLosses + 1 }

// membership returns what this leader knows of the membership.
func (d *Director) membership() enroller.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := enroller.View{
		Self: d.identity, Voters: slices.Clone(d.voters), Unresponsive: map[string]bool{}, Refused: map[string]bool{},
		Replaced: map[string]bool{}, MinVoters: d.minVoters(),
	}
	spare := len(view.Voters) > view.MinVoters
	for _, voter := range view.Voters {
		view.Unresponsive[voter] = d.attendance.Gone(now(), voter, spare)
		view.Refused[voter] = d.attendance.Refused(voter)
		view.Replaced[voter] = d.attendance.Replaced(voter)
	}
	return view
}

// proposeChange proposes a membership change that was decided on the view, and returns once
// it is committed. After an error it may be committed later.
func (d *Director) proposeChange(ctx context.Context, view enroller.View, change enroller.Change) error {
	_, err := d.propose(ctx, func(id uint64) replicator.Msg {
		return replicator.ChangeVotersMsg{ID: id, Add: change.Add, Remove: change.Remove, Voters: view.Voters}
	})
	d.log.Info("membership change proposed", "add", change.Add, "remove", change.Remove, "voters", len(view.Voters), "refused", view.Refused[change.Remove], "err", err)
	return err
}
