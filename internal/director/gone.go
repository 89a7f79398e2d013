package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/replicator"
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// lostConnCapacity bounds the closed connections that wait for a check; the next
// heartbeat finds what the check misses.
const lostConnCapacity = 16

// keepMembership maintains the membership at its interval and, on the leader, also after
// each round that shows a voter to be gone, as soon as one refuses connections, and once
// the last change or the first entry of the term is committed.
func (d *Director) keepMembership(ctx context.Context) {
	changes, rounds := time.NewTicker(membershipInterval), time.NewTicker(enroller.RoundInterval)
	defer changes.Stop()
	defer rounds.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes.C:
			d.maintainMembership(ctx)
			continue
		case <-rounds.C:
			if !d.endAttendanceRound() {
				continue
			}
		case <-d.voteTrigger:
		}
		if _, leading := d.leaderAddress(); leading {
			d.changeVoters(ctx)
		}
	}
}

// endAttendanceRound ends a round and reports whether it showed a voter to be gone.
func (d *Director) endAttendanceRound() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	msg := enroller.RoundMsg{Now: now(), Voters: d.otherVoters(), Learners: d.applicants.Replicas()}
	d.applicants.Update(msg)
	return d.attendance.Update(msg)
}

// otherVoters returns all voters but this process. The caller holds mu.
func (d *Director) otherVoters() []string {
	return slices.DeleteFunc(slices.Clone(d.voters), func(v string) bool { return v == d.identity })
}

// noteLostConn queues the check of an address whose connection has closed.
func (d *Director) noteLostConn(address string) {
	select {
	case d.lostConns <- address:
	default:
	}
}

// checkLostConns checks whether the voters whose connections have closed still listen.
// The end of a process closes its connections at once, so that it is known before the next
// heartbeat to it fails.
func (d *Director) checkLostConns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-d.lostConns:
			d.checkVoterAt(ctx, address)
		}
	}
}

// checkVoterAt checks whether the voter with an address still listens.
func (d *Director) checkVoterAt(ctx context.Context, address string) {
	d.mu.Lock()
	i := slices.IndexFunc(d.voters, func(v string) bool { return enroller.AddressOf(v) == address })
	replica := ""
	if i >= 0 {
		replica = d.voters[i]
	}
	d.mu.Unlock()
	if replica == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d.noteFailure(replica, d.client.CheckListener(ctx, address))
}

// noteFailure takes a failed call to a replica into account. Only a refused connection
// shows that its process has ended, or is behind a cut: this replica then waits for one
// missed heartbeat of a leader, and a leader removes a spare voter.
func (d *Director) noteFailure(replica string, err error) {
	if d.journal == nil || !errors.Is(err, transporter.ErrRefused) {
		return
	}
	d.mu.Lock()
	msg := enroller.RefusedMsg{Replica: replica}
	first := d.attendance.Update(msg)
	d.applicants.Update(msg)
	leads := replica == d.leader
	d.mu.Unlock()
	if leads {
		select {
		case d.inbox <- replicator.LeaderSuspectedMsg{Leader: replica}:
		default:
		}
	}
	if first {
		d.log.Debug("no process listens at the address of a control replica", "replica", replica, "leads", leads)
		d.triggerMembership()
	}
}

// noteAnswer takes into account which replica answered at the address of another one. Since
// the message was for a replica that existed before, one with another identity shows that
// its disk is lost: an address has one disk, and an identity is written to an empty one.
func (d *Director) noteAnswer(replica, answering string) {
	if d.journal == nil || answering == "" || answering == replica {
		return
	}
	d.mu.Lock()
	msg := enroller.ReplacedMsg{Replica: replica}
	first := d.attendance.Update(msg)
	d.applicants.Update(msg)
	d.mu.Unlock()
	select {
	case d.inbox <- replicator.DiskLostMsg{Replica: replica}:
	default: // Each further answer of the other replica tells it again.
	}
	if first {
		d.log.Info("disk of a control replica is lost; another replica answers at its address", "replica", replica, "answering", answering)
		d.triggerMembership()
	}
}

// triggerMembership starts the next membership change early.
func (d *Director) triggerMembership() {
	select {
	case d.voteTrigger <- struct{}{}:
	default:
	}
}

// leaderReplica returns the identity of the leader, empty if unknown, and whether this
// process is the leader.
func (d *Director) leaderReplica() (replica string, isSelf bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader, d.leading
}

// countRemoval counts the removal of a spare voter by the sign that caused it.
func countRemoval(refused bool) {
	name := `papayaseam_spare_voters_removed_total{sign="silent"}`
	if refused {
		name = `papayaseam_spare_voters_removed_total{sign="refused"}`
	}
	metrics.GetOrCreateCounter(name).Inc()
}

// leaderAddress returns the leader's address, empty if unknown, and whether this
// process is the leader.
func (d *Director) leaderAddress() (address string, isSelf bool) {
	replica, isSelf := d.leaderReplica()
	return enroller.AddressOf(replica), isSelf
}
