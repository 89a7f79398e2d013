package packer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func routes(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"maps.example","path_prefix":"/p%d/","kind":"streaming","timeout_ms":8000},`, i, i*7919)
	}
	return []byte(b.String())
}

func TestDocumentsComeBackAsTheyWere(t *testing.T) {
	for _, document := range [][]byte{{}, []byte("{}"), routes(500)} {
		packed, err := Pack(document)
		assert.NilError(t, err)
		back, err := Unpack(packed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(back, document))
	}
}

func TestRoutesBecomeFourTimesSmaller(t *testing.T) {
	document := routes(500)
	packed, err := Pack(document)
	assert.NilError(t, err)
	assert.Assert(t, 4*len(packed) < len(document), "%d of %d bytes", len(packed), len(document))
}

func TestDamageIsFoundOut(t *testing.T) {
	packed, err := Pack(routes(5))
	assert.NilError(t, err)
	for _, bad := range []string{"", "?", packed[:len(packed)/2], "AAAA" + packed} {
		_, err := Unpack(bad)
		assert.Assert(t, errors.Is(err, ErrCorrupt), "%q: %v", bad, err)
	}
}

func TestDocumentsAreBounded(t *testing.T) {
	_, err := Pack(make([]byte, MaxBytes+1))
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}
