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

// Values of CommandAnswer.Kind for commands that were not confirmed as committed.
const (
	FailedNoLeader       = "no-leader"
	FailedOutcomeUnknown = "outcome-unknown"
)

// leadership returns the identity of the known leader, empty if there is none, and
// whether it is this process.
func (c *Controller) leadership() (leader string, isLeader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.isLeader
}

// currentVoters returns the voters as of the last applied entry.
func (c *Controller) currentVoters() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voters
}

// propose passes a message to the replica loop and waits for its outcome. It
// returns ErrNoLeader if the message did not reach the loop, and
// ErrOutcomeUnknown if the outcome did not arrive within commandTimeout.
func (c *Controller) propose(ctx context.Context, newMessage func(id uint64) replicator.Msg) (messenger.CommandAnswer, error) {
	id := atomic.AddUint64(&c.lastProposalID, 1)
	outcome := make(chan result, 1)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	select {
	case c.inbox <- proposal{message: newMessage(id), id: id, result: outcome}:
	case <-ctx.Done():
		return messenger.CommandAnswer{}, ErrNoLeader
	}
	select {
	case committed := <-outcome:
		return committed.answer, committed.err
	case <-ctx.Done():
		return messenger.CommandAnswer{}, ErrOutcomeUnknown
	}
}

// commitCommand commits a command if this process is the leader and otherwise
// forwards it to the leader. The leader stamps commands with the log time, which
// advances with its monotonic clock from the last applied log time.
func (c *Controller) commitCommand(ctx context.Context, command messenger.Command) messenger.CommandAnswer {
	leader, isLeader := c.leadership()
	if !isLeader {
		return c.forwardToLeader(ctx, leader, command)
	}
	c.mu.Lock()
	command.AtMs = int(time.Since(c.logClockStart) / time.Millisecond)
	c.mu.Unlock()
	data, err := json.Marshal(command)
	if err != nil {
		return messenger.CommandAnswer{Kind: registrar.RefusedInvalid, Message: err.Error()}
	}
	answer, err := c.propose(ctx, func(id uint64) replicator.Msg { return replicator.ProposeMsg{ID: id, Data: data} })
	if err != nil {
		return failureAnswer(err)
	}
	return answer
}

// failureAnswer returns the answer for a command that was not confirmed as
// committed.
func failureAnswer(err error) messenger.CommandAnswer {
	if errors.Is(err, replicator.ErrNotLeader) || errors.Is(err, ErrNoLeader) {
		return messenger.CommandAnswer{Kind: FailedNoLeader, Message: ErrNoLeader.Error()}
	}
	return messenger.CommandAnswer{Kind: FailedOutcomeUnknown, Message: ErrOutcomeUnknown.Error()}
}

// forwardToLeader sends a command to the leader. A command that was already
// forwarded is not forwarded again, so that processes with outdated views of the
// leader can't forward it in a loop.
func (c *Controller) forwardToLeader(ctx context.Context, leader string, command messenger.Command) messenger.CommandAnswer {
	if leader == "" || command.AtMs == forwardedAtMs {
		return failureAnswer(ErrNoLeader)
	}
	command.AtMs = forwardedAtMs
	var answer messenger.CommandAnswer
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.client.Call(ctx, "http://"+enroller.AddressOf(leader)+"/inner/command", command, &answer); err != nil {
		return failureAnswer(ErrOutcomeUnknown)
	}
	return answer
}

// forwardedAtMs is the value of Command.AtMs that marks a forwarded command; the
// leader replaces it by the log time.
const forwardedAtMs = -1

// commitTicket commits a ticket and logs the answer.
func (c *Controller) commitTicket(ctx context.Context, ticket messenger.Ticket) messenger.CommandAnswer {
	answer := c.commitCommand(ctx, messenger.Command{Kind: registrar.CommandTicket, Ticket: &ticket})
	if answer.Ticket != nil {
		c.log.Info("ticket answered", "number", ticket.Number, "author", ticket.Author, "accepted", answer.Ticket.Accepted, "kind", answer.Ticket.Kind, "index", answer.Ticket.Index)
	}
	return answer
}
