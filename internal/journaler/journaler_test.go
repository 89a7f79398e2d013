package journaler

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func entries(term int, from, to int) []messenger.Entry {
	var list []messenger.Entry
	for i := from; i <= to; i++ {
		list = append(list, messenger.Entry{Index: i, Term: term, Data: []byte("x")})
	}
	return list
}

func open(t *testing.T, folder string) *Journal {
	j, err := Open(folder)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = j.Close() })
	return j
}

func TestSavedStateIsFoundAgain(t *testing.T) {
	folder := t.TempDir()
	j := open(t, folder)
	assert.NilError(t, j.Found("c1@a", messenger.Snapshot{Voters: []string{"c1@a"}}))
	assert.NilError(t, j.Save([]replicator.SaveEffect{
		{Vote: &messenger.VoteState{Term: 2, Vote: "c1@a"}},
		{Entries: entries(1, 1, 5)},
		{Entries: entries(2, 4, 6)},
	}))
	assert.NilError(t, j.Close())
	state, err := open(t, folder).Load()
	assert.NilError(t, err)
	assert.Equal(t, state.Vote.Term, 2)
	assert.Equal(t, len(state.Entries), 6)
	assert.Equal(t, state.Entries[3].Term, 2)
}

func TestSnapshotCutsTheLog(t *testing.T) {
	j := open(t, t.TempDir())
	assert.NilError(t, j.Save([]replicator.SaveEffect{{Entries: entries(1, 1, 9)}, {Snapshot: &messenger.Snapshot{Index: 6, Term: 1}}}))
	state, err := j.Load()
	assert.NilError(t, err)
	assert.Equal(t, len(state.Entries), 3)
	assert.NilError(t, j.Save([]replicator.SaveEffect{{Snapshot: &messenger.Snapshot{Index: 20, Term: 4}, Reset: true}}))
	state, err = j.Load()
	assert.NilError(t, err)
	assert.Equal(t, len(state.Entries), 0)
}

// TestTornTailIsFoundOut cuts the file short, as a crash in the middle of a
// write may leave it: the journal reports damage and never a shorter history.
// TestSnapshotEmptiesALogOfManyPages hangs where the end of the emptied log is
// looked for with the library's Last.
func TestSnapshotEmptiesALogOfManyPages(t *testing.T) {
	for _, reset := range []bool{false, true} {
		folder := t.TempDir()
		j := open(t, folder)
		assert.NilError(t, j.Found("c1@a", messenger.Snapshot{Voters: []string{"c1@a"}}))
		large := entries(1, 1, 60)
		for i := range large {
			large[i].Data = bytes.Repeat([]byte{byte(i)}, 3000)
		}
		assert.NilError(t, j.Save([]replicator.SaveEffect{{Entries: large}}))
		assert.NilError(t, j.Save([]replicator.SaveEffect{{Snapshot: &messenger.Snapshot{Index: 60, Term: 1}, Reset: reset}}))
		assert.NilError(t, j.Save([]replicator.SaveEffect{{Entries: entries(2, 61, 62)}}))
		assert.NilError(t, j.Close())
		state, err := open(t, folder).Load()
		assert.NilError(t, err)
		assert.Equal(t, state.Snapshot.Index, 60)
		assert.Equal(t, len(state.Entries), 2)
	}
}

func TestTornTailIsFoundOut(t *testing.T) {
	folder := t.TempDir()
	j := open(t, folder)
	for i := range 40 {
		assert.NilError(t, j.Save([]replicator.SaveEffect{{Entries: entries(1, 100*i+1, 100*i+100)}}))
	}
	assert.NilError(t, j.Close())
	file := filepath.Join(folder, fileName)
	info, err := os.Stat(file)
	assert.NilError(t, err)
	for _, part := range []int64{1, 2, 3} {
		assert.NilError(t, os.Truncate(file, info.Size()*(4-part)/4))
		damaged, err := Open(folder)
		if err == nil {
			var state replicator.PersistentState
			state, err = damaged.Load()
			assert.Assert(t, err != nil || len(state.Entries) == 4000, "a shorter history was taken for whole: %d entries", len(state.Entries))
			_ = damaged.Close()
		}
		assert.Assert(t, err == nil || errors.Is(err, ErrDamaged), "%v", err)
	}
}

func TestGapInTheLogIsDamage(t *testing.T) {
	j := open(t, t.TempDir())
	assert.NilError(t, j.Save([]replicator.SaveEffect{{Entries: entries(1, 1, 3)}, {Snapshot: &messenger.Snapshot{Index: 1}}}))
	assert.NilError(t, j.Save([]replicator.SaveEffect{{Entries: entries(1, 7, 8)}}))
	_, err := j.Load()
	assert.Assert(t, errors.Is(err, ErrDamaged))
}

func TestSaveOnAClosedDiskFails(t *testing.T) {
	j := open(t, t.TempDir())
	assert.NilError(t, j.Close())
	assert.Assert(t, j.Save([]replicator.SaveEffect{{Entries: entries(1, 1, 1)}}) != nil)
}

func TestSeenReplicasAreRemembered(t *testing.T) {
	folder := t.TempDir()
	j := open(t, folder)
	assert.NilError(t, j.NoteSeen("c2@b"))
	assert.NilError(t, j.Close())
	j = open(t, folder)
	assert.Assert(t, j.Seen("c2@b"))
	assert.Assert(t, !j.Seen("c3@c"))
}

func TestFullDiskIsToldApart(t *testing.T) {
	assert.Assert(t, isFull(errors.Wrap(syscall.ENOSPC, "write")))
	assert.Assert(t, isFull(fmt.Errorf("file resize error: %s", &os.PathError{Op: "truncate", Path: "journal.db", Err: syscall.ENOSPC})))
	assert.Assert(t, !isFull(syscall.EIO))
	assert.Assert(t, !isFull(nil))
}
