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

// fullDisk is a store that has no room while it is told so.
type fullDisk struct {
	store
	full    atomic.Bool
	refused atomic.Int64
}

func (f *fullDisk) Save(effects []replicator.SaveEffect) error {
	if f.full.Load() {
		f.refused.Add(1)
		return errors.Wrap(journaler.ErrFull, "write the journal")
	}
	return f.store.Save(effects)
}

func TestLeaderWithAFullDiskRestsAndComesBack(t *testing.T) {
	c := newCore(t)
	first := c.awaitLeader()
	c.declare(first, "7 seven")
	disk := &fullDisk{}
	first.end()
	first.listener = listen(t, first.address)
	first.wrap = func(s store) store {
		disk.store = s
		return disk
	}
	first.start(c.seeds, false)
	c.await("the wrapped process does not follow", func() bool {
		document, err := first.director.NewestConfiguration(context.Background())
		return err == nil && document == "7 seven"
	})
	disk.full.Store(true)
	c.declare(c.other(first), "8 eight")
	c.await("no save was refused", func() bool { return disk.refused.Load() > 0 })
	c.declare(c.other(first), "9 nine")
	disk.full.Store(false)
	c.await("the process does not come back", func() bool {
		first.director.mu.Lock()
		defer first.director.mu.Unlock()
		version, _ := first.director.state.Document()
		return version == 9
	})
	document, err := first.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "9 nine")
}
