package director

import (
	"context"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"
)

// send queues a message for a peer; a full queue drops it, which the log
// tolerates. Heartbeats and votes never wait behind entries: they have a queue
// and a connection of their own.
func (d *Director) send(ctx context.Context, message messenger.ReplicaMessage) {
	lane := message.To
	if sizeOf(message) > 0 {
		lane = "entries " + lane
	}
	queue, ok := d.peers[lane]
	if !ok {
		queue = make(chan messenger.ReplicaMessage, peerQueue)
		d.peers[lane] = queue
		d.begin(lane, func() { d.sendTo(ctx, message.To, queue) })
	}
	select {
	case queue <- message:
	default:
	}
}

// sendTo sends the queued messages of one peer in batches.
func (d *Director) sendTo(ctx context.Context, replica string, queue <-chan messenger.ReplicaMessage) {
	url := "http://" + enroller.AddressOf(replica) + "/fleet/replicate"
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := messenger.ReplicaBatch{Messages: drain(first, queue)}
			call, cancel := context.WithTimeout(ctx, replicaTimeout+timeOnLink(batch))
			var nothing struct{}
			if err := d.client.Call(call, url, batch, &nothing); err != nil {
				d.log.Debug("replica not reached", "replica", replica, "err", err)
			}
			cancel()
		}
	}
}

const (
	// peerBatch bounds the messages in one call to a peer.
	peerBatch = 16
	// peerBatchBytes bounds their bytes, but for the last message: the slowest
	// link carries them well within the time of the call.
	peerBatchBytes = 256 << 10
)

func drain(first messenger.ReplicaMessage, queue <-chan messenger.ReplicaMessage) []messenger.ReplicaMessage {
	messages := []messenger.ReplicaMessage{first}
	bytes := sizeOf(first)
	for len(messages) < peerBatch && bytes < peerBatchBytes {
		select {
		case next := <-queue:
			messages = append(messages, next)
			bytes += sizeOf(next)
		default:
			return messages
		}
	}
	return messages
}

// slowLink is the pace in bytes a second that a batch may take on a loaded
// link, a tenth of the slowest machine's.
const slowLink = 512 << 10

// timeOnLink is what the bytes of a batch may take beside the call itself.
func timeOnLink(batch messenger.ReplicaBatch) time.Duration {
	bytes := 0
	for _, message := range batch.Messages {
		bytes += sizeOf(message)
	}
	return time.Duration(bytes) * time.Second / slowLink
}

// sizeOf returns the bytes of entries and state in a message.
func sizeOf(message messenger.ReplicaMessage) int {
	bytes := 0
	if message.Snapshot != nil {
		bytes += len(message.Snapshot.Data)
	}
	for _, entry := range message.Entries {
		bytes += len(entry.Data)
	}
	return bytes
}

// receive takes messages of a peer.
func (d *Director) receive(ctx context.Context, batch messenger.ReplicaBatch) struct{} {
	for _, message := range batch.Messages {
		if d.journal == nil || message.To != d.identity {
			continue
		}
		d.mu.Lock()
		d.heard[message.From] = now()
		d.mu.Unlock()
		select {
		case d.inbox <- replicator.ReceiveMsg{Message: message}:
		case <-ctx.Done():
		}
	}
	return struct{}{}
}
