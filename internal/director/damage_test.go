package director

import (
	"os"
	"path/filepath"
	"testing"

	"papayaseam/internal/journaler"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestDamagedJournalNeverVotesAgain guards against a process that takes part under its former
// identity although its journal has no valid meta page, so that its votes are not known.
func TestDamagedJournalNeverVotesAgain(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	damaged := c.otherNode(c.leader())
	former := damaged.director.identity
	damaged.shutDown()
	files, err := filepath.Glob(filepath.Join(damaged.folder, "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 1)
	file, err := os.OpenFile(files[0], os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = file.WriteAt(make([]byte, 2*os.Getpagesize()), 0)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	_, err = New(Config{Address: damaged.address, Seeds: c.seeds, DataFolder: damaged.folder, ToleratedLosses: 1}, unresponsiveEndpoints{}, discardLogger())
	assert.Assert(t, errors.Is(err, journaler.ErrDamaged), "%v", err)
	assert.ErrorContains(t, err, "remove the data folder")
	damaged.restart(c.seeds, true)
	c.waitUntil("the process does not vote again", func() bool {
		voters := c.voters()
		return len(voters) == 3 && voters[2] == damaged.director.identity
	})
	assert.Assert(t, damaged.director.identity != former)
}
