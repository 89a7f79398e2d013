package supervisor

import (
	"context"
	"encoding/hex"
	"sync"

	"papayaseam/internal/messenger"

	"github.com/cespare/xxhash/v2"
)

// attempt is one try with its kept answer. Its own lock comes after the
// supervisor's.
type attempt struct {
	request messenger.AttemptRequest
	cancel  context.CancelFunc

	mu          sync.Mutex
	changed     chan struct{}
	status      int
	contentType string
	data        []byte
	started     bool
	final       *messenger.Frame
}

func newAttempt(request messenger.AttemptRequest) *attempt {
	return &attempt{request: request, changed: make(chan struct{})}
}

// wake tells all readers that something changed; mu is held.
func (a *attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) begin(status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
	a.status = status
	a.contentType = contentType
	a.wake()
}

// add appends a piece of the answer, false when it would grow too long.
func (a *attempt) add(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.data)+len(data) > maxAnswerBytes {
		return false
	}
	a.data = append(a.data, data...)
	a.wake()
	return true
}

// size is the number of bytes kept.
func (a *attempt) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data) + len(a.request.Body)
}

// end sets the final frame once; later calls change nothing.
func (a *attempt) end(frame messenger.Frame) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil {
		return false
	}
	frame.Attempt = a.request.Attempt
	frame.Final = true
	frame.Length = len(a.data)
	frame.Digest = digest(a.data)
	a.final = &frame
	a.wake()
	return true
}

func digest(data []byte) string {
	h := xxhash.New()
	_, _ = h.Write(data)
	return hex.EncodeToString(h.Sum(nil))
}

// next returns the frames that a reader at an offset lacks, and a channel that
// closes when there is more.
func (a *attempt) next(offset int, begun bool) (frames []messenger.Frame, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status > 0 && !begun {
		frames = append(frames, messenger.Frame{Attempt: a.request.Attempt, Offset: offset, Status: a.status, ContentType: a.contentType})
	}
	if len(a.data) > offset {
		frames = append(frames, messenger.Frame{Attempt: a.request.Attempt, Offset: offset, Data: append([]byte(nil), a.data[offset:]...)})
	}
	if a.final != nil {
		final := *a.final
		final.Offset = len(a.data)
		frames = append(frames, final)
	}
	return frames, a.changed
}
