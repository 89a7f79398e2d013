// Package batcher coalesces concurrent calls of the same operation into batches, so
// that callers that arrive at about the same time share one result.
//
// # Usage
//
//	confirmations := batcher.New(20*time.Millisecond, confirm)
//	value, err := confirmations.Do(ctx)
//
// A caller never joins a batch whose operation started before the call, so a result
// is never older than the call. One operation runs at a time. The first caller of
// each batch runs it, so the package needs no background goroutine.
package batcher

import (
	"context"
	"sync"
	"time"
)

// Batcher groups callers into batches. It is safe for concurrent use.
type Batcher[T any] struct {
	run      func(ctx context.Context) (T, error)
	interval time.Duration

	running   chan struct{} // running is a semaphore held by the batch that runs.
	lastStart time.Time     // lastStart is when the last operation started; guarded by running.

	mu   sync.Mutex
	next *batch[T] // next is the batch that callers can still join; nil if there is none.
}

// batch is one execution of the operation and its result, which is valid once done
// is closed.
type batch[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// New returns a Batcher that starts operations at least interval apart. The operation
// run must enforce its own timeout: its context is not cancelled when the caller that
// runs it gives up.
func New[T any](interval time.Duration, run func(ctx context.Context) (T, error)) *Batcher[T] {
	return &Batcher[T]{run: run, interval: interval, running: make(chan struct{}, 1)}
}

// Do returns the result of an operation that started after the call. It returns the
// error of the operation, or of ctx if that ends first; the caller that runs the
// operation waits for its end.
func (b *Batcher[T]) Do(ctx context.Context) (T, error) {
	current, mustRun := b.join()
	if mustRun {
		b.execute(context.WithoutCancel(ctx), current)
	}
	select {
	case <-current.done:
		return current.value, current.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// join returns the next batch and whether the caller must run it.
func (b *Batcher[T]) join() (current *batch[T], mustRun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &batch[T]{done: make(chan struct{})}
		mustRun = true
	}
	return b.next, mustRun
}

// execute runs a batch once the previous one has ended and the interval has passed.
// It closes the batch to new callers before the operation starts.
func (b *Batcher[T]) execute(ctx context.Context, current *batch[T]) {
	b.running <- struct{}{}
	defer func() { <-b.running }()
	time.Sleep(b.interval - time.Since(b.lastStart))
	b.lastStart = time.Now()
	b.mu.Lock()
	b.next = nil
	b.mu.Unlock()
	current.value, current.err = b.run(ctx)
	close(current.done)
}
