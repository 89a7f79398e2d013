package controller

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
)

// Kinds of failures of a command.
const (
	FailedNoLeader       = "no-leader"
	FailedOutcomeUnknown = "outcome-unknown"
)

func (c *Controller) leadership() (leader string, leading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.leading
}

func (c *Controller) currentVoters() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voters
}

// propose hands a message to the loop and waits for its outcome.
func (c *Controller) propose(ctx context.Context, message func(id uint64) replicator.Msg) (messenger.CommandAnswer, error) {
	id := atomic.AddUint64(&c.nextID, 1)
	outcome := make(chan result, 1)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	select {
	case c.inbox <- proposal{message: message(id), id: id, result: outcome}:
	case <-ctx.Done():
		return messenger.CommandAnswer{}, ErrNoLeader
	}
	select {
	case r := <-outcome:
		return r.answer, r.err
	case <-ctx.Done():
		return messenger.CommandAnswer{}, ErrOutcomeUnknown
	}
}

// command commits a command here, or at the leader. The log's own time comes
// from the leader's monotonic clock and goes on from what was applied.
func (c *Controller) command(ctx context.Context, command messenger.Command) messenger.CommandAnswer {
	leader, leading := c.leadership()
	if !leading {
		return c.forward(ctx, leader, command)
	}
	c.mu.Lock()
	command.AtMs = int(time.Since(c.clockStart) / time.Millisecond)
	c.mu.Unlock()
	data, err := json.Marshal(command)
	if err != nil {
		return messenger.CommandAnswer{Kind: registrar.RefusedInvalid, Message: err.Error()}
	}
	answer, err := c.propose(ctx, func(id uint64) replicator.Msg { return replicator.ProposeMsg{ID: id, Data: data} })
	if err != nil {
		return failure(err)
	}
	return answer
}

func failure(err error) messenger.CommandAnswer {
	if errors.Is(err, replicator.ErrNotLeader) || errors.Is(err, ErrNoLeader) {
		return messenger.CommandAnswer{Kind: FailedNoLeader, Message: ErrNoLeader.Error()}
	}
	return messenger.CommandAnswer{Kind: FailedOutcomeUnknown, Message: ErrOutcomeUnknown.Error()}
}

// forward passes a command to the leader. A command that arrives forwarded is
// not passed on again, so that stale views can not form a circle.
func (c *Controller) forward(ctx context.Context, leader string, command messenger.Command) messenger.CommandAnswer {
	if leader == "" || command.AtMs == forwardedMark {
		return failure(ErrNoLeader)
	}
	command.AtMs = forwardedMark
	var answer messenger.CommandAnswer
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.client.Call(ctx, "http://"+enroller.AddressOf(leader)+"/inner/command", command, &answer); err != nil {
		return failure(ErrOutcomeUnknown)
	}
	return answer
}

// forwardedMark in a command's time marks it as passed on once; the leader
// overwrites it.
const forwardedMark = -1

// ticket commits a ticket.
func (c *Controller) ticket(ctx context.Context, ticket messenger.Ticket) messenger.CommandAnswer {
	answer := c.command(ctx, messenger.Command{Kind: registrar.CommandTicket, Ticket: &ticket})
	if answer.Ticket != nil {
		c.log.Info("ticket answered", "number", ticket.Number, "author", ticket.Author, "accepted", answer.Ticket.Accepted, "kind", answer.Ticket.Kind, "index", answer.Ticket.Index)
	}
	return answer
}
