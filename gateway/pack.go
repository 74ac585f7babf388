package gateway

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

const (
	// packLeast is the size from which a record is worth compressing, in bytes: a
	// report of one host alone is shorter.
	packLeast = 2 << 10
	// unpackedMost bounds a record after decompression, in bytes: the reports of
	// some hundred hosts.
	unpackedMost = 4 << 20
)

// gzipMagic begins every compressed record; JSON never does.
var gzipMagic = []byte{0x1f, 0x8b}

// pack compresses a long record: the reports of a zone's hosts repeat names and
// keys, every relay reads those of all zones, and bytes of the store are billed.
func pack(raw []byte) ([]byte, error) {
	if len(raw) < packLeast {
		return raw, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	return out.Bytes(), nil
}

// unpack is the inverse of pack.
func unpack(record []byte) ([]byte, error) {
	if !bytes.HasPrefix(record, gzipMagic) {
		return record, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(record))
	if err != nil {
		return nil, errors.Wrap(err, "decompress record")
	}
	raw, err := io.ReadAll(io.LimitReader(r, unpackedMost+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress record")
	}
	if len(raw) > unpackedMost {
		return nil, errors.Errorf("a record of over %d bytes", unpackedMost)
	}
	return raw, nil
}
