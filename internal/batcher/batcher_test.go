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
	gap  = 20 * time.Millisecond
	trip = 5 * time.Millisecond
)

func TestManyCallersShareFewRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rounds := 0
		b := New(gap, func(context.Context) (int, error) {
			rounds++
			time.Sleep(trip)
			return rounds, nil
		})
		ended := make(chan error, 400)
		for i := range 400 {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / 400)
				_, err := b.Do(t.Context())
				ended <- err
			}()
		}
		for range 400 {
			assert.NilError(t, <-ended)
		}
		assert.Assert(t, rounds <= int(time.Second/gap)+2, "%d rounds", rounds)
	})
}

// TestNoCallerSharesARoundThatBeganBeforeIt is what confirmations rest on.
func TestNoCallerSharesARoundThatBeganBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(0, func(context.Context) (time.Time, error) {
			began := time.Now()
			time.Sleep(trip)
			return began, nil
		})
		ended := make(chan bool, 100)
		for i := range 100 {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				asked := time.Now()
				began, err := b.Do(t.Context())
				ended <- err == nil && !began.Before(asked)
			}()
		}
		for range 100 {
			assert.Assert(t, <-ended)
		}
	})
}

func TestCallerThatLeavesEndsNoRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := errors.New("failed")
		var seen atomic.Bool
		b := New(0, func(ctx context.Context) (int, error) {
			time.Sleep(trip)
			seen.Store(ctx.Err() == nil)
			return 0, failed
		})
		ctx, cancel := context.WithTimeout(t.Context(), trip/5)
		defer cancel()
		first := make(chan error, 1)
		go func() {
			_, err := b.Do(ctx)
			first <- err
		}()
		_, err := b.Do(t.Context())
		assert.Assert(t, errors.Is(err, failed))
		assert.Assert(t, seen.Load())
		<-first
	})
}
