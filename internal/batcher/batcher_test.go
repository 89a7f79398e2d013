package batcher

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const (
	interval      = 20 * time.Millisecond
	operationTime = 5 * time.Millisecond
)

// TestManyCallersShareFewBatches guards against an operation per caller: operations
// must start at least interval apart.
func TestManyCallersShareFewBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		operations := 0
		b := New(interval, func(context.Context) (int, error) {
			operations++
			time.Sleep(operationTime)
			return operations, nil
		})
		results := make(chan error, 400)
		for i := range 400 {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / 400)
				_, err := b.Do(t.Context())
				results <- err
			}()
		}
		for range 400 {
			assert.NilError(t, <-results)
		}
		assert.Assert(t, operations <= int(time.Second/interval)+2, "%d operations", operations)
	})
}

// TestCallerNeverJoinsStartedBatch guards against a stale result: a leader that
// confirms its leadership must not use a confirmation that started before the call.
func TestCallerNeverJoinsStartedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(0, func(context.Context) (time.Time, error) {
			startedAt := time.Now()
			time.Sleep(operationTime)
			return startedAt, nil
		})
		results := make(chan bool, 100)
		for i := range 100 {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				calledAt := time.Now()
				startedAt, err := b.Do(t.Context())
				results <- err == nil && !startedAt.Before(calledAt)
			}()
		}
		for range 100 {
			assert.Assert(t, <-results)
		}
	})
}

// TestCancelledCallerDoesNotCancelBatch guards against a caller that times out
// cancelling the operation for the other callers of its batch.
func TestCancelledCallerDoesNotCancelBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errOperation := errors.New("failed")
		var contextAlive atomic.Bool
		b := New(0, func(ctx context.Context) (int, error) {
			time.Sleep(operationTime)
			contextAlive.Store(ctx.Err() == nil)
			return 0, errOperation
		})
		ctx, cancel := context.WithTimeout(t.Context(), operationTime/5)
		defer cancel()
		firstResult := make(chan error, 1)
		go func() {
			_, err := b.Do(ctx)
			firstResult <- err
		}()
		_, err := b.Do(t.Context())
		assert.Assert(t, errors.Is(err, errOperation))
		assert.Assert(t, contextAlive.Load())
		<-firstResult
	})
}
