package journaler

import (
	"encoding/binary"
	"encoding/json"

	"papayaseam/internal/messenger"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
)

const (
	formatSealed  = 2
	checksumBytes = 8
	shownBytes    = 32
)

// tail tells where the log ends and how many replicas were heard, so that lost
// records at an end are missed.
type tail struct {
	Last int
	Seen int
}

// seal returns the JSON form of a value behind a checksum of it and its key.
func seal(key []byte, value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, checksum(key, data)), data...), nil
}

func checksum(key, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// shown is the part of a key that an error shows; a damaged one can be as long as
// the file.
func shown(key []byte) []byte { return key[:min(len(key), shownBytes)] }

// unseal decodes a value after checking it.
func unseal(key, sealed []byte, out any) error {
	if len(sealed) < checksumBytes {
		return errors.Newf("the value of %q has no checksum", shown(key))
	}
	data := sealed[checksumBytes:]
	if binary.BigEndian.Uint64(sealed) != checksum(key, data) {
		return errors.Newf("the value of %q does not match its checksum", shown(key))
	}
	return json.Unmarshal(data, out)
}

func putJSON(bucket *bbolt.Bucket, key []byte, value any) error {
	data, err := seal(key, value)
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
	return unseal(key, data, out)
}

// saveTail records the ends as they are after a change.
func saveTail(tx *bbolt.Tx) error {
	now, err := ends(tx)
	if err != nil {
		return err
	}
	return putJSON(tx.Bucket(bucketState), keyTail, now)
}

// ends returns where the log ends and how many replicas were heard.
func ends(tx *bbolt.Tx) (now tail, err error) {
	err = tx.Bucket(bucketSeen).ForEach(func(_, _ []byte) error {
		now.Seen++
		return nil
	})
	if err != nil {
		return now, err
	}
	cursor := tx.Bucket(bucketLog).Cursor()
	// The library's Last never returns where this change has emptied all of
	// several pages; First does.
	if first, _ := cursor.First(); first != nil {
		last, _ := cursor.Last()
		now.Last = int(binary.BigEndian.Uint64(last))
		return now, nil
	}
	var snapshot messenger.Snapshot
	err = getJSON(tx.Bucket(bucketState), keySnapshot, &snapshot)
	now.Last = snapshot.Index
	return now, err
}
