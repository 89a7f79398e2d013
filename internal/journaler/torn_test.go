package journaler

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// moment is the journal after a call has returned: its file and what it gives.
type moment struct {
	file     []byte
	state    replicator.PersistentState
	identity string
}

// history returns the moments of a short history: a new file, the founding, votes, entries
// on several pages, entries that replace others, snapshots, and a restart.
func history(t *testing.T) []moment {
	folder := t.TempDir()
	j := open(t, folder)
	large := entries(2, 3, 8)
	for i := range large {
		large[i].Data = bytes.Repeat([]byte{byte(i)}, 1500)
	}
	steps := []func() error{
		func() error { return nil },
		func() error { return j.Found("c1@a", messenger.Snapshot{Voters: []string{"c1@a"}}) },
		func() error {
			return j.Save([]replicator.SaveEffect{{Vote: &messenger.VoteState{Term: 1, Vote: "c1@a"}}})
		},
		func() error { return j.Save([]replicator.SaveEffect{{Entries: entries(1, 1, 4)}}) },
		func() error { return j.Save([]replicator.SaveEffect{{Entries: large}}) },
		func() error { return j.NoteSeen("c2@b") },
		func() error {
			return j.Save([]replicator.SaveEffect{{Snapshot: &messenger.Snapshot{Index: 5, Term: 2}}})
		},
		func() error { _ = j.Close(); j = open(t, folder); return nil },
		func() error {
			return j.Save([]replicator.SaveEffect{{Vote: &messenger.VoteState{Term: 3, Vote: "c2@b"}}, {Entries: entries(3, 7, 9)}})
		},
		func() error {
			return j.Save([]replicator.SaveEffect{{Snapshot: &messenger.Snapshot{Index: 20, Term: 4}, Reset: true}})
		},
	}
	var moments []moment
	for _, step := range steps {
		assert.NilError(t, step())
		state, err := j.Load()
		assert.NilError(t, err)
		file, err := os.ReadFile(filepath.Join(folder, fileName))
		assert.NilError(t, err)
		moments = append(moments, moment{file, state, j.Identity()})
	}
	return moments
}

// write is one write to the file: a page at a time in their order, and the meta page last,
// each group synced, as the library does it.
type write struct {
	at   int
	data []byte
}

// writes returns the writes that lead from one moment to the next.
func writes(before, after []byte) []write {
	page := os.Getpagesize()
	var metas, pages []write
	for at := 0; at < len(after); at += page {
		data := after[at:min(at+page, len(after))]
		if at < len(before) && bytes.Equal(before[at:min(at+page, len(before))], data) {
			continue
		}
		if at < metaPages*page {
			metas = append(metas, write{at, data})
		} else {
			pages = append(pages, write{at, data})
		}
	}
	return append(pages, metas...)
}

// cuts returns the numbers of bytes after which a write is cut: each byte of a meta page's
// fields, and some of other pages.
func (w write) cuts() []int {
	cuts := []int{0, 1, len(w.data) / 2, len(w.data) - 1}
	if w.at < metaPages*os.Getpagesize() {
		for n := range metaBytes + 1 {
			cuts = append(cuts, n)
		}
	}
	return cuts
}

// writeJournal puts a journal's file into a new folder.
func writeJournal(t *testing.T, folder, name string, file []byte) string {
	folder = filepath.Join(folder, name)
	assert.NilError(t, os.MkdirAll(folder, folderMode))
	assert.NilError(t, os.WriteFile(filepath.Join(folder, fileName), file, fileMode))
	return folder
}

// TestWriteCutByAPowerLossLosesNothingAcknowledged cuts each write of a short history at
// many places, as a loss of power does. The journal must open with what was acknowledged, or
// with the save that was under way. It guards against a disk that counts as lost, or against
// a vote that is forgotten, because one meta page was written in part.
func TestWriteCutByAPowerLossLosesNothingAcknowledged(t *testing.T) {
	moments := history(t)
	folder := t.TempDir()
	played := 0
	for i := 1; i < len(moments); i++ {
		acknowledged, next := moments[i-1], moments[i]
		file := slices.Clone(acknowledged.file)
		if grown := len(next.file) - len(file); grown > 0 {
			file = append(file, make([]byte, grown)...)
		}
		for k, w := range writes(acknowledged.file, next.file) {
			for _, cut := range w.cuts() {
				torn := slices.Clone(file)
				copy(torn[w.at:], w.data[:cut])
				name := fmt.Sprintf("%d-%d-%d", i, k, cut)
				state, identity, err := reopened(writeJournal(t, folder, name, torn))
				assert.NilError(t, err, "save %d, write %d at %d cut after %d bytes", i, k, w.at, cut)
				old := reflect.DeepEqual(state, acknowledged.state) && identity == acknowledged.identity
				whole := reflect.DeepEqual(state, next.state) && identity == next.identity
				assert.Assert(t, old || whole, "save %d, write %d at %d cut after %d bytes gives another history: vote %+v, %d entries", i, k, w.at, cut, state.Vote, len(state.Entries))
				played++
			}
			copy(file[w.at:], w.data)
		}
	}
	t.Logf("%d cut writes of %d saves", played, len(moments)-1)
}

// TestFileCutAtEachWriteIsWholeOrReported truncates the file where each write of a short
// history begins, within it and where it ends, down to nothing. It guards against a shorter
// history that is taken for whole, and against a process that keeps its identity without the
// votes that it gave.
func TestFileCutAtEachWriteIsWholeOrReported(t *testing.T) {
	moments := history(t)
	folder := t.TempDir()
	reported := 0
	for i := 1; i < len(moments); i++ {
		saved := moments[i]
		sizes := []int{0, metaBytes, os.Getpagesize() + metaBytes}
		for _, w := range writes(moments[i-1].file, saved.file) {
			sizes = append(sizes, w.at, w.at+len(w.data)/2, w.at+len(w.data))
		}
		for _, size := range sizes {
			cutFolder := writeJournal(t, folder, fmt.Sprintf("%d-%d", i, size), saved.file[:size])
			state, identity, err := reopened(cutFolder)
			if err != nil {
				reported++
				assert.Assert(t, errors.Is(err, ErrDamaged), "save %d cut to %d bytes: %v", i, size, err)
				assert.Assert(t, strings.Contains(err.Error(), "remove the data folder"), "no remedy: %v", err)
				assert.NilError(t, os.RemoveAll(cutFolder))
				_, identity, err = reopened(cutFolder)
				assert.NilError(t, err)
				assert.Equal(t, identity, "", "an emptied folder kept the identity")
				continue
			}
			assert.Assert(t, reflect.DeepEqual(state, saved.state) && identity == saved.identity, "save %d cut to %d bytes gives another history", i, size)
		}
	}
	assert.Assert(t, reported > 0)
}

// TestNewFileAppearsWhole guards against a first start that was cut by a power loss and
// leaves a part of a file, which is then taken for a damaged journal.
func TestNewFileAppearsWhole(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, newFileName), []byte("part of a file"), fileMode))
	_, identity, err := reopened(folder)
	assert.NilError(t, err)
	assert.Equal(t, identity, "")
	_, err = os.Stat(filepath.Join(folder, newFileName))
	assert.Assert(t, os.IsNotExist(err))
}

// TestJournalInUseIsNotDamaged guards against the advice to remove the data folder of a
// process that runs.
func TestJournalInUseIsNotDamaged(t *testing.T) {
	folder := t.TempDir()
	_ = open(t, folder)
	_, err := Open(folder)
	assert.ErrorContains(t, err, "another process uses the data folder")
	assert.Assert(t, !errors.Is(err, ErrDamaged), "%v", err)
}

// TestDamagedMetaPageIsNotTakenForACutWrite guards against an older history: the newest meta
// page was whole when its save was acknowledged, and is damaged by more than one bit since.
func TestDamagedMetaPageIsNotTakenForACutWrite(t *testing.T) {
	moments := history(t)
	last := moments[len(moments)-1].file
	folder := t.TempDir()
	page := os.Getpagesize()
	for newest := range metaPages {
		for _, length := range []int{2, 8, metaFields} {
			for at := pageHeader; at+length <= metaChecksumAt; at += 4 {
				file := slices.Clone(last)
				for i := range length {
					file[newest*page+at+i] ^= 0x5a
				}
				state, _, err := reopened(writeJournal(t, folder, fmt.Sprintf("%d-%d-%d", newest, at, length), file))
				assert.Assert(t, err == nil || errors.Is(err, ErrDamaged), "%v", err)
				assert.Assert(t, err != nil || reflect.DeepEqual(state, moments[len(moments)-1].state), "%d bytes at %d of page %d give another history", length, at, newest)
			}
		}
	}
}
