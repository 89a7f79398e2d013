package journaler

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"

	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
)

// The layout of a bbolt file: two meta pages at its start, each with a checksum
// behind the fields that it covers.
const (
	metaPages      = 2
	pageHeader     = 16 // bytes before the fields of a meta page
	metaFields     = 56 // bytes that the checksum covers
	firstPrepared  = 1  // the last transaction of a file without any bucket
	pageSizeAt     = pageHeader + 8
	metaChecksumAt = pageHeader + metaFields
	metaBytes      = metaChecksumAt + 8
)

// checkFile finds damage before the file is used: all records are read, since the
// library fails in any way when it follows a damaged page. Its own check is of no
// use here: it runs on a goroutine of its own, where a fault ends the process.
func checkFile(file string) (err error) {
	info, err := os.Stat(file)
	if err != nil || info.Size() == 0 {
		return nil
	}
	defer recoverFault(&err)()
	if err := checkMeta(file); err != nil {
		return markDamaged(err)
	}
	db, err := openFile(file, true)
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	return markDamaged(db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return errors.Newf("the journal is cut short: %d of %d bytes", info.Size(), tx.Size())
		}
		return checkBuckets(tx)
	}))
}

// checkMeta checks both meta pages, since the library goes back to the older one
// where the newer one is damaged, and with it to an older history.
func checkMeta(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open the journal")
	}
	defer func() { _ = f.Close() }()
	pageSize := 0
	for page := range metaPages {
		meta := make([]byte, metaBytes)
		if _, err := f.ReadAt(meta, int64(page*pageSize)); err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read the journal")
		}
		digest := fnv.New64a()
		_, _ = digest.Write(meta[pageHeader:metaChecksumAt])
		if binary.NativeEndian.Uint64(meta[metaChecksumAt:]) != digest.Sum64() {
			return errors.Newf("meta page %d does not match its checksum", page)
		}
		pageSize = int(binary.NativeEndian.Uint32(meta[pageSizeAt:]))
	}
	return nil
}

// checkBuckets checks that all records are there and match their checksums.
func checkBuckets(tx *bbolt.Tx) error {
	present := 0
	for _, name := range buckets {
		if tx.Bucket(name) != nil {
			present++
		}
	}
	switch {
	case present == 0 && tx.ID() <= firstPrepared:
		return nil
	case present < len(buckets):
		return errors.Newf("%d of %d buckets are there", present, len(buckets))
	case tx.Bucket(bucketState).Get(keyFormat) == nil:
		return checkUnsealed(tx)
	}
	return checkSealed(tx)
}

// checkUnsealed checks a file of the format without checksums.
func checkUnsealed(tx *bbolt.Tx) error {
	for _, key := range [][]byte{keyVote, keySnapshot} {
		if value := tx.Bucket(bucketState).Get(key); value != nil && !json.Valid(value) {
			return errors.Newf("the value of %q is no JSON", key)
		}
	}
	return nil
}

func checkSealed(tx *bbolt.Tx) error {
	state := tx.Bucket(bucketState)
	var format int
	if err := getJSON(state, keyFormat, &format); err != nil {
		return err
	}
	if format != formatSealed {
		return errors.Newf("the journal's format %d is not known to this version", format)
	}
	if err := checkComplete(state); err != nil {
		return err
	}
	for _, name := range buckets {
		if err := checkSeals(tx.Bucket(name)); err != nil {
			return err
		}
	}
	return checkTail(tx)
}

// checkComplete checks that a founded replica has all its records, and one that
// is not yet founded has none.
func checkComplete(state *bbolt.Bucket) error {
	founded := state.Get(keyIdentity) != nil
	for _, key := range [][]byte{keySnapshot, keyVote} {
		if (state.Get(key) != nil) != founded {
			return errors.Newf("the record %q does not go with the identity", key)
		}
	}
	return nil
}

// checkSeals checks all values and the order of their keys, without which a
// damaged page that refers to itself is read for ever.
func checkSeals(bucket *bbolt.Bucket) error {
	var last []byte
	return bucket.ForEach(func(key, value []byte) error {
		if last != nil && bytes.Compare(last, key) >= 0 {
			return errors.Newf("the key %q comes after %q", shown(key), shown(last))
		}
		last = key
		var content json.RawMessage
		return unseal(key, value, &content)
	})
}

// checkTail checks that nothing is missed at the ends.
func checkTail(tx *bbolt.Tx) error {
	var last tail
	if tx.Bucket(bucketState).Get(keyTail) == nil {
		return errors.New("the tail record is missed")
	}
	if err := getJSON(tx.Bucket(bucketState), keyTail, &last); err != nil {
		return err
	}
	now, err := ends(tx)
	if err != nil {
		return err
	}
	if now != last {
		return errors.Newf("the journal ends at %+v where %+v was saved", now, last)
	}
	return nil
}

// checkLog checks that the entries follow the snapshot without a gap.
func checkLog(state replicator.PersistentState) error {
	for i, entry := range state.Entries {
		if entry.Index != state.Snapshot.Index+1+i {
			return errors.Newf("entry %d stands where %d is due", entry.Index, state.Snapshot.Index+1+i)
		}
	}
	return nil
}

func markDamaged(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, ErrDamaged)
}

// recoverFault turns a panic, or a fault on a page that the file lacks, into
// ErrDamaged; the returned function is to be deferred.
func recoverFault(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if fault := recover(); fault != nil {
			*err = markDamaged(errors.Newf("read the journal: %v", fault))
		}
	}
}
