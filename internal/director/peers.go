package director

import (
	"context"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"
)

// send queues a message for a peer and drops it if the queue is full, which the
// replication protocol tolerates. Heartbeats and votes have their own queue and
// connection, so that they never wait behind log entries.
func (d *Director) send(ctx context.Context, message messenger.ReplicaMessage) {
	queueKey := message.To
	if payloadBytes(message) > 0 {
		queueKey = "entries " + queueKey
	}
	queue, ok := d.peerQueues[queueKey]
	if !ok {
		queue = make(chan messenger.ReplicaMessage, peerQueueCapacity)
		d.peerQueues[queueKey] = queue
		d.spawn(queueKey, func() { d.sendQueued(ctx, message.To, queue) })
	}
	select {
	case queue <- message:
	default:
	}
}

// sendQueued sends the messages of one queue to its peer in batches until the
// context ends.
func (d *Director) sendQueued(ctx context.Context, replica string, queue <-chan messenger.ReplicaMessage) {
	url := "http://" + enroller.AddressOf(replica) + "/fleet/replicate"
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := messenger.ReplicaBatch{Messages: drainQueue(first, queue)}
			callCtx, cancel := context.WithTimeout(ctx, replicaTimeout+transferTime(batch))
			var answer messenger.ReplicaAnswer
			if err := d.client.Call(callCtx, url, batch, &answer); err != nil {
				d.log.Debug("could not send to replica", "replica", replica, "err", err)
				d.noteFailure(replica, err)
			} else {
				d.noteAnswer(replica, answer.Replica)
			}
			cancel()
		}
	}
}

const (
	// maxPeerBatchMessages bounds the messages in one call to a peer.
	maxPeerBatchMessages = 16
	// maxPeerBatchBytes is the payload above which no further message is added to a
	// call, so that the slowest link transfers it well within the call's timeout.
	maxPeerBatchBytes = 256 << 10
)

// drainQueue returns a batch of the first message and as many queued ones as the
// bounds allow.
func drainQueue(first messenger.ReplicaMessage, queue <-chan messenger.ReplicaMessage) []messenger.ReplicaMessage {
	messages := []messenger.ReplicaMessage{first}
	bytes := payloadBytes(first)
	for len(messages) < maxPeerBatchMessages && bytes < maxPeerBatchBytes {
		select {
		case next := <-queue:
			messages = append(messages, next)
			bytes += payloadBytes(next)
		default:
			return messages
		}
	}
	return messages
}

// minLinkBytesPerSecond is the assumed throughput of a loaded link, a tenth of that
// of the slowest machine.
const minLinkBytesPerSecond = 512 << 10

// transferTime returns the time to allow for the payload of a batch, in addition to
// the call's own timeout.
func transferTime(batch messenger.ReplicaBatch) time.Duration {
	bytes := 0
	for _, message := range batch.Messages {
		bytes += payloadBytes(message)
	}
	return time.Duration(bytes) * time.Second / minLinkBytesPerSecond
}

// payloadBytes returns the bytes of log entries and snapshot data in a message.
func payloadBytes(message messenger.ReplicaMessage) int {
	bytes := 0
	if message.Snapshot != nil {
		bytes += len(message.Snapshot.Data)
	}
	for _, entry := range message.Entries {
		bytes += len(entry.Data)
	}
	return bytes
}

// handleReplicate queues a peer's messages for the replica, and tells whose disk this is.
func (d *Director) handleReplicate(ctx context.Context, batch messenger.ReplicaBatch) messenger.ReplicaAnswer {
	for _, message := range batch.Messages {
		if d.journal == nil || message.To != d.identity {
			continue
		}
		d.mu.Lock()
		heard := enroller.HeardMsg{Now: now(), Replica: message.From}
		d.attendance.Update(heard)
		d.applicants.Update(heard)
		d.mu.Unlock()
		select {
		case d.inbox <- replicator.ReceiveMsg{Message: message}:
		case <-ctx.Done():
		}
	}
	return messenger.ReplicaAnswer{Replica: d.identity}
}
