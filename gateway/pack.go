package gateway

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

const (
	// minPackBytes is the size from which a record is compressed: the report of a single host is
	// shorter.
	minPackBytes = 2 << 10
	// maxUnpackedBytes bounds a decompressed record: the reports of some hundred hosts.
	maxUnpackedBytes = 4 << 20
)

// gzipMagic starts every compressed record; JSON never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// pack compresses a long record: the reports of a zone's hosts repeat names and keys, every relay
// reads those of all zones, and bytes read from the store are billed.
func pack(raw []byte) ([]byte, error) {
	if len(raw) < minPackBytes {
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
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress record")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, errors.Errorf("record exceeds %d bytes after decompression", maxUnpackedBytes)
	}
	return raw, nil
}
