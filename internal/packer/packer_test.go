package packer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// sampleRoutes returns a document with n routes.
func sampleRoutes(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"maps.example","path_prefix":"/p%d/","kind":"streaming","timeout_ms":8000},`, i, i*7919)
	}
	return []byte(b.String())
}

// TestUnpackReversesPack guards against documents that change in transit.
func TestUnpackReversesPack(t *testing.T) {
	for _, document := range [][]byte{{}, []byte("{}"), sampleRoutes(500)} {
		packed, err := Pack(document)
		assert.NilError(t, err)
		unpacked, err := Unpack(packed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(unpacked, document))
	}
}

// TestRoutesCompressFourfold guards against large documents in the replicated log.
func TestRoutesCompressFourfold(t *testing.T) {
	document := sampleRoutes(500)
	packed, err := Pack(document)
	assert.NilError(t, err)
	assert.Assert(t, 4*len(packed) < len(document), "%d of %d bytes", len(packed), len(document))
}

// TestCorruptInputIsRejected guards against truncated or altered input that is
// accepted as a document.
func TestCorruptInputIsRejected(t *testing.T) {
	packed, err := Pack(sampleRoutes(5))
	assert.NilError(t, err)
	for _, input := range []string{"", "?", packed[:len(packed)/2], "AAAA" + packed} {
		_, err := Unpack(input)
		assert.Assert(t, errors.Is(err, ErrCorrupt), "%q: %v", input, err)
	}
}

// TestOversizedDocumentIsRejected guards against documents beyond MaxBytes.
func TestOversizedDocumentIsRejected(t *testing.T) {
	_, err := Pack(make([]byte, MaxBytes+1))
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}

// TestDocumentThatPacksBadlyIsTooLarge guards against a document that is accepted and whose
// messages are then cut at their bound.
func TestDocumentThatPacksBadlyIsTooLarge(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	document := make([]byte, MaxPackedBytes)
	for i := range document {
		document[i] = byte(random.Uint32())
	}
	_, err := Pack(document)
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	_, err = Pack(make([]byte, MaxBytes))
	assert.NilError(t, err)
}
