// Package batcher lets callers that ask for the same thing at about the same
// time share one exchange.
//
// # Usage
//
//	rounds := batcher.New(20*time.Millisecond, confirm)
//	value, err := rounds.Do(ctx)
//
// A caller never shares an exchange that began before it asked, so an answer is
// at least as new as the question. One exchange runs at a time; the first caller
// of each runs it, so there is no goroutine to own.
package batcher

import (
	"context"
	"sync"
	"time"
)

// Batcher joins callers into rounds. It is safe for concurrent use.
type Batcher[T any] struct {
	run func(ctx context.Context) (T, error)
	gap time.Duration

	turn  chan struct{} // turn is held by the round that runs.
	began time.Time     // began is when the last round began; held with turn.

	mu   sync.Mutex
	next *round[T] // next is the round that has not begun.
}

type round[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// New returns a batcher whose rounds begin a gap apart at least. The exchange
// bounds its own time; it goes on when the caller that runs it has left.
func New[T any](gap time.Duration, run func(ctx context.Context) (T, error)) *Batcher[T] {
	return &Batcher[T]{run: run, gap: gap, turn: make(chan struct{}, 1)}
}

// Do returns the result of a round that began after the call, or the context's
// error.
func (b *Batcher[T]) Do(ctx context.Context) (T, error) {
	r, first := b.join()
	if first {
		b.lead(context.WithoutCancel(ctx), r)
	}
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// join returns the next round and whether the caller must run it.
func (b *Batcher[T]) join() (r *round[T], first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &round[T]{done: make(chan struct{})}
		first = true
	}
	return b.next, first
}

// lead runs a round once the one before has ended and the gap is over.
func (b *Batcher[T]) lead(ctx context.Context, r *round[T]) {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	time.Sleep(b.gap - time.Since(b.began))
	b.began = time.Now()
	b.mu.Lock()
	b.next = nil
	b.mu.Unlock()
	r.value, r.err = b.run(ctx)
	close(r.done)
}
