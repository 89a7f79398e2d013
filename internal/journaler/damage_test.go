package journaler

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	"gotest.tools/v3/assert"
)

const (
	flips    = 1500
	flipSeed = 20261204
)

// TestFlippedBitIsFoundOut flips single bits all over the file, one at a time:
// the journal reports damage or gives exactly what was saved, and never panics.
func TestFlippedBitIsFoundOut(t *testing.T) {
	folder := t.TempDir()
	j := open(t, folder)
	assert.NilError(t, j.Found("c1@a", messenger.Snapshot{Voters: []string{"c1@a"}}))
	for i := range 6 {
		assert.NilError(t, j.Save([]replicator.SaveEffect{{Vote: &messenger.VoteState{Term: i + 1, Vote: "c1@a"}, Entries: entries(i+1, 30*i+1, 30*i+30)}}))
	}
	saved, err := j.Load()
	assert.NilError(t, err)
	assert.NilError(t, j.Close())
	sound, err := os.ReadFile(filepath.Join(folder, fileName))
	assert.NilError(t, err)
	rng := rand.New(rand.NewPCG(flipSeed, 1))
	found := 0
	for _, bit := range bitsToFlip(rng, len(sound)) {
		sound[bit/8] ^= 1 << (bit % 8)
		assert.NilError(t, os.WriteFile(filepath.Join(folder, fileName), sound, fileMode))
		sound[bit/8] ^= 1 << (bit % 8)
		state, identity, err := reopened(folder)
		if err != nil {
			found++
			assert.Assert(t, errors.Is(err, ErrDamaged), "bit %d: %v", bit, err)
			folder = t.TempDir()
			continue
		}
		assert.Assert(t, reflect.DeepEqual(state, saved), "bit %d of byte %d gives another history of %d entries, vote %+v", bit%8, bit/8, len(state.Entries), state.Vote)
		assert.Equal(t, identity, "c1@a", "bit %d of byte %d", bit%8, bit/8)
	}
	t.Logf("%d of %d flipped bits of %d bytes were reported, the others changed nothing that counts", found, flips, len(sound))
}

// bitsToFlip returns one bit of each byte of the meta pages, and others from
// anywhere in the file.
func bitsToFlip(rng *rand.Rand, size int) []int {
	var bits []int
	for page := range metaPages {
		for i := range metaBytes {
			bits = append(bits, 8*(page*os.Getpagesize()+i)+rng.IntN(8))
		}
	}
	for len(bits) < flips {
		bits = append(bits, rng.IntN(8*size))
	}
	return bits
}

// reopened loads the journal of a folder and closes it again.
func reopened(folder string) (state replicator.PersistentState, identity string, err error) {
	j, err := Open(folder)
	if err != nil {
		return state, "", err
	}
	defer func() { _ = j.Close() }()
	state, err = j.Load()
	return state, j.Identity(), err
}

// TestFileWithoutChecksumsIsTakenOver opens a file as it was written before the
// values had checksums.
func TestFileWithoutChecksumsIsTakenOver(t *testing.T) {
	folder := t.TempDir()
	db, err := bbolt.Open(filepath.Join(folder, fileName), fileMode, nil)
	assert.NilError(t, err)
	records := map[string]map[string]string{
		"state": {"identity": "c1@a", "snapshot": `{"index":3,"term":1}`, "vote": `{"term":2,"vote":"c1@a"}`},
		"log":   {string(indexKey(4)): `{"index":4,"term":2}`},
		"seen":  {"c2@b": "\x01"},
	}
	assert.NilError(t, db.Update(func(tx *bbolt.Tx) error {
		for name, values := range records {
			bucket, err := tx.CreateBucket([]byte(name))
			assert.NilError(t, err)
			for key, value := range values {
				assert.NilError(t, bucket.Put([]byte(key), []byte(value)))
			}
		}
		return nil
	}))
	assert.NilError(t, db.Close())
	for range 2 {
		j := open(t, folder)
		state, err := j.Load()
		assert.NilError(t, err)
		assert.Equal(t, j.Identity(), "c1@a")
		assert.Equal(t, state.Vote.Term, 2)
		assert.Equal(t, len(state.Entries), 1)
		assert.Assert(t, j.Seen("c2@b"))
		assert.NilError(t, j.Close())
	}
}
