package director

import (
	"context"
	"sync/atomic"
	"testing"

	"papayaseam/internal/journaler"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// fullDisk is a store whose saves fail with journaler.ErrFull while full is set.
type fullDisk struct {
	store
	full        atomic.Bool
	failedSaves atomic.Int64
}

func (f *fullDisk) Save(effects []replicator.SaveEffect) error {
	if f.full.Load() {
		f.failedSaves.Add(1)
		return errors.Wrap(journaler.ErrFull, "write the journal")
	}
	return f.store.Save(effects)
}

// TestReplicaRecoversFromFullDisk guards against a process that stops for good when
// its disk is full, or that doesn't catch up once there is room again.
func TestReplicaRecoversFromFullDisk(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	c.declare(first, "7 seven")
	disk := &fullDisk{}
	first.shutDown()
	first.listener = listen(t, first.address)
	first.wrap = func(s store) store {
		disk.store = s
		return disk
	}
	first.start(c.seeds, false)
	c.waitUntil("the restarted process does not serve the configuration", func() bool {
		document, err := first.director.NewestConfiguration(context.Background())
		return err == nil && document == "7 seven"
	})
	disk.full.Store(true)
	c.declare(c.otherNode(first), "8 eight")
	c.waitUntil("no save failed", func() bool { return disk.failedSaves.Load() > 0 })
	c.declare(c.otherNode(first), "9 nine")
	disk.full.Store(false)
	c.waitUntil("the process does not catch up after the disk has room again", func() bool {
		first.director.mu.Lock()
		defer first.director.mu.Unlock()
		version, _ := first.director.state.Document()
		return version == 9
	})
	document, err := first.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "9 nine")
}
