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
	enterEvery    = 300 * time.Millisecond
	identityBytes = 4
)

func nameOf(replica string) string {
	identity, _, _ := strings.Cut(replica, "@")
	name, _, _ := strings.Cut(identity, "/")
	return name
}

// send queues a message for a peer; a full queue drops it, which the log
// tolerates.
func (c *Controller) send(ctx context.Context, message messenger.ReplicaMessage) {
	queue, ok := c.peers[message.To]
	if !ok {
		queue = make(chan messenger.ReplicaMessage, peerQueue)
		c.peers[message.To] = queue
		c.begin(message.To, func() { c.sendTo(ctx, message.To, queue) })
	}
	select {
	case queue <- message:
	default:
	}
}

// sendTo sends the queued messages of one peer in batches.
func (c *Controller) sendTo(ctx context.Context, replica string, queue <-chan messenger.ReplicaMessage) {
	url := "http://" + enroller.AddressOf(replica) + "/inner/replicate"
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := messenger.ReplicaBatch{Messages: drain(first, queue)}
			call, cancel := context.WithTimeout(ctx, replicaTimeout)
			var nothing struct{}
			_ = c.client.Call(call, url, batch, &nothing)
			cancel()
		}
	}
}

func drain(first messenger.ReplicaMessage, queue <-chan messenger.ReplicaMessage) []messenger.ReplicaMessage {
	messages := []messenger.ReplicaMessage{first}
	for len(messages) < batchSize {
		select {
		case next := <-queue:
			messages = append(messages, next)
		default:
			return messages
		}
	}
	return messages
}

// receive takes messages of a peer. That the peer was heard is on disk before
// any of its messages counts.
func (c *Controller) receive(ctx context.Context, batch messenger.ReplicaBatch) struct{} {
	own := c.journal.Identity()
	for _, message := range batch.Messages {
		if own == "" || message.To != own {
			continue
		}
		if err := c.journal.NoteSeen(message.From); err != nil {
			c.log.Error("message dropped", "err", err)
			return struct{}{}
		}
		select {
		case c.inbox <- replicator.ReceiveMsg{Message: message}:
		case <-ctx.Done():
		}
	}
	return struct{}{}
}

// probe answers a control process that starts with an empty disk.
func (c *Controller) probe(_ context.Context, request messenger.MembershipRequest) messenger.ProbeAnswer {
	own := c.journal.Identity()
	founding := own == c.foundingIdentity(c.cfg.Name)
	seen := c.journal.Seen(c.foundingIdentity(request.Name))
	return messenger.ProbeAnswer{Founded: own != "", Seen: seen || (own != "" && !founding)}
}

func (c *Controller) foundingIdentity(name string) string {
	return name + "@" + c.cfg.Peers[name]
}

// enter gives a process with an empty disk its identity. It may use its
// founding identity only if every other founding process answers that it never
// heard from it; a vote or acknowledgement of an earlier life would be on the
// disk of its receiver. Otherwise it joins under a new identity.
func (c *Controller) enter(ctx context.Context) error {
	for c.journal.Identity() == "" {
		if err := c.tryEnter(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(enterEvery):
		}
	}
	if _, founding := c.cfg.Peers[c.cfg.Name]; !founding || c.journal.Identity() != c.foundingIdentity(c.cfg.Name) {
		return c.join(ctx)
	}
	return nil
}

func (c *Controller) tryEnter(ctx context.Context) error {
	_, founding := c.cfg.Peers[c.cfg.Name]
	unheard := founding
	for name, address := range c.cfg.Peers {
		if name == c.cfg.Name {
			continue
		}
		var answer messenger.ProbeAnswer
		call, cancel := context.WithTimeout(ctx, replicaTimeout)
		err := c.client.Call(call, "http://"+address+"/inner/probe", messenger.MembershipRequest{Name: c.cfg.Name}, &answer)
		cancel()
		switch {
		case err == nil && answer.Seen:
			return c.foundNew()
		case err != nil || !founding:
			unheard = false
		}
	}
	if unheard {
		return c.foundFirst()
	}
	if !founding {
		return c.foundNew()
	}
	return nil
}

func (c *Controller) foundFirst() error {
	var voters []string
	for name := range c.cfg.Peers {
		voters = append(voters, c.foundingIdentity(name))
	}
	slices.Sort(voters)
	return c.journal.Found(c.foundingIdentity(c.cfg.Name), messenger.Snapshot{Voters: voters})
}

func (c *Controller) foundNew() error {
	suffix := make([]byte, identityBytes)
	if _, err := rand.Read(suffix); err != nil {
		return errors.Wrap(err, "draw an identity")
	}
	identity := c.cfg.Name + "/" + hex.EncodeToString(suffix) + "@" + c.cfg.Address
	c.log.Warn("joining as a new replica", "replica", identity)
	return c.journal.Found(identity, messenger.Snapshot{})
}

// join asks the leader, until it succeeds, to put this replica in place of the
// ones that had its name.
func (c *Controller) join(ctx context.Context) error {
	state, err := c.journal.Load()
	if err != nil || len(state.Snapshot.Voters) > 0 || len(state.Entries) > 0 {
		return err
	}
	c.begin("join", func() { c.askToJoin(ctx) })
	return nil
}

func (c *Controller) askToJoin(ctx context.Context) {
	own := c.journal.Identity()
	request := messenger.MembershipRequest{Action: "add", Name: own, Address: c.cfg.Address}
	for {
		for _, address := range slices.Sorted(maps.Values(c.cfg.Peers)) {
			if address == c.cfg.Address {
				continue
			}
			var answer messenger.MembershipAnswer
			call, cancel := context.WithTimeout(ctx, commandTimeout)
			err := c.client.Call(call, "http://"+address+"/inner/membership", request, &answer)
			cancel()
			if err == nil && answer.Accepted {
				c.log.Info("joined", "replica", own, "voters", answer.Voters)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(enterEvery):
		}
	}
}

// changeMembership handles a membership request at the leader, or passes it
// on. An added replica first replaces voters of the same name.
func (c *Controller) changeMembership(ctx context.Context, request messenger.MembershipRequest) messenger.MembershipAnswer {
	leader, leading := c.leadership()
	if !leading {
		var answer messenger.MembershipAnswer
		if leader == "" || c.client.Call(ctx, "http://"+enroller.AddressOf(leader)+"/inner/membership", request, &answer) != nil {
			return messenger.MembershipAnswer{Message: ErrNoLeader.Error()}
		}
		return answer
	}
	var steps []replicator.ChangeVotersMsg
	for _, voter := range c.currentVoters() {
		old := request.Action == "add" && nameOf(voter) == nameOf(request.Name) && voter != request.Name
		if old || (request.Action == "remove" && (voter == request.Name || nameOf(voter) == request.Name)) {
			steps = append(steps, replicator.ChangeVotersMsg{Remove: voter})
		}
	}
	if request.Action == "add" && !slices.Contains(c.currentVoters(), request.Name) {
		steps = append(steps, replicator.ChangeVotersMsg{Add: request.Name})
	}
	for _, step := range steps {
		if _, err := c.propose(ctx, func(id uint64) replicator.Msg { step.ID = id; return step }); err != nil {
			return messenger.MembershipAnswer{Message: err.Error(), Voters: c.currentVoters()}
		}
	}
	return messenger.MembershipAnswer{Accepted: true, Voters: c.currentVoters()}
}
