// Package limiter decides how much a process holds for its clients: the bytes of bodies
// that are read, the connections, and the time that heads, bodies and writes may take. It
// has no clock and no network; its caller reads, closes and tells it the time.
//
// # Usage
//
//	l := limiter.New(limiter.NewBounds().BodyBytes)
//	l.Update(limiter.BeginMsg{ID: 7, Now: now})
//	for _, effect := range l.Update(limiter.AskMsg{ID: 7, Ask: 1, Bytes: 64 << 10, Now: now}) {
//		switch effect := effect.(type) {
//		case limiter.GrantEffect: // the bytes are held
//		case limiter.RefuseEffect: // refuse the body
//		case limiter.EvictEffect: // end the body effect.ID, then send EndMsg
//		}
//	}
//	l.Update(limiter.EndMsg{ID: 7})
//
// All bodies share one budget of bytes. Where it is short, the bodies that made no progress
// for the longest time are evicted for the one that asks, which waits until they have
// ended. It is refused where all others make progress. A complete body is never evicted:
// its request is in progress. A body that is the only one is always granted its bytes, so
// that each size within the limit of one body can be served.
package limiter

import (
	"cmp"
	"slices"
	"time"
)

// body is one holder of bytes.
type body struct {
	id         uint64
	held       int
	progressAt time.Duration
	waiting    int // waiting is the number of asks that are not answered.
	complete   bool
	evicted    bool
}

// ask is a request for bytes that waits until evicted bodies have ended.
type ask struct {
	id, ask uint64
	bytes   int
}

// Limiter is the budget of bytes. It is not safe for concurrent use.
type Limiter struct {
	options
	budget int
	used   int
	bodies map[uint64]*body
	queue  []ask
}

// New returns a limiter for a budget of so many bytes.
func New(budget int, opts ...Option) *Limiter {
	l := &Limiter{options: defaultOptions(), budget: budget, bodies: map[uint64]*body{}}
	for _, opt := range opts {
		opt(&l.options)
	}
	return l
}

// Used returns the bytes that are held.
func (l *Limiter) Used() int { return l.used }

// Update takes a message and returns what must happen. Messages about a body that has not
// begun have no effect, and an ask for it is refused.
func (l *Limiter) Update(msg Msg) []Effect {
	switch msg := msg.(type) {
	case BeginMsg:
		if l.bodies[msg.ID] == nil {
			l.bodies[msg.ID] = &body{id: msg.ID, progressAt: msg.Now}
		}
	case AskMsg:
		return l.decide(msg)
	case CompleteMsg:
		if b := l.bodies[msg.ID]; b != nil {
			b.complete = true
		}
	case ReturnMsg:
		if b := l.bodies[msg.ID]; b != nil {
			l.release(b, msg.Bytes)
		}
		return l.answerWaiting()
	case EndMsg:
		return l.end(msg.ID)
	}
	return nil
}

func (l *Limiter) decide(msg AskMsg) []Effect {
	b := l.bodies[msg.ID]
	if b == nil || b.evicted || msg.Bytes < 0 {
		return []Effect{RefuseEffect{ID: msg.ID, Ask: msg.Ask}}
	}
	b.progressAt = max(b.progressAt, msg.Now)
	if len(l.queue) == 0 && l.fits(b, msg.Bytes) {
		l.take(b, msg.Bytes)
		return []Effect{GrantEffect{ID: msg.ID, Ask: msg.Ask}}
	}
	victims, ok := l.victims(b, msg.Bytes, msg.Now)
	if !ok {
		return []Effect{RefuseEffect{ID: msg.ID, Ask: msg.Ask}}
	}
	var effects []Effect
	for _, victim := range victims {
		victim.evicted = true
		effects = append(effects, EvictEffect{ID: victim.id})
	}
	b.waiting++
	l.queue = append(l.queue, ask{msg.ID, msg.Ask, msg.Bytes})
	return effects
}

// fits reports whether a body can be granted bytes at once.
func (l *Limiter) fits(b *body, bytes int) bool {
	return l.used == b.held || l.used+bytes <= l.budget
}

func (l *Limiter) take(b *body, bytes int) {
	b.held += bytes
	l.used += bytes
}

func (l *Limiter) release(b *body, bytes int) {
	bytes = max(0, min(bytes, b.held))
	b.held -= bytes
	l.used -= bytes
}

// victims returns the bodies to evict so that an ask can be granted once they and those
// evicted before have ended, or reports that there are not enough.
func (l *Limiter) victims(asking *body, bytes int, now time.Duration) ([]*body, bool) {
	missing := l.used + bytes - l.budget
	for _, waiting := range l.queue {
		missing += waiting.bytes
	}
	var candidates []*body
	others := l.used - asking.held
	for _, b := range l.bodies {
		switch {
		case b.evicted:
			missing -= b.held
			others -= b.held
		case b != asking && !b.complete && b.waiting == 0 && b.held > 0 && now-b.progressAt >= l.stallTime:
			candidates = append(candidates, b)
		}
	}
	slices.SortFunc(candidates, func(a, b *body) int {
		return cmp.Or(cmp.Compare(a.progressAt, b.progressAt), cmp.Compare(a.id, b.id))
	})
	n := 0
	for ; missing > 0 && others > 0 && n < len(candidates); n++ {
		missing -= candidates[n].held
		others -= candidates[n].held
	}
	return candidates[:n], missing <= 0 || (others <= 0 && len(l.queue) == 0)
}

// end returns the bytes of a body, once, and withdraws what it asks for.
func (l *Limiter) end(id uint64) []Effect {
	b := l.bodies[id]
	if b == nil {
		return nil
	}
	l.release(b, b.held)
	delete(l.bodies, id)
	var effects []Effect
	l.queue = slices.DeleteFunc(l.queue, func(a ask) bool {
		if a.id == id {
			effects = append(effects, RefuseEffect{ID: a.id, Ask: a.ask})
		}
		return a.id == id
	})
	return append(effects, l.answerWaiting()...)
}

// answerWaiting grants the asks that fit by now, in their order. Where no evicted body is
// left to wait for, the others are refused.
func (l *Limiter) answerWaiting() []Effect {
	var effects []Effect
	for len(l.queue) > 0 {
		first := l.queue[0]
		b := l.bodies[first.id]
		switch {
		case l.fits(b, first.bytes):
			l.take(b, first.bytes)
			effects = append(effects, GrantEffect{ID: first.id, Ask: first.ask})
		case l.evictionsPending():
			return effects
		default:
			effects = append(effects, RefuseEffect{ID: first.id, Ask: first.ask})
		}
		b.waiting--
		l.queue = l.queue[1:]
	}
	return effects
}

func (l *Limiter) evictionsPending() bool {
	for _, b := range l.bodies {
		if b.evicted {
			return true
		}
	}
	return false
}
