package transporter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"papayaseam/internal/limiter"

	"github.com/charmbracelet/log"
)

// workFreeBytes is the size up to which a body may be copied without a reservation.
const workFreeBytes = 64 << 10

// Limits bounds what the clients of all listeners of a process make it hold. It is safe for
// concurrent use; a nil Limits bounds nothing.
type Limits struct {
	bounds    limiter.Bounds
	log       *log.Logger
	startedAt time.Time
	work      *Pool
	headBytes atomic.Int64 // headBytes is what heads hold beyond their free part.

	mu      sync.Mutex
	limiter *limiter.Limiter
	lastID  uint64
	lastAsk uint64
	bodies  map[uint64]*Body
	waiting map[uint64]chan bool // waiting holds the asks that wait for evicted bodies to end.
	ports   []*port
}

// NewLimits returns limits with the given bounds. They hold once Run has started.
func NewLimits(bounds limiter.Bounds, logger *log.Logger) *Limits {
	return &Limits{
		bounds: bounds, log: logger, startedAt: time.Now(), work: NewPool(bounds.WorkBytes()),
		limiter: limiter.New(bounds.BodyBytes()), bodies: map[uint64]*Body{}, waiting: map[uint64]chan bool{},
	}
}

// now returns the time by the clock of the limits. It makes no system call, unlike the clock
// of timekeeper; a bound that is late by the time of a suspension does no harm.
func (l *Limits) now() time.Duration { return time.Since(l.startedAt) }

// begin registers a holder of bytes; b is nil for one that is never evicted.
func (l *Limits) begin(b *Body) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	id := l.lastID
	l.limiter.Update(limiter.BeginMsg{ID: id, Now: l.now()})
	if b == nil {
		l.limiter.Update(limiter.CompleteMsg{ID: id})
		return id
	}
	l.bodies[id] = b
	return id
}

// ask takes bytes for a holder. It waits until the bodies that are evicted for them have
// ended, and reports whether they were granted.
func (l *Limits) ask(id uint64, bytes int) bool {
	l.mu.Lock()
	l.lastAsk++
	effects := l.limiter.Update(limiter.AskMsg{ID: id, Ask: l.lastAsk, Bytes: bytes, Now: l.now()})
	if len(effects) == 1 {
		// The usual case needs no channel.
		switch effects[0].(type) {
		case limiter.GrantEffect, limiter.RefuseEffect:
			heldBytes.Store(int64(l.limiter.Used()))
			l.mu.Unlock()
			_, granted := effects[0].(limiter.GrantEffect)
			return granted
		}
	}
	answer := make(chan bool, 1)
	l.waiting[l.lastAsk] = answer
	evicted := l.apply(effects)
	l.mu.Unlock()
	for _, b := range evicted {
		b.stop(ErrBodyEvicted)
	}
	return <-answer
}

// update passes a message that evicts nothing.
func (l *Limits) update(msg limiter.Msg) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.limiter.Update(msg))
	if end, ok := msg.(limiter.EndMsg); ok {
		delete(l.bodies, end.ID)
	}
}

// apply answers the asks that effects decide and returns the bodies to end; mu is held.
func (l *Limits) apply(effects []limiter.Effect) []*Body {
	var evicted []*Body
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.GrantEffect:
			l.answer(effect.Ask, true)
		case limiter.RefuseEffect:
			l.answer(effect.Ask, false)
		case limiter.EvictEffect:
			if b := l.bodies[effect.ID]; b != nil {
				evicted = append(evicted, b)
			}
		}
	}
	heldBytes.Store(int64(l.limiter.Used()))
	return evicted
}

func (l *Limits) answer(ask uint64, granted bool) {
	l.waiting[ask] <- granted
	delete(l.waiting, ask)
}

// workPollInterval is how often a copy that waits for its turn asks again.
const workPollInterval = 10 * time.Millisecond

// awaitWork takes bytes for copies of a large body and waits until they are free. A body that
// needs more than there is takes all.
func (l *Limits) awaitWork(ctx context.Context, bytes int) (release func(), err error) {
	bytes = min(bytes, l.bounds.WorkBytes())
	release = sync.OnceFunc(func() { l.work.Release(bytes) })
	if l.work.Reserve(bytes) {
		return release, nil
	}
	ticker := time.NewTicker(workPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
		if l.work.Reserve(bytes) {
			return release, nil
		}
	}
}
