package journaler

import (
	"bytes"
	"encoding/json"
	"os"
	"runtime/debug"

	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
)

// firstPrepared is the last transaction of a file without any bucket.
const firstPrepared = 1

// checkFile finds damage before the file is used: all records are read, since the
// library fails in any way when it follows a damaged page. Its own check is of no
// use here: it runs on a goroutine of its own, where a fault ends the process.
func checkFile(file string) (err error) {
	info, err := os.Stat(file)
	if err != nil {
		return errors.Wrap(err, "read the journal")
	}
	defer recoverFault(&err)()
	if err := checkMeta(file); err != nil {
		return err
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

// markDamaged makes an error ErrDamaged, with the remedy in its text.
func markDamaged(err error) error {
	if err == nil || errors.Is(err, ErrDamaged) {
		return err
	}
	return errors.Mark(errors.Wrap(err, ErrDamaged.Error()), ErrDamaged)
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
