package transporter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"papayaseam/internal/limiter"

	"github.com/cockroachdb/errors"
)

const (
	// segmentBytes is the size of a full segment of a body.
	segmentBytes = 64 << 10
	// refusedTime is how long the rest of a body is read that is refused or not read by its handler, so that a client that still
	// sends can see the answer.
	refusedTime = 500 * time.Millisecond
	// bodyRetryDelay is when a client whose body was refused should send it again: by then
	// bodies that stalled have ended.
	bodyRetryDelay = "2"
)

// ErrBodyTooLong means that a body is longer than its limit; send a shorter one.
var ErrBodyTooLong = errors.New("the body is longer than the limit; send a shorter one")

// ErrBodyLate means that a body did not arrive in time; send it again, faster.
var ErrBodyLate = errors.New("the body did not arrive in time; send it again")

// ErrBodyRefused means that the bodies in progress hold all the memory set aside for them; send
// the request again in a moment.
var ErrBodyRefused = errors.New("bodies in progress hold all the memory set aside for them; send it again in a moment")

// ErrBodyEvicted means that a body gave way to others because it made no progress; send the
// request again in a moment.
var ErrBodyEvicted = errors.New("the body made no progress while memory was short; send it again in a moment")

// ErrBodyBroken means that a body could not be read whole; send it again.
var ErrBodyBroken = errors.New("the body could not be read whole; send it again")

// Body is the whole body of a request. What it holds is returned by Release, or at the latest
// when the request's handler has returned.
type Body struct {
	segments [][]byte
	size     int
	capacity int // capacity is the sum of the segments' capacities.
	limits   *Limits
	conn     *limitedConn
	id       uint64 // id is the holder at the limiter; 0 if the body holds no more than its free part.
	charged  int    // charged is what is held at the limiter.

	startedAt time.Duration
	deadline  time.Duration // deadline is when the body must be in; 0 for no deadline.
	received  atomic.Int64

	mu      sync.Mutex
	read    bool  // read means that nothing is read any more.
	stopped error // stopped is why the reading was ended from outside.
	ended   bool
}

// ReadBody reads the whole body of a request, of at most so many bytes, within a time; 0 means
// only the time of the limits. After an error the connection is closed once the answer is
// written; the error is one of ErrBodyTooLong, ErrBodyLate, ErrBodyRefused, ErrBodyEvicted and
// ErrBodyBroken. An announced length above the limit is refused before anything is read.
func ReadBody(w http.ResponseWriter, r *http.Request, most int, within time.Duration) (*Body, error) {
	b := &Body{}
	if r.ContentLength == 0 || r.Body == nil {
		return b, nil
	}
	err := ErrBodyTooLong
	if r.ContentLength <= int64(most) {
		b.attach(connectionOf(r.Context()), within)
		err = b.detach(b.readAll(r.Body, int(r.ContentLength), most))
	}
	if err != nil {
		countBound(err)
		b.Release()
		w.Header().Set("Connection", "close")
		if c := connectionOf(r.Context()); c != nil && b.stopped == nil {
			// The HTTP library reads a small rest of the body before it closes the connection.
			_ = c.SetReadDeadline(time.Now().Add(refusedTime))
		}
		return nil, err
	}
	return b, nil
}

// attach makes the body known to its connection, so that it can be stopped.
func (b *Body) attach(c *limitedConn, within time.Duration) {
	if c == nil {
		return
	}
	b.conn, b.limits = c, c.port.limits
	b.startedAt = b.limits.now()
	if within > 0 {
		b.deadline = b.startedAt + within
	}
	c.body.Store(b)
	c.unreadSince.Store(0)
}

// detach ends the reading and returns its error.
func (b *Body) detach(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read = true
	if b.stopped != nil {
		return b.stopped
	}
	if err == nil && b.id != 0 {
		b.limits.update(limiter.CompleteMsg{ID: b.id})
	}
	return err
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// stop ends the reading from outside, unless it has ended. A deadline that is set later would
// cancel the request of a body that is whole.
func (b *Body) stop(reason error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.read || b.stopped != nil {
		return
	}
	b.stopped = reason
	_ = b.conn.SetReadDeadline(longAgo)
}

// readAll reads into segments; announced is below 0 if the length is not known.
func (b *Body) readAll(body io.Reader, announced, most int) error {
	for announced < 0 || b.size < announced {
		segment, err := b.grow(b.nextSegment(announced, most))
		if err != nil {
			return err
		}
		n, err := b.fill(body, segment)
		b.segments[len(b.segments)-1] = segment[:n]
		switch {
		case b.size > most:
			return ErrBodyTooLong
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && (announced < 0 || b.size == announced):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ErrBodyLate
		case err != nil:
			return ErrBodyBroken
		}
	}
	return nil
}

// nextSegment returns the size of the next segment: all that is left where it is known, else
// as much as there is, so that a small body holds little, up to the byte that is too much.
func (b *Body) nextSegment(announced, most int) int {
	if announced >= 0 {
		return min(segmentBytes, announced-b.size)
	}
	return min(segmentBytes, max(limiter.FreeBodyBytes, b.capacity), most+1-b.size)
}

// fill reads until a segment is full.
func (b *Body) fill(body io.Reader, segment []byte) (n int, err error) {
	for n < len(segment) && err == nil {
		var got int
		got, err = body.Read(segment[n:])
		n += got
		b.size += got
		b.received.Add(int64(got))
	}
	return n, err
}

// grow adds a segment, once its capacity is granted.
func (b *Body) grow(size int) ([]byte, error) {
	if err := b.charge(b.capacity + size - limiter.FreeBodyBytes); err != nil {
		return nil, err
	}
	b.capacity += size
	segment := make([]byte, size)
	b.segments = append(b.segments, segment)
	return segment, nil
}

// charge raises what is held at the limiter to a number of bytes.
func (b *Body) charge(to int) error {
	if b.limits == nil || to <= b.charged {
		return nil
	}
	if b.id == 0 {
		b.id = b.limits.begin(b)
	}
	if !b.limits.ask(b.id, to-b.charged) {
		return ErrBodyRefused
	}
	b.charged = to
	return nil
}

// Len returns the length of the body.
func (b *Body) Len() int { return b.size }

// Segments returns the body in pieces; they must not be changed.
func (b *Body) Segments() [][]byte { return b.segments }

// Reader returns a reader of the whole body.
func (b *Body) Reader() io.Reader {
	if len(b.segments) == 1 {
		return bytes.NewReader(b.segments[0])
	}
	readers := make([]io.Reader, len(b.segments))
	for i, segment := range b.segments {
		readers[i] = bytes.NewReader(segment)
	}
	return io.MultiReader(readers...)
}

// Bytes returns the body in one piece. It returns ErrBodyRefused if there is no memory to join
// its segments.
func (b *Body) Bytes() ([]byte, error) {
	if len(b.segments) == 0 {
		return nil, nil
	}
	if len(b.segments) == 1 {
		return b.segments[0], nil
	}
	if err := b.charge(b.charged + b.size); err != nil {
		countBound(err)
		return nil, err
	}
	whole := bytes.Join(b.segments, nil)
	b.segments = [][]byte{whole}
	if b.id != 0 {
		back := min(b.capacity, b.charged-b.size)
		b.limits.update(limiter.ReturnMsg{ID: b.id, Bytes: back})
		b.charged -= back
	}
	b.capacity = b.size
	return whole, nil
}

// AwaitWork waits until copies of so many times the body's length may be made, and returns how
// to report that they are gone. Small bodies and those without limits do not wait.
func (b *Body) AwaitWork(ctx context.Context, copies int) (release func(), err error) {
	if b == nil || b.limits == nil || b.size <= workFreeBytes {
		return func() {}, nil
	}
	return b.limits.awaitWork(ctx, copies*b.size)
}

// drop forgets the bytes, and goes on to count them for what was decoded from them.
func (b *Body) drop() { b.segments = nil }

// Release returns what the body holds. The body must not be read after it.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	ended := b.ended
	b.ended, b.read = true, true
	b.mu.Unlock()
	if !ended && b.id != 0 {
		b.limits.update(limiter.EndMsg{ID: b.id})
	}
}

// BodyStatus returns the status of the answer to a request whose body could not be read: it has
// not run and never will.
func BodyStatus(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBodyLate):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrBodyRefused), errors.Is(err, ErrBodyEvicted):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// SetBodyRetry tells a client whose body was refused when to send it again.
func SetBodyRetry(h http.Header) { h.Set("Retry-After", bodyRetryDelay) }

// WriteBodyError answers a request whose body could not be read.
func WriteBodyError(w http.ResponseWriter, err error) {
	status := BodyStatus(err)
	if status == http.StatusServiceUnavailable {
		SetBodyRetry(w.Header())
	}
	http.Error(w, err.Error(), status)
}
