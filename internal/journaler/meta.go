package journaler

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
)

// The layout of a bbolt file: two meta pages at its start, each with a checksum
// behind the fields that it covers. Transactions write them in turn.
const (
	metaPages      = 2
	pageHeader     = 16 // bytes before the fields of a meta page
	metaFields     = 56 // bytes that the checksum covers
	pageSizeAt     = pageHeader + 8
	metaChecksumAt = pageHeader + metaFields
	metaBytes      = metaChecksumAt + 8
	// smallestPage and pageSizes are the page sizes that the library looks for where the
	// first meta page is damaged.
	smallestPage = 1024
	pageSizes    = 15
)

// metaPage is the head of a meta page.
type metaPage struct {
	at    int64
	bytes []byte
}

// readMeta reads the head of the meta page at an offset; what the file lacks is zero.
func readMeta(f io.ReaderAt, at int64) (metaPage, error) {
	m := metaPage{at: at, bytes: make([]byte, metaBytes)}
	if _, err := f.ReadAt(m.bytes, at); err != nil && !errors.Is(err, io.EOF) {
		return m, errors.Wrap(err, "read the journal")
	}
	return m, nil
}

func (m metaPage) stored() uint64 { return binary.NativeEndian.Uint64(m.bytes[metaChecksumAt:]) }

// sum returns the checksum that the fields should have.
func (m metaPage) sum() uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write(m.bytes[pageHeader:metaChecksumAt])
	return digest.Sum64()
}

func (m metaPage) valid() bool { return m.stored() == m.sum() }

func (m metaPage) pageSize() int64 { return int64(binary.NativeEndian.Uint32(m.bytes[pageSizeAt:])) }

// readMetas reads both meta pages. Where the first one is damaged, the second one tells
// where it is.
func readMetas(f io.ReaderAt) (pages [metaPages]metaPage, err error) {
	if pages[0], err = readMeta(f, 0); err != nil {
		return pages, err
	}
	if pages[0].valid() {
		pages[1], err = readMeta(f, pages[0].pageSize())
		return pages, err
	}
	for i := range pageSizes {
		at := int64(smallestPage) << i
		pages[1], err = readMeta(f, at)
		if err != nil || pages[1].valid() && pages[1].pageSize() == at {
			return pages, err
		}
	}
	pages[1].bytes = make([]byte, metaBytes)
	pages[1].bytes[metaChecksumAt] = 1 // no valid page was found
	return pages, nil
}

// checkMeta checks both meta pages. The library goes back to the older one where the newer
// one is damaged. That is right only if the newer one was cut while it was written, so that
// its transaction was never acknowledged; otherwise the older one is an older history.
func checkMeta(file string) error {
	f, err := os.OpenFile(file, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open the journal")
	}
	defer func() { _ = f.Close() }()
	pages, err := readMetas(f)
	if err != nil {
		return markDamaged(err)
	}
	var damaged []metaPage
	for _, page := range pages {
		if !page.valid() {
			damaged = append(damaged, page)
		}
	}
	switch len(damaged) {
	case 0:
		return nil
	case metaPages:
		return markDamaged(errors.New("no meta page matches its checksum"))
	}
	base, err := readBase(file)
	if err != nil {
		return err
	}
	return settleMeta(f, damaged[0], base)
}

// settleMeta decides on a damaged meta page beside a valid one, from the checksum that the
// page had before the transaction of the valid one was followed by another.
func settleMeta(f *os.File, damaged metaPage, base uint64) error {
	switch {
	case damaged.stored() == base, damaged.sum() == base:
		// The checksum, which is written last, or all fields are still the old ones.
		return nil
	case damaged.checksumCut(base):
		// The fields are whole, and so are the pages that they refer to.
		sum := binary.NativeEndian.AppendUint64(nil, damaged.sum())
		if _, err := f.WriteAt(sum, damaged.at+metaChecksumAt); err != nil {
			return errors.Wrap(err, "complete a meta page")
		}
		return errors.Wrap(f.Sync(), "complete a meta page")
	}
	return markDamaged(errors.Newf("the meta page at byte %d does not match its checksum, and was not cut while it was written", damaged.at))
}

// checksumCut reports whether the checksum begins with bytes of the right one and ends with
// those of the base.
func (m metaPage) checksumCut(base uint64) bool {
	right := binary.NativeEndian.AppendUint64(nil, m.sum())
	old := binary.NativeEndian.AppendUint64(nil, base)
	for cut := 1; cut < len(right); cut++ {
		if string(m.bytes[metaChecksumAt:]) == string(right[:cut])+string(old[cut:]) {
			return true
		}
	}
	return false
}

// readBase returns the base that the newest readable transaction has saved.
func readBase(file string) (base uint64, err error) {
	db, err := openFile(file, true)
	if err != nil {
		return 0, err
	}
	defer func() { _ = db.Close() }()
	defer recoverFault(&err)()
	err = db.View(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		if state == nil || state.Get(keyBase) == nil {
			return errors.New("a meta page does not match its checksum, and the journal does not tell why")
		}
		return getJSON(state, keyBase, &base)
	})
	return base, markDamaged(err)
}

// saveBase records the checksum of the meta page on which a transaction is based. The
// transaction after it overwrites that page, so that a page cut in this write ends with the
// recorded checksum, and one that was damaged later does not.
func (j *Journal) saveBase(tx *bbolt.Tx) error {
	page := int64(tx.ID()-1) % metaPages
	meta, err := readMeta(j.file, page*int64(j.db.Info().PageSize))
	if err != nil {
		return err
	}
	return putJSON(tx.Bucket(bucketState), keyBase, meta.stored())
}
