package runner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitingRole is a role whose drain waits for another one's to begin.
type waitingRole struct{ begun, other chan struct{} }

func (r waitingRole) Drain(ctx context.Context) {
	close(r.begun)
	select {
	case <-r.other:
	case <-ctx.Done():
	}
}

func (r waitingRole) Open() int { return 0 }

// Guards against an entry that takes requests until its process ends, because the stop
// first waits for another role of the process.
func TestAllRolesOfAProcessDrainAtOnce(t *testing.T) {
	a, b := make(chan struct{}), make(chan struct{})
	p := &process{drainers: []drainer{waitingRole{a, b}, waitingRole{b, a}}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	p.drain(ctx)
	assert.NilError(t, ctx.Err(), "a role waited for the other one until the time was up")
}
