package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// frameType is the first byte of a frame. Two bytes of length follow, then the payload.
type frameType byte

const (
	// frameOpen is the first frame of a caller: version, target.
	frameOpen frameType = iota + 1
	// frameOpened states that the helping host has connected to the endpoint.
	frameOpened
	// frameRefused states that no byte was passed on to the endpoint: reason.
	frameRefused
	// frameData carries bytes to or from the endpoint.
	frameData
	// frameCredit grants the other side further bytes: their number.
	frameCredit
	// frameAlive is sent by a side that has nothing else to send.
	frameAlive
	// frameEnd states that the endpoint has ended the connection after the bytes sent.
	frameEnd
	// frameBroke states that the connection to the endpoint broke.
	frameBroke
)

const (
	// version of the frames. Another one is refused.
	version      = 1
	headerBytes  = 3
	creditLength = 4
	// maxDataBytes bounds the payload of frameData, maxOpenBytes that of frameOpen.
	maxDataBytes = 16 << 10
	maxOpenBytes = 512
)

// lengths returns the bounds of a frame's payload.
func (t frameType) lengths() (least, most int, ok bool) {
	switch t {
	case frameOpen:
		return 1, maxOpenBytes, true
	case frameRefused:
		return 1, maxReasonBytes, true
	case frameData:
		return 1, maxDataBytes, true
	case frameCredit:
		return creditLength, creditLength, true
	case frameOpened, frameAlive, frameEnd, frameBroke:
		return 0, 0, true
	}
	return 0, 0, false
}

// putHeader writes a frame's header to the start of b.
func putHeader(b []byte, t frameType, length int) {
	b[0] = byte(t)
	binary.BigEndian.PutUint16(b[1:], uint16(length))
}

// frame returns a frame with the payload.
func frame(t frameType, payload []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	putHeader(b, t, len(payload))
	return append(b, payload...)
}

// readHeader reads the header of a frame and checks its type and length. It returns io.EOF
// if the connection ended before the frame.
func readHeader(r *bufio.Reader) (frameType, int, error) {
	header, err := r.Peek(headerBytes)
	if err != nil {
		if err == io.EOF && len(header) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	t, length := frameType(header[0]), int(binary.BigEndian.Uint16(header[1:]))
	least, most, ok := t.lengths()
	if !ok {
		return 0, 0, errors.Wrapf(ErrInvalidFrame, "type %d", t)
	}
	if length < least || length > most {
		return 0, 0, errors.Wrapf(ErrInvalidFrame, "type %d of %d bytes, expected %d to %d", t, length, least, most)
	}
	_, err = r.Discard(headerBytes)
	return t, length, err
}

// readPayload reads the payload of a frame other than frameData. It is valid until the next
// read.
func readPayload(r *bufio.Reader, length int) ([]byte, error) {
	payload, err := r.Peek(length)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	_, err = r.Discard(length)
	return payload, err
}

// encodeOpen returns the payload of frameOpen for a valid target.
func encodeOpen(t Target) []byte {
	b := append([]byte{version, byte(len(t.Endpoint))}, t.Endpoint...)
	return append(b, t.Address...)
}

// decodeOpen decodes the payload of frameOpen. It returns ErrInvalidFrame for another
// version or length; the target is not checked.
func decodeOpen(b []byte) (Target, error) {
	if len(b) < 2 || b[0] != version {
		return Target{}, errors.Wrapf(ErrInvalidFrame, "opened with %.4q, expected version %d", b, version)
	}
	idLength, rest := int(b[1]), b[2:]
	if idLength > len(rest) {
		return Target{}, errors.Wrapf(ErrInvalidFrame, "id of %d bytes in %d", idLength, len(rest))
	}
	return Target{Endpoint: string(rest[:idLength]), Address: string(rest[idLength:])}, nil
}

// decodeCredit decodes the payload of frameCredit.
func decodeCredit(b []byte) int { return int(binary.BigEndian.Uint32(b)) }
