// Package packer compresses declared configuration documents for the replicated log
// and for distribution to the entries.
//
// # Usage
//
//	packed, err := packer.Pack(document)
//	document, err := packer.Unpack(packed)
//
// A packed document is compressed with gzip and encoded in base64, so that it needs
// no escaping in a JSON string.
package packer

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxBytes is the maximum size of an unpacked document. It prevents a small packed
// document from exhausting the memory of a process (a decompression bomb).
const MaxBytes = 32 << 20

// MaxPackedBytes is the maximum size of a packed document. The messages between processes
// that carry it, encoded once more, stay within their bound.
const MaxPackedBytes = 16 << 20

// ErrTooLarge means that a document exceeds MaxBytes, or MaxPackedBytes when packed;
// declare fewer routes.
var ErrTooLarge = errors.New("the document is longer than 32 MiB, or 16 MiB when packed; declare fewer routes")

// ErrCorrupt means that the input is not a valid packed document; declare the
// document again.
var ErrCorrupt = errors.New("the bytes are no packed document; declare the document again")

// Pack returns the packed form of a document, or ErrTooLarge.
func Pack(document []byte) (string, error) {
	if len(document) > MaxBytes {
		return "", ErrTooLarge
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(document); err != nil {
		return "", errors.Wrap(err, "pack the document")
	}
	if err := w.Close(); err != nil {
		return "", errors.Wrap(err, "pack the document")
	}
	if base64.StdEncoding.EncodedLen(b.Len()) > MaxPackedBytes {
		return "", ErrTooLarge
	}
	return base64.StdEncoding.EncodeToString(b.Bytes()), nil
}

// Unpack returns the document of a packed form, or ErrCorrupt or ErrTooLarge.
func Unpack(packed string) ([]byte, error) {
	data, err := base64.StdEncoding.DecodeString(packed)
	if err != nil {
		return nil, errors.Mark(err, ErrCorrupt)
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Mark(err, ErrCorrupt)
	}
	document, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	switch {
	case err != nil:
		return nil, errors.Mark(err, ErrCorrupt)
	case len(document) > MaxBytes:
		return nil, ErrTooLarge
	}
	return document, nil
}
