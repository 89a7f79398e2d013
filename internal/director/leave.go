package director

import (
	"context"
	"slices"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"
)

const (
	// leaveTimeout bounds how long a planned stop waits for the removal of its vote. It
	// covers the election of a leader.
	leaveTimeout = 3 * time.Second
	// leaveRetryInterval is the time between attempts.
	leaveRetryInterval = 50 * time.Millisecond
)

// Drain prepares a planned stop: a voter beyond those that the tolerated losses need gives
// up its vote, because a stopped voter still counts for the quorum. It returns once the
// leader has decided, at the latest after leaveTimeout. A process that starts again with
// its disk asks to join as usual.
func (d *Director) Drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	for d.isSpareVoter() && ctx.Err() == nil {
		answer := d.handleLeave(ctx, messenger.LeaveRequest{Replica: d.identity})
		if answer.Removed || answer.Kept {
			d.log.Info("vote offered before a planned stop", "replica", d.identity, "removed", answer.Removed)
			return
		}
		timekeeper.Sleep(ctx, leaveRetryInterval)
	}
	if ctx.Err() != nil {
		d.log.Warn("no leader has decided on the vote before a planned stop; the others remove it once they miss it", "replica", d.identity)
	}
}

// Open returns 0: a planned stop of a control process cuts no request.
func (d *Director) Open() int { return 0 }

// isSpareVoter reports whether this process is one of more voters than are needed.
func (d *Director) isSpareVoter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.journal != nil && len(d.voters) > d.minVoters() && slices.Contains(d.voters, d.identity)
}

// handleLeave removes the vote of a stopping process at the leader, if the other voters
// don't need it; other processes forward the request.
func (d *Director) handleLeave(ctx context.Context, request messenger.LeaveRequest) messenger.LeaveAnswer {
	if _, leading := d.leaderAddress(); !leading {
		request.Hops++
		answer, _ := forwardToLeader[messenger.LeaveAnswer](ctx, d, "/fleet/leave", request.Hops, commandTimeout, request)
		return answer
	}
	view := d.membership()
	if !slices.Contains(view.Voters, request.Replica) {
		return messenger.LeaveAnswer{Removed: true}
	}
	change, due := enroller.Departure(view, request.Replica)
	if !due {
		return messenger.LeaveAnswer{Kept: true}
	}
	return messenger.LeaveAnswer{Removed: d.proposeChange(ctx, view, change) == nil}
}
