// Package packer makes declared documents small for the replicated log and for
// the way to every entry.
//
// # Usage
//
//	packed, err := packer.Pack(document)
//	document, err := packer.Unpack(packed)
//
// A packed document is compressed and written in letters that JSON strings take
// as they are.
package packer

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxBytes bounds an unpacked document, so that a small packed one cannot fill
// a process's memory.
const MaxBytes = 32 << 20

// ErrTooLarge refuses a document beyond MaxBytes; declare fewer routes.
var ErrTooLarge = errors.New("the document is longer than 32 MiB; declare fewer routes")

// ErrCorrupt means that bytes are no packed document; declare the document
// again.
var ErrCorrupt = errors.New("the bytes are no packed document; declare the document again")

// Pack returns the packed form of a document.
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
	return base64.StdEncoding.EncodeToString(b.Bytes()), nil
}

// Unpack returns a document from its packed form, or ErrCorrupt or ErrTooLarge.
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
