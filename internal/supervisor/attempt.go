package supervisor

import (
	"context"
	"encoding/hex"
	"sync"

	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"github.com/cespare/xxhash/v2"
)

// attempt is one try at a request, with the response received so far. Lock
// Supervisor.mu before attempt.mu.
type attempt struct {
	request messenger.AttemptRequest
	cancel  context.CancelFunc // cancel ends the call to the endpoint; it is nil before the attempt starts.

	mu          sync.Mutex
	changed     chan struct{} // changed is closed and replaced at each change.
	status      int           // status is the HTTP status of the response, 0 before its header arrives.
	contentType string
	data        []byte
	pool        *transporter.Pool // pool holds the bytes of data until the attempt has ended.
	started     bool
	final       *messenger.Frame // final is the last frame, nil until the attempt has ended.
}

func newAttempt(request messenger.AttemptRequest, pool *transporter.Pool) *attempt {
	return &attempt{request: request, pool: pool, changed: make(chan struct{})}
}

// notify wakes all readers after a change. The caller must hold mu.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// setHeader records the status and content type of the endpoint's response.
func (a *attempt) setHeader(status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
	a.status = status
	a.contentType = contentType
	a.notify()
}

// appendData appends a part of the response body. It returns false and appends
// nothing if the body would exceed maxResponseBytes, or all running attempts together the
// pool, or if the attempt has ended.
func (a *attempt) appendData(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil || len(a.data)+len(data) > maxResponseBytes || !a.pool.Reserve(len(data)) {
		return false
	}
	a.data = append(a.data, data...)
	a.notify()
	return true
}

// size returns the bytes that the attempt's request and response bodies occupy.
func (a *attempt) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data) + len(a.request.Body)
}

// finish sets the final frame and reports whether it did. Only the first call has
// an effect.
func (a *attempt) finish(frame messenger.Frame) bool {
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
	a.pool.Release(len(a.data))
	a.notify()
	return true
}

// digest returns the xxHash of data in hexadecimal.
func digest(data []byte) string {
	h := xxhash.New()
	_, _ = h.Write(data)
	return hex.EncodeToString(h.Sum(nil))
}

// framesFrom returns the frames that follow a byte offset of the response body,
// and a channel that is closed at the next change. The frame with the status is
// left out if headerSent is set.
func (a *attempt) framesFrom(offset int, headerSent bool) (frames []messenger.Frame, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status > 0 && !headerSent {
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
