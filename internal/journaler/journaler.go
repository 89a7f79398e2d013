// Package journaler keeps a replica's vote, log and snapshot on disk in one
// bbolt file under the data folder. Every save is one synced transaction.
//
// # Usage
//
//	journal, err := journaler.Open(folder)
//	state, err := journal.Load()
//	err = journal.Save(effects) // synced on return
//
// Every value carries a checksum and a tail record tells where the log ends, so
// that a flipped bit or a lost page is reported as damage on opening and never
// taken for a shorter or another history.
//
// A save that fails leaves the file as it was before; the caller must stop,
// since the replica can no longer keep its promises.
package journaler

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

const (
	fileName    = "journal.db"
	newFileName = "journal.new" // newFileName is the name of a file until it is prepared.
	lockTimeout = 2 * time.Second
	fileMode    = 0o600
	folderMode  = 0o700
)

// ErrDamaged means that the journal can not be read; remove the data folder
// and start the process again, so that it rejoins as a new replica.
var ErrDamaged = errors.New("the journal is damaged; remove the data folder and let the process rejoin as a new replica")

// ErrFull means that the disk had no room for a save, which left the journal as
// it was; free some room, and save again.
var ErrFull = errors.New("the disk has no room for the journal; free some")

var buckets = [][]byte{bucketState, bucketLog, bucketSeen}

var (
	bucketState = []byte("state")
	bucketLog   = []byte("log")
	bucketSeen  = []byte("seen")

	keyVote     = []byte("vote")
	keySnapshot = []byte("snapshot")
	keyIdentity = []byte("identity")
	keyFormat   = []byte("format")
	keyTail     = []byte("tail")
	keyBase     = []byte("base")
)

// Journal is the durable state of one replica.
type Journal struct {
	db   *bbolt.DB
	file *os.File // file is the same file, to read its meta pages.
}

// Open opens or creates the journal in a folder.
func Open(folder string) (*Journal, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrapf(err, "create the data folder; check the rights on %s", filepath.Dir(folder))
	}
	file := filepath.Join(folder, fileName)
	if _, err := os.Stat(file); os.IsNotExist(err) {
		if err := create(folder, file); err != nil {
			return nil, err
		}
	}
	if err := checkFile(file); err != nil {
		return nil, err
	}
	return openPrepared(file)
}

// create prepares a new file under another name, so that a first start that was cut leaves
// no part of a journal.
func create(folder, file string) error {
	fresh := filepath.Join(folder, newFileName)
	if err := os.RemoveAll(fresh); err != nil {
		return errors.Wrap(err, "remove a part of a journal")
	}
	j, err := openPrepared(fresh)
	if err != nil {
		return err
	}
	if err := j.Close(); err != nil {
		return err
	}
	if err := os.Rename(fresh, file); err != nil {
		return errors.Wrap(err, "name the new journal")
	}
	directory, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "sync the data folder")
	}
	defer func() { _ = directory.Close() }()
	return errors.Wrap(directory.Sync(), "sync the data folder")
}

// openPrepared opens a file for writing, and prepares it.
func openPrepared(file string) (*Journal, error) {
	db, err := openFile(file, false)
	if err != nil {
		return nil, err
	}
	j := &Journal{db: db}
	if j.file, err = os.Open(file); err == nil {
		err = j.prepare()
	}
	if err != nil {
		_ = j.Close()
		return nil, err
	}
	return j, nil
}

// openFile opens the file; the library panics on some damage and then keeps its
// lock until the process ends.
func openFile(file string, readOnly bool) (db *bbolt.DB, err error) {
	defer recoverFault(&err)()
	db, err = bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly})
	var system *os.PathError
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, errors.Wrap(err, "open the journal; another process uses the data folder, end it or give this one its own")
	case errors.As(err, &system):
		return nil, errors.Wrap(err, "open the journal; check the rights on the data folder")
	}
	return db, markDamaged(errors.Wrap(err, "open the journal"))
}

// prepare creates the buckets of a new file and seals the values of a file that
// was written before they had checksums.
func (j *Journal) prepare() error {
	return j.update(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return upgrade(tx)
	})
}

// Close releases the file.
func (j *Journal) Close() error {
	if j.file != nil {
		_ = j.file.Close()
	}
	return errors.Wrap(j.db.Close(), "close the journal")
}

// Identity returns the replica's identity, empty on a new disk.
func (j *Journal) Identity() string {
	var identity string
	_ = j.db.View(func(tx *bbolt.Tx) error {
		return getJSON(tx.Bucket(bucketState), keyIdentity, &identity)
	})
	return identity
}

// Found gives a new disk its identity and first snapshot.
func (j *Journal) Found(identity string, snapshot messenger.Snapshot) error {
	return j.update(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		if err := putJSON(state, keyIdentity, identity); err != nil {
			return err
		}
		if err := putJSON(state, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := putJSON(state, keyVote, messenger.VoteState{}); err != nil {
			return err
		}
		return saveTail(tx)
	})
}

// NoteSeen remembers that a replica was heard; it is synced on return.
func (j *Journal) NoteSeen(replica string) error {
	if j.Seen(replica) {
		return nil
	}
	return j.update(func(tx *bbolt.Tx) error {
		if err := putJSON(tx.Bucket(bucketSeen), []byte(replica), true); err != nil {
			return err
		}
		return saveTail(tx)
	})
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
func (j *Journal) Load() (state replicator.PersistentState, err error) {
	defer recoverFault(&err)()
	err = j.db.View(func(tx *bbolt.Tx) error {
		state, err = load(tx)
		return err
	})
	return state, markDamaged(err)
}

func load(tx *bbolt.Tx) (state replicator.PersistentState, err error) {
	if err := getJSON(tx.Bucket(bucketState), keyVote, &state.Vote); err != nil {
		return state, err
	}
	if err := getJSON(tx.Bucket(bucketState), keySnapshot, &state.Snapshot); err != nil {
		return state, err
	}
	err = tx.Bucket(bucketLog).ForEach(func(key, value []byte) error {
		var entry messenger.Entry
		if err := unseal(key, value, &entry); err != nil {
			return err
		}
		if entry.Index > state.Snapshot.Index {
			state.Entries = append(state.Entries, entry)
		}
		return nil
	})
	if err != nil {
		return state, err
	}
	return state, checkLog(state)
}

// Save writes the effects of one or more updates in one synced transaction.
func (j *Journal) Save(effects []replicator.SaveEffect) error {
	return j.update(func(tx *bbolt.Tx) error {
		for _, effect := range effects {
			if err := save(tx, effect); err != nil {
				return err
			}
		}
		return saveTail(tx)
	})
}

// update writes a change; the library panics on a damaged list of free pages.
func (j *Journal) update(change func(tx *bbolt.Tx) error) (err error) {
	defer recoverFault(&err)()
	err = j.db.Update(func(tx *bbolt.Tx) error {
		if err := change(tx); err != nil {
			return err
		}
		return j.saveBase(tx)
	})
	if isFull(err) {
		err = errors.Mark(err, ErrFull)
	}
	return errors.Wrap(err, "write the journal; check that the disk has room and is sound")
}

// isFull reports whether an error tells of a full disk; the library keeps the
// text of some errors of the system, but not their kind.
func isFull(err error) bool {
	return err != nil && (errors.Is(err, syscall.ENOSPC) || strings.Contains(err.Error(), syscall.ENOSPC.Error()))
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
