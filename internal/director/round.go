package director

import (
	"context"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

const (
	// minRoundInterval bounds the rate of confirmation rounds, each of which costs a
	// message to every voter, however many processes request one.
	minRoundInterval = 20 * time.Millisecond
	// idleRoundInterval is the interval between rounds without requests.
	idleRoundInterval = 100 * time.Millisecond
	// leaseDuration is how long a leader may act after the start of a confirmed
	// round: less than a new leader waits before its first order.
	leaseDuration = 450 * time.Millisecond
	// digestTimeout is longer than a confirmation takes on a slow machine.
	digestTimeout = 500 * time.Millisecond
	// maxDocumentWait is how long a response waits for a committed configuration
	// that has not been replicated here yet.
	maxDocumentWait = 300 * time.Millisecond
)

// ErrStaleConfiguration means that this process lacks the newest configuration; the
// caller may ask another control process, or this one again shortly.
var ErrStaleConfiguration = errors.New("newest configuration not yet replicated to this process; try again shortly")

// runRound confirms what is committed: on the leader with a quorum, elsewhere with a
// digest to the leader.
func (d *Director) runRound(ctx context.Context) (messenger.Confirmation, error) {
	leader, leading := d.leaderReplica()
	start := now()
	var c messenger.Confirmation
	var err error
	if leading {
		c, err = d.confirmByQuorum(ctx, start)
	} else {
		c, err = d.confirmViaLeader(ctx, leader)
	}
	if err != nil {
		return messenger.Confirmation{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRoundAt = max(d.lastRoundAt, start)
	return c, nil
}

// confirmByQuorum returns once a quorum has confirmed, after the start of the round,
// that this process leads.
func (d *Director) confirmByQuorum(ctx context.Context, start time.Duration) (messenger.Confirmation, error) {
	done := make(chan result, 1)
	if _, err := d.await(ctx, readMsg{result: done}, done); err != nil {
		return messenger.Confirmation{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, start)
	version, _ := d.state.Document()
	return messenger.Confirmation{Confirmed: true, Leader: d.cfg.Address, Version: version, Entries: d.liveEntries(), Evacuations: d.state.Evacuations().Revision(), Served: d.fleet.served.shares(now())}, nil
}

// confirmViaLeader sends a digest to the leader, which confirms it with a quorum. It
// returns ErrNoLeader if no leader is known or confirms the digest, and keeps the
// digest's content for the next one.
func (d *Director) confirmViaLeader(ctx context.Context, leader string) (messenger.Confirmation, error) {
	var c messenger.Confirmation
	address := enroller.AddressOf(leader)
	if address == "" {
		return c, ErrNoLeader
	}
	digest := d.drainDigest()
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	err := d.client.Call(ctx, "http://"+address+"/fleet/digest", digest, &c)
	if err == nil && !c.Confirmed {
		err = ErrNoLeader
	}
	if err != nil {
		d.log.Debug("digest not confirmed by the leader", "leader", leader, "err", err)
		d.noteFailure(leader, err)
		d.requeueDigest(digest)
		return c, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.collector.entries, d.collector.sharing = c.Entries, c.Sharing
	for _, id := range c.Unknown {
		delete(d.collector.accepted, id)
	}
	return c, nil
}

// runIdleRound runs a round if none was confirmed lately, so that the leader keeps
// its lease and digests are sent also without requests.
func (d *Director) runIdleRound(ctx context.Context) {
	d.mu.Lock()
	idle := now()-d.lastRoundAt >= idleRoundInterval && d.leader != ""
	d.mu.Unlock()
	if !idle {
		return
	}
	if _, err := d.rounds.Do(ctx); err != nil {
		d.log.Debug("confirmation round failed", "err", err)
	}
}

// mayAct reports whether this leader holds a lease: a quorum confirmed it so recently
// that no other leader can have sent an order yet. The caller holds mu.
func (d *Director) mayAct() bool { return d.leading && now()-d.confirmedAt < leaseDuration }

// confirm returns once this process has every configuration and evacuation that was
// committed before the call.
func (d *Director) confirm(ctx context.Context) error {
	_, err := d.confirmAndCatchUp(ctx)
	return err
}

// confirmAndCatchUp runs a round and waits until the confirmed configuration and
// evacuations have been replicated to this process. It returns ErrStaleConfiguration if
// that takes longer than maxDocumentWait.
func (d *Director) confirmAndCatchUp(ctx context.Context) (messenger.Confirmation, error) {
	c, err := d.rounds.Do(ctx)
	if err != nil {
		return c, err
	}
	timer := time.NewTimer(maxDocumentWait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		version, _ := d.state.Document()
		evacuations := d.state.Evacuations().Revision()
		changed := d.fleet.changed
		d.mu.Unlock()
		if version >= c.Version && evacuations >= c.Evacuations {
			return c, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return c, ErrStaleConfiguration
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

// handleDigest applies another control process's digest and confirms it if this
// process leads.
func (d *Director) handleDigest(ctx context.Context, digest messenger.Digest) messenger.Confirmation {
	d.mu.Lock()
	leading, leader := d.leading, enroller.AddressOf(d.leader)
	var unknown []string
	var shares []messenger.ColdShare
	sharing := false
	if leading {
		unknown = d.applyDigest(digest)
		shares, sharing = d.grantShares(digest)
	}
	d.mu.Unlock()
	if !leading {
		return messenger.Confirmation{Leader: leader}
	}
	c, err := d.rounds.Do(ctx)
	if err != nil {
		return messenger.Confirmation{}
	}
	c.Unknown, c.Shares, c.Sharing = unknown, shares, sharing
	return c
}
