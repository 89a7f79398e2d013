package transporter

import (
	"io"
	"sync/atomic"

	"papayaseam/internal/limiter"

	"github.com/cockroachdb/errors"
)

const (
	// freeBytes is what any body may hold without a reservation: far above usual
	// answers, and little beside the memory of a process at hundreds of calls.
	freeBytes = 64 << 10
	// restBytes is how much of an answer that nobody needs is read to keep its
	// connection.
	restBytes = 64 << 10
)

// ErrEndless means that a body is longer than any sound one; close its
// connection and ask elsewhere.
var ErrEndless = errors.New("the answer is longer than any sound one; its connection is closed")

// ErrHeld means that all bodies under way hold as much as this process may;
// ask again in a moment.
var ErrHeld = errors.New("answers under way hold all the memory set aside for them; ask again in a moment")

// Pool bounds the bytes that large bodies hold together. It is safe for
// concurrent use.
type Pool struct {
	left   atomic.Int64
	limits *Limits // limits holds the bytes of this pool too, under id; nil for none.
	id     uint64
}

// NewPool returns a pool of so many bytes.
func NewPool(bytes int) *Pool {
	p := &Pool{}
	p.left.Store(int64(bytes))
	return p
}

// Pool returns a pool of so many bytes, which also count in the budget of the limits.
func (l *Limits) Pool(bytes int) *Pool {
	p := NewPool(bytes)
	if l != nil {
		p.limits, p.id = l, l.begin(nil)
	}
	return p
}

// Read returns a whole body of at most so many bytes, and what it holds of the
// pool, to be given back by Release. It returns ErrEndless for a longer body
// and ErrHeld where the pool is empty; what was held then is released.
func (p *Pool) Read(body io.Reader, most int) (data []byte, held int, err error) {
	data = make([]byte, 0, 512)
	for {
		if len(data) == cap(data) {
			grow := cap(data)
			if cap(data)+grow > freeBytes {
				if !p.Reserve(grow) {
					p.Release(held)
					return nil, 0, ErrHeld
				}
				held += grow
			}
			data = append(make([]byte, 0, cap(data)+grow), data...)
		}
		n, err := body.Read(data[len(data):min(cap(data), most+1)])
		data = data[:len(data)+n]
		switch {
		case len(data) > most:
			p.Release(held)
			return nil, 0, ErrEndless
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return data, held, nil
		case err != nil:
			p.Release(held)
			return nil, 0, err
		}
	}
}

// pooledReader reads a body for a decoder that keeps what it has read. Beyond freeBytes,
// what was read is held in the pool until release. It returns ErrEndless once left bytes
// were read, and ErrHeld where the pool is empty.
type pooledReader struct {
	body io.Reader
	pool *Pool
	left int
	read int
	held int
}

func (r *pooledReader) Read(data []byte) (int, error) {
	if r.left == 0 {
		return 0, ErrEndless
	}
	data = data[:min(len(data), r.left)]
	if need := r.read + len(data) - freeBytes - r.held; need > 0 {
		if !r.pool.Reserve(need) {
			return 0, ErrHeld
		}
		r.held += need
	}
	n, err := r.body.Read(data)
	r.left -= n
	r.read += n
	return n, err
}

// release gives back what the body held.
func (r *pooledReader) release() {
	r.pool.Release(r.held)
	r.held = 0
}

// Reserve takes bytes, to be given back by Release, or reports that there are not enough.
func (p *Pool) Reserve(n int) bool {
	if p.left.Add(int64(-n)) >= 0 && (p.limits == nil || p.limits.ask(p.id, n)) {
		return true
	}
	p.left.Add(int64(n))
	return false
}

// Release gives bytes back.
func (p *Pool) Release(n int) {
	p.left.Add(int64(n))
	if p.limits != nil && n > 0 {
		p.limits.update(limiter.ReturnMsg{ID: p.id, Bytes: n})
	}
}

// discard reads what is left of a small answer, so that its connection can be
// used again; a longer rest ends with the connection.
func discard(body io.Reader) { _, _ = io.Copy(io.Discard, io.LimitReader(body, restBytes)) }

// Discard reads what is left of an answer that nobody needs and closes it.
func Discard(body io.ReadCloser) {
	discard(body)
	_ = body.Close()
}
