// Package journaler keeps a replica's vote, log and snapshot on disk in one
// bbolt file under the data folder. Every save is one synced transaction.
//
// # Usage
//
//	journal, err := journaler.Open(folder)
//	state, err := journal.Load()
//	err = journal.Save(effects) // synced on return
//
// A save that fails leaves the file as it was before; the caller must stop,
// since the replica can no longer keep its promises.
package journaler

import (
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
)

const (
	fileName    = "journal.db"
	lockTimeout = 2 * time.Second
	fileMode    = 0o600
	folderMode  = 0o700
)

// ErrDamaged means that the journal can not be read; remove the data folder
// and start the process again, so that it rejoins as a new replica.
var ErrDamaged = errors.New("the journal is damaged; remove the data folder and let the process rejoin as a new replica")

var (
	bucketState = []byte("state")
	bucketLog   = []byte("log")
	bucketSeen  = []byte("seen")

	keyVote     = []byte("vote")
	keySnapshot = []byte("snapshot")
	keyIdentity = []byte("identity")
)

// Journal is the durable state of one replica.
type Journal struct{ db *bbolt.DB }

// Open opens or creates the journal in a folder.
func Open(folder string) (*Journal, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrapf(err, "create the data folder; check the rights on %s", filepath.Dir(folder))
	}
	file := filepath.Join(folder, fileName)
	if err := checkSize(file); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "open the journal"), ErrDamaged)
	}
	j := &Journal{db: db}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketState, bucketLog, bucketSeen} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	return j, errors.Wrap(err, "prepare the journal; check that the disk has room")
}

// checkSize finds a file that was cut short before its missing pages are
// touched: the newest sound meta page tells how long the file must be.
func checkSize(file string) error {
	info, err := os.Stat(file)
	if err != nil {
		return nil
	}
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return errors.Mark(errors.Wrap(err, "open the journal"), ErrDamaged)
	}
	defer func() { _ = db.Close() }()
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() <= info.Size() {
			return nil
		}
		return errors.Mark(errors.Newf("the journal is cut short: %d of %d bytes", info.Size(), tx.Size()), ErrDamaged)
	})
}

// Close releases the file.
func (j *Journal) Close() error { return errors.Wrap(j.db.Close(), "close the journal") }

// Identity returns the replica's identity, empty on a new disk.
func (j *Journal) Identity() string {
	var identity string
	_ = j.db.View(func(tx *bbolt.Tx) error {
		identity = string(tx.Bucket(bucketState).Get(keyIdentity))
		return nil
	})
	return identity
}

// Found gives a new disk its identity and first snapshot.
func (j *Journal) Found(identity string, snapshot messenger.Snapshot) error {
	return j.update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(bucketState).Put(keyIdentity, []byte(identity)); err != nil {
			return err
		}
		return putJSON(tx.Bucket(bucketState), keySnapshot, snapshot)
	})
}

// NoteSeen remembers that a replica was heard; it is synced on return.
func (j *Journal) NoteSeen(replica string) error {
	if j.Seen(replica) {
		return nil
	}
	return j.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketSeen).Put([]byte(replica), []byte{1}) })
}

// Seen reports whether a replica was ever heard.
func (j *Journal) Seen(replica string) bool {
	seen := false
	_ = j.db.View(func(tx *bbolt.Tx) error {
		seen = tx.Bucket(bucketSeen).Get([]byte(replica)) != nil
		return nil
	})
	return seen
}

// Load returns the durable state.
func (j *Journal) Load() (state replicator.State, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = errors.Mark(errors.Newf("read the journal: %v", fault), ErrDamaged)
		}
	}()
	err = j.db.View(func(tx *bbolt.Tx) error {
		if err := getJSON(tx.Bucket(bucketState), keyVote, &state.Vote); err != nil {
			return err
		}
		if err := getJSON(tx.Bucket(bucketState), keySnapshot, &state.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(bucketLog).ForEach(func(_, value []byte) error {
			var entry messenger.Entry
			if err := json.Unmarshal(value, &entry); err != nil {
				return err
			}
			if entry.Index > state.Snapshot.Index {
				state.Entries = append(state.Entries, entry)
			}
			return nil
		})
	})
	if err == nil {
		err = checkLog(state)
	}
	return state, markDamaged(err)
}

func markDamaged(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, ErrDamaged)
}

// checkLog checks that the entries follow the snapshot without a gap.
func checkLog(state replicator.State) error {
	for i, entry := range state.Entries {
		if entry.Index != state.Snapshot.Index+1+i {
			return errors.Newf("entry %d stands where %d is due", entry.Index, state.Snapshot.Index+1+i)
		}
	}
	return nil
}

// Save writes the effects of one or more updates in one synced transaction.
func (j *Journal) Save(effects []replicator.SaveEffect) error {
	return j.update(func(tx *bbolt.Tx) error {
		for _, effect := range effects {
			if err := save(tx, effect); err != nil {
				return err
			}
		}
		return nil
	})
}

func (j *Journal) update(change func(tx *bbolt.Tx) error) error {
	return errors.Wrap(j.db.Update(change), "write the journal; check that the disk has room and is sound")
}

func save(tx *bbolt.Tx, effect replicator.SaveEffect) error {
	if effect.Vote != nil {
		if err := putJSON(tx.Bucket(bucketState), keyVote, effect.Vote); err != nil {
			return err
		}
	}
	if effect.Snapshot != nil {
		if err := saveSnapshot(tx, *effect.Snapshot, effect.Reset); err != nil {
			return err
		}
	}
	return saveEntries(tx.Bucket(bucketLog), effect.Entries)
}

func saveSnapshot(tx *bbolt.Tx, snapshot messenger.Snapshot, reset bool) error {
	if err := putJSON(tx.Bucket(bucketState), keySnapshot, snapshot); err != nil {
		return err
	}
	last := snapshot.Index
	if reset {
		last = -1
	}
	return deleteRange(tx.Bucket(bucketLog), 0, last)
}

// saveEntries replaces everything at or behind the first entry.
func saveEntries(log *bbolt.Bucket, entries []messenger.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteRange(log, entries[0].Index, -1); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putJSON(log, indexKey(entry.Index), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteRange removes the entries from one index to another; a negative end
// means all that follow.
func deleteRange(log *bbolt.Bucket, from, to int) error {
	var keys [][]byte
	cursor := log.Cursor()
	for key, _ := cursor.Seek(indexKey(from)); key != nil; key, _ = cursor.Next() {
		if to >= 0 && int(binary.BigEndian.Uint64(key)) > to {
			break
		}
		keys = append(keys, slices.Clone(key))
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index int) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(index))
}

func putJSON(bucket *bbolt.Bucket, key []byte, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, data)
}

func getJSON(bucket *bbolt.Bucket, key []byte, out any) error {
	data := bucket.Get(key)
	if data == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
