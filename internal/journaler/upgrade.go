package journaler

import (
	"encoding/json"
	"slices"

	"go.etcd.io/bbolt"
)

// upgrade seals the values of a file that was written without checksums, once.
func upgrade(tx *bbolt.Tx) error {
	state := tx.Bucket(bucketState)
	if state.Get(keyFormat) != nil {
		return nil
	}
	if err := upgradeIdentity(state); err != nil {
		return err
	}
	for _, bucket := range []*bbolt.Bucket{state, tx.Bucket(bucketLog)} {
		if err := sealAll(bucket); err != nil {
			return err
		}
	}
	if err := upgradeSeen(tx.Bucket(bucketSeen)); err != nil {
		return err
	}
	if err := putJSON(state, keyFormat, formatSealed); err != nil {
		return err
	}
	return saveTail(tx)
}

// upgradeIdentity turns the bare identity into JSON and adds the vote of a
// replica that has none yet.
func upgradeIdentity(state *bbolt.Bucket) error {
	identity := state.Get(keyIdentity)
	if identity == nil {
		return nil
	}
	quoted, err := json.Marshal(string(identity))
	if err != nil {
		return err
	}
	if err := state.Put(keyIdentity, quoted); err != nil {
		return err
	}
	if state.Get(keyVote) != nil {
		return nil
	}
	return state.Put(keyVote, []byte("{}"))
}

func sealAll(bucket *bbolt.Bucket) error {
	for _, key := range keysOf(bucket) {
		if err := putJSON(bucket, key, json.RawMessage(slices.Clone(bucket.Get(key)))); err != nil {
			return err
		}
	}
	return nil
}

func upgradeSeen(seen *bbolt.Bucket) error {
	for _, key := range keysOf(seen) {
		if err := putJSON(seen, key, true); err != nil {
			return err
		}
	}
	return nil
}

func keysOf(bucket *bbolt.Bucket) [][]byte {
	var keys [][]byte
	cursor := bucket.Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.Next() {
		keys = append(keys, slices.Clone(key))
	}
	return keys
}
