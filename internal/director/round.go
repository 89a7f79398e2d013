package director

import (
	"context"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

const (
	// roundGap bounds the rounds of confirmation, which cost a message to each
	// voter, whatever number of processes asks.
	roundGap = 20 * time.Millisecond
	// confirmEvery is the longest pause between rounds while nobody asks.
	confirmEvery = 100 * time.Millisecond
	// actWithin is how long a confirmed leader may act: less than a new leader
	// waits before its first order.
	actWithin = 450 * time.Millisecond
	// digestTimeout is above a confirmation on a slow machine.
	digestTimeout = 500 * time.Millisecond
	// documentWait is how long an answer waits for a configuration that is
	// committed and under way.
	documentWait = 300 * time.Millisecond
)

// ErrStaleConfiguration means that this process lacks the newest configuration; ask another
// control process, or this one in a moment.
var ErrStaleConfiguration = errors.New("the newest configuration has not arrived here; ask again in a moment")

// round confirms what is committed: at the leader by a quorum, elsewhere through
// the leader, with what this process has heard since its last round.
func (d *Director) round(ctx context.Context) (messenger.Confirmation, error) {
	leader, leading := d.leaderAddress()
	began := now()
	var c messenger.Confirmation
	var err error
	if leading {
		c, err = d.confirmByQuorum(ctx, began)
	} else {
		c, err = d.confirmThrough(ctx, leader)
	}
	if err != nil {
		return messenger.Confirmation{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roundAt = max(d.roundAt, began)
	return c, nil
}

// confirmByQuorum returns once a quorum has confirmed the leadership of this
// process after the round began.
func (d *Director) confirmByQuorum(ctx context.Context, began time.Duration) (messenger.Confirmation, error) {
	waiting := make(chan result, 1)
	if _, err := d.await(ctx, readMsg{result: waiting}, waiting); err != nil {
		return messenger.Confirmation{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.authority = max(d.authority, began)
	version, _ := d.state.Document()
	return messenger.Confirmation{Confirmed: true, Leader: d.cfg.Address, Version: version, Entries: d.liveEntries()}, nil
}

// confirmThrough sends a digest to the leader.
func (d *Director) confirmThrough(ctx context.Context, leader string) (messenger.Confirmation, error) {
	var c messenger.Confirmation
	if leader == "" {
		return c, ErrNoLeader
	}
	digest := d.takeDigest()
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	err := d.client.Call(ctx, "http://"+leader+"/fleet/digest", digest, &c)
	if err == nil && !c.Confirmed {
		err = ErrNoLeader
	}
	if err != nil {
		d.log.Debug("not confirmed", "leader", leader, "err", err)
		d.keepDigest(digest)
		return c, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.collector.entries = c.Entries
	for _, id := range c.Unknown {
		delete(d.collector.taken, id)
	}
	return c, nil
}

// keepConfirmed keeps the leader's authority, and passes digests on, while nobody asks.
func (d *Director) keepConfirmed(ctx context.Context) {
	d.mu.Lock()
	idle := now()-d.roundAt >= confirmEvery && d.leader != ""
	d.mu.Unlock()
	if !idle {
		return
	}
	if _, err := d.rounds.Do(ctx); err != nil {
		d.log.Debug("lead not confirmed", "err", err)
	}
}

// mayAct reports whether a quorum confirmed this leader so lately that no other
// one can have given an order yet; mu is held.
func (d *Director) mayAct() bool { return d.leading && now()-d.authority < actWithin }

// confirm returns once this process knows what was committed before the call.
func (d *Director) confirm(ctx context.Context) error {
	_, err := d.fresh(ctx)
	return err
}

// fresh confirms, and waits until the configuration confirmed is here.
func (d *Director) fresh(ctx context.Context) (messenger.Confirmation, error) {
	c, err := d.rounds.Do(ctx)
	if err != nil {
		return c, err
	}
	timer := time.NewTimer(documentWait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		version, _ := d.state.Document()
		changed := d.fleet.changed
		d.mu.Unlock()
		if version >= c.Version {
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

// digest takes what another control process has heard, and confirms.
func (d *Director) digest(ctx context.Context, in messenger.Digest) messenger.Confirmation {
	d.mu.Lock()
	leading, leader := d.leading, enroller.AddressOf(d.leader)
	var unknown []string
	if leading {
		unknown = d.noteDigest(in)
	}
	d.mu.Unlock()
	if !leading {
		return messenger.Confirmation{Leader: leader}
	}
	c, err := d.rounds.Do(ctx)
	if err != nil {
		return messenger.Confirmation{}
	}
	c.Unknown = unknown
	return c
}
