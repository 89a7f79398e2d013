package controller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
)

const (
	identityRetryInterval = 300 * time.Millisecond
	identitySuffixBytes   = 4
)

// processName returns the process name in a replica identity, which has the form
// "name@address" or "name/suffix@address".
func processName(replica string) string {
	identity, _, _ := strings.Cut(replica, "@")
	name, _, _ := strings.Cut(identity, "/")
	return name
}

// enqueue queues a message for a peer, starting the peer's sender on first use.
// The message is dropped if the queue is full; the replication protocol
// tolerates lost messages.
func (c *Controller) enqueue(ctx context.Context, message messenger.ReplicaMessage) {
	queue, ok := c.peers[message.To]
	if !ok {
		queue = make(chan messenger.ReplicaMessage, peerQueueSize)
		c.peers[message.To] = queue
		c.startBackground(message.To, func() { c.sendQueued(ctx, message.To, queue) })
	}
	select {
	case queue <- message:
	default:
	}
}

// sendQueued sends the queued messages of one peer in batches until the context
// ends. Failed calls are not retried.
func (c *Controller) sendQueued(ctx context.Context, replica string, queue <-chan messenger.ReplicaMessage) {
	url := "http://" + enroller.AddressOf(replica) + "/inner/replicate"
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := messenger.ReplicaBatch{Messages: drainQueue(first, queue)}
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			var answer messenger.ReplicaAnswer
			err := c.client.Call(callCtx, url, batch, &answer)
			cancel()
			if err == nil && answer.Replica != "" && answer.Replica != replica {
				c.noteDiskLost(ctx, replica, answer.Replica)
			}
		}
	}
}

// noteDiskLost tells the replica that another one answers at the address of a voter, whose
// disk is lost then.
func (c *Controller) noteDiskLost(ctx context.Context, replica, answering string) {
	c.log.Debug("another replica answers at the address of a control replica", "replica", replica, "answering", answering)
	select {
	case c.inbox <- replicator.DiskLostMsg{Replica: replica}:
	case <-ctx.Done():
	}
}

// drainQueue returns first and the messages already queued, at most maxBatchSize
// in total.
func drainQueue(first messenger.ReplicaMessage, queue <-chan messenger.ReplicaMessage) []messenger.ReplicaMessage {
	messages := []messenger.ReplicaMessage{first}
	for len(messages) < maxBatchSize {
		select {
		case message := <-queue:
			messages = append(messages, message)
		default:
			return messages
		}
	}
	return messages
}

// receiveBatch passes messages from a peer to the replica. The journal records
// the sender on disk before any of its messages is processed, because
// answerProbe relies on that record.
func (c *Controller) receiveBatch(ctx context.Context, batch messenger.ReplicaBatch) messenger.ReplicaAnswer {
	ownIdentity := c.journal.Identity()
	for _, message := range batch.Messages {
		if ownIdentity == "" || message.To != ownIdentity {
			continue
		}
		if err := c.journal.NoteSeen(message.From); err != nil {
			c.log.Error("dropped replica messages because their sender could not be recorded on disk", "err", err)
			return messenger.ReplicaAnswer{Replica: ownIdentity}
		}
		select {
		case c.inbox <- replicator.ReceiveMsg{Message: message}:
		case <-ctx.Done():
		}
	}
	return messenger.ReplicaAnswer{Replica: ownIdentity}
}

// answerProbe tells a control process that starts with an empty disk whether its
// founding identity may have been used before. A replica that itself joined under
// a new identity has no records from before, so it always answers that it was.
func (c *Controller) answerProbe(_ context.Context, request messenger.MembershipRequest) messenger.ProbeAnswer {
	ownIdentity := c.journal.Identity()
	isFounding := ownIdentity == c.foundingIdentity(c.cfg.Name)
	seen := c.journal.Seen(c.foundingIdentity(request.Name))
	return messenger.ProbeAnswer{Founded: ownIdentity != "", Seen: seen || (ownIdentity != "" && !isFounding)}
}

// foundingIdentity returns the identity that a founding process uses on its
// first start.
func (c *Controller) foundingIdentity(name string) string {
	return name + "@" + c.cfg.Peers[name]
}

// ensureIdentity assigns an identity to a process with an empty disk, retrying
// until it succeeds or the context ends. The process may use its founding
// identity only if every other founding process answers that it never received a
// message from it: had the process voted or acknowledged entries before
// losing its disk, the receiver's disk would have a record of it. Otherwise the
// process joins under a new identity.
func (c *Controller) ensureIdentity(ctx context.Context) error {
	for c.journal.Identity() == "" {
		if err := c.tryObtainIdentity(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(identityRetryInterval):
		}
	}
	if _, isFounding := c.cfg.Peers[c.cfg.Name]; !isFounding || c.journal.Identity() != c.foundingIdentity(c.cfg.Name) {
		return c.joinIfNew(ctx)
	}
	return nil
}

// tryObtainIdentity probes the other founding processes once and stores an
// identity if their answers allow one. It stores none and returns nil if a
// founding process can't decide yet because a peer did not answer.
func (c *Controller) tryObtainIdentity(ctx context.Context) error {
	_, isFounding := c.cfg.Peers[c.cfg.Name]
	unseenByPeers := isFounding
	for name, address := range c.cfg.Peers {
		if name == c.cfg.Name {
			continue
		}
		var answer messenger.ProbeAnswer
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		err := c.client.Call(callCtx, "http://"+address+"/inner/probe", messenger.MembershipRequest{Name: c.cfg.Name}, &answer)
		cancel()
		switch {
		case err == nil && answer.Seen:
			return c.useNewIdentity()
		case err != nil || !isFounding:
			unseenByPeers = false
		}
	}
	if unseenByPeers {
		return c.useFoundingIdentity()
	}
	if !isFounding {
		return c.useNewIdentity()
	}
	return nil
}

// useFoundingIdentity stores the founding identity and the founding processes as
// the first voters.
func (c *Controller) useFoundingIdentity() error {
	var voters []string
	for name := range c.cfg.Peers {
		voters = append(voters, c.foundingIdentity(name))
	}
	slices.Sort(voters)
	return c.journal.Found(c.foundingIdentity(c.cfg.Name), messenger.Snapshot{Voters: voters})
}

// useNewIdentity stores an identity with a random suffix and no voters.
func (c *Controller) useNewIdentity() error {
	suffix := make([]byte, identitySuffixBytes)
	if _, err := rand.Read(suffix); err != nil {
		return errors.Wrap(err, "generate the random suffix of a replica identity")
	}
	identity := c.cfg.Name + "/" + hex.EncodeToString(suffix) + "@" + c.cfg.Address
	c.log.Warn("joining the control group under a new replica identity", "replica", identity)
	return c.journal.Found(identity, messenger.Snapshot{})
}

// joinIfNew starts requesting membership in the background if the journal holds
// neither voters nor log entries.
func (c *Controller) joinIfNew(ctx context.Context) error {
	state, err := c.journal.Load()
	if err != nil || len(state.Snapshot.Voters) > 0 || len(state.Entries) > 0 {
		return err
	}
	c.startBackground("join", func() { c.requestMembership(ctx) })
	return nil
}

// requestMembership asks the other control processes to add this replica in place
// of earlier replicas with its process name. It retries until it is accepted or
// the context ends.
func (c *Controller) requestMembership(ctx context.Context) {
	ownIdentity := c.journal.Identity()
	request := messenger.MembershipRequest{Action: "add", Name: ownIdentity, Address: c.cfg.Address}
	for {
		for _, address := range slices.Sorted(maps.Values(c.cfg.Peers)) {
			if address == c.cfg.Address {
				continue
			}
			var answer messenger.MembershipAnswer
			callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
			err := c.client.Call(callCtx, "http://"+address+"/inner/membership", request, &answer)
			cancel()
			if err == nil && answer.Accepted {
				c.log.Info("replica joined the control group", "replica", ownIdentity, "voters", answer.Voters)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(identityRetryInterval):
		}
	}
}

// changeMembership executes a membership request on the leader; any other process
// forwards it there. Adding a replica first removes voters with the same process
// name. The voters change one at a time.
func (c *Controller) changeMembership(ctx context.Context, request messenger.MembershipRequest) messenger.MembershipAnswer {
	leader, isLeader := c.leadership()
	if !isLeader {
		var answer messenger.MembershipAnswer
		if leader == "" || c.client.Call(ctx, "http://"+enroller.AddressOf(leader)+"/inner/membership", request, &answer) != nil {
			return messenger.MembershipAnswer{Message: ErrNoLeader.Error()}
		}
		return answer
	}
	var changes []replicator.ChangeVotersMsg
	for _, voter := range c.currentVoters() {
		superseded := request.Action == "add" && processName(voter) == processName(request.Name) && voter != request.Name
		if superseded || (request.Action == "remove" && (voter == request.Name || processName(voter) == request.Name)) {
			changes = append(changes, replicator.ChangeVotersMsg{Remove: voter})
		}
	}
	if request.Action == "add" && !slices.Contains(c.currentVoters(), request.Name) {
		// Nothing changes for a replica that has not shown yet that it keeps the log.
		if _, err := c.propose(ctx, func(id uint64) replicator.Msg { return replicator.LearnMsg{ID: id, Replica: request.Name} }); err != nil {
			return messenger.MembershipAnswer{Message: err.Error(), Voters: c.currentVoters()}
		}
		changes = append(changes, replicator.ChangeVotersMsg{Add: request.Name})
	}
	for _, change := range changes {
		if _, err := c.propose(ctx, func(id uint64) replicator.Msg { change.ID = id; return change }); err != nil {
			return messenger.MembershipAnswer{Message: err.Error(), Voters: c.currentVoters()}
		}
	}
	return messenger.MembershipAnswer{Accepted: true, Voters: c.currentVoters()}
}
