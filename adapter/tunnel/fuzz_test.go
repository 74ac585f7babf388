package tunnel

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// bytesConn is a connection on which given bytes arrive and then its end. What is written is dropped.
type bytesConn struct {
	net.Conn
	*bytes.Reader
}

func (bytesConn) Write(p []byte) (int, error)  { return len(p), nil }
func (bytesConn) Close() error                 { return nil }
func (c bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// FuzzFrames: whatever arrives at either end of a tunnel, at most a window is stored, the bytes are those of the data frames in
// order, and the end is clean, or a proof that nothing was sent, only if a frame states it.
func FuzzFrames(f *testing.F) {
	opened := frame(frameOpened, nil)
	for _, seed := range [][]byte{
		nil, opened, frame(frameAlive, nil), frame(frameRefused, []byte("full")), frame(frameRefused, []byte("a\nb")),
		append(opened, frame(frameData, []byte("abc"))...), append(opened, frame(frameEnd, nil)...), append(opened, frame(frameBroke, nil)...),
		append(opened, credit(1)...), append(opened, append(credit(3), frame(frameRefused, []byte("paused"))...)...),
		append(opened, bytes.Repeat(frame(frameData, make([]byte, maxDataBytes)), 3)...), header(frameData, maxDataBytes+1),
		open("e-1", "127.0.0.1:1"), header(0, 0), header(255, 65535), []byte("HTTP/1.1 200 OK\r\n\r\n"),
	} {
		f.Add(seed, true)
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, sent []byte, caller bool) {
		is := is.New(t)
		l := newLink(t.Context(), bytesConn{Reader: bytes.NewReader(sent)}, neverTicks, caller)
		l.credit -= 100 // some was sent
		err := l.read()
		l.fail(err)
		is.True(err != nil)
		is.True(len(l.inbound) <= windowBytes)
		is.True(l.credit <= windowBytes)
		data, last := scan(sent)
		is.True(bytes.HasPrefix(data, l.inbound))
		if err == io.EOF {
			is.True(caller && last[frameEnd] && l.isOpened())
		}
		if errors.Is(err, ErrRefused) {
			is.True(caller && last[frameRefused])
			reason, ok := ReasonOf(err)
			is.True(ok)
			is.True(!strings.ContainsFunc(string(reason), func(r rune) bool { return r < ' ' || r > '~' }))
		}
	})
}

// scan returns the payloads of all data frames and the types of all frames, by the definition of a frame alone.
func scan(sent []byte) (data []byte, types map[frameType]bool) {
	types = map[frameType]bool{}
	for len(sent) >= headerBytes {
		t, length := frameType(sent[0]), int(sent[1])<<8|int(sent[2])
		payload := sent[headerBytes:min(len(sent), headerBytes+length)]
		if t == frameData {
			data = append(data, payload...)
		}
		types[t] = true
		sent = sent[headerBytes+len(payload):]
	}
	return data, types
}

// FuzzOpening: whatever a caller sends first, it is refused or names a target that is an id and an ip:port as sent.
func FuzzOpening(f *testing.F) {
	for _, seed := range [][]byte{
		open("e-1", "127.0.0.1:1"), open("e\n", "127.0.0.1:1"), open("e-1", "localhost:80"), open("e-1", "[::1]:80"), open("", ""),
		frame(frameOpen, []byte{version, 200}), frame(frameOpen, []byte{2, 1, 'e'}), header(frameOpen, 600), frame(frameAlive, nil), []byte("GET /"),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		is := is.New(t)
		r := bufio.NewReaderSize(bytes.NewReader(sent), readBufferBytes)
		kind, length, err := readHeader(r)
		if err != nil || kind != frameOpen {
			return
		}
		payload, err := readPayload(r, length)
		if err != nil {
			return
		}
		target, err := decodeOpen(payload)
		if err != nil {
			return
		}
		address, err := target.check()
		if err != nil {
			is.True(errors.Is(err, ErrInvalidTarget))
			return
		}
		is.True(address.IsValid() && address.Port() > 0)
		is.Equal(encodeOpen(target), payload)
		is.True(!strings.ContainsAny(target.Endpoint+target.Address, "\x00\r\n"))
	})
}
