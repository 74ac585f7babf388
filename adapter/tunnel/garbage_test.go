package tunnel

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// with returns the first line that contains both texts; empty if there is none.
func (l *lines) with(a, b string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, a) && strings.Contains(line, b) {
			return line
		}
	}
	return ""
}

// credit returns a frameCredit.
func credit(n uint32) []byte { return frame(frameCredit, binary.BigEndian.AppendUint32(nil, n)) }

// header returns the header of a frame with any type and length.
func header(t frameType, length int) []byte {
	b := make([]byte, headerBytes)
	putHeader(b, t, length)
	return b
}

// open returns a frameOpen.
func open(id, address string) []byte {
	return frame(frameOpen, encodeOpen(Target{Endpoint: id, Address: address}))
}

// TestGarbageAtTheTunnelPort guards against a helping host that panics, waits without end or opens a connection for bytes that
// ask for no tunnel: each such connection is closed with a log line, and the next tunnel is served.
func TestGarbageAtTheTunnelPort(t *testing.T) {
	// On a busy machine the first frame of a sound caller comes late too.
	waitingTiming := fastTiming
	waitingTiming.openTimeout, waitingTiming.maxSilentIntervals = 2*time.Second, 250
	for name, tc := range map[string]struct {
		sent []byte
		log  string
	}{
		"nothing":              {nil, "tunnel_unusable"},
		"another protocol":     {[]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "tunnel_unusable"},
		"a TLS hello":          {[]byte{0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3}, "tunnel_unusable"},
		"zeros":                {make([]byte, 100), "tunnel_unusable"},
		"unknown type":         {header(99, 0), "tunnel_unusable"},
		"over-long opening":    {header(frameOpen, maxOpenBytes+1), "tunnel_unusable"},
		"empty opening":        {header(frameOpen, 0), "tunnel_unusable"},
		"half an opening":      {open("e-1", "127.0.0.1:1")[:9], "tunnel_unusable"},
		"half a header":        {header(frameOpen, 9)[:2], "tunnel_unusable"},
		"another version":      {frame(frameOpen, append([]byte{version + 1, 3}, "e-1127.0.0.1:1"...)), "tunnel_unusable"},
		"id beyond the frame":  {frame(frameOpen, []byte{version, 200, 'e'}), "tunnel_unusable"},
		"bytes before it":      {append(frame(frameData, []byte("x")), open("e-1", "127.0.0.1:1")...), "tunnel_unusable"},
		"keep-alive before it": {append(frame(frameAlive, nil), open("e-1", "127.0.0.1:1")...), "tunnel_unusable"},

		"empty id":          {open("", "127.0.0.1:1"), "refused-invalid"},
		"id of two lines":   {open("e\n1", "127.0.0.1:1"), "refused-invalid"},
		"id with NUL":       {open("e\x00", "127.0.0.1:1"), "refused-invalid"},
		"id not UTF-8":      {open("e\xff", "127.0.0.1:1"), "refused-invalid"},
		"id with C1":        {open("e\u0085", "127.0.0.1:1"), "refused-invalid"},
		"over-long id":      {open(strings.Repeat("e", maxIDBytes+1), "127.0.0.1:1"), "refused-invalid"},
		"no address":        {open("e-1", ""), "refused-invalid"},
		"name as address":   {open("e-1", "localhost:80"), "refused-invalid"},
		"no port":           {open("e-1", "127.0.0.1"), "refused-invalid"},
		"port 0":            {open("e-1", "127.0.0.1:0"), "refused-invalid"},
		"port too high":     {open("e-1", "127.0.0.1:70000"), "refused-invalid"},
		"any address":       {open("e-1", "0.0.0.0:80"), "refused-invalid"},
		"multicast":         {open("e-1", "224.0.0.1:80"), "refused-invalid"},
		"zone":              {open("e-1", "[fe80::1%lo]:80"), "refused-invalid"},
		"address, new line": {open("e-1", "127.0.0.1:80\n"), "refused-invalid"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var out lines
			b := newBed(t, bedConfig{timing: waitingTiming, dial: fail, opts: Options{Logger: &log.Logger{Writer: log.IOWriter{Writer: &out}}}})
			conn, err := net.Dial("tcp", b.address)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(tc.sent)
			is.NoErr(err)
			if tc.log == "refused-invalid" {
				wantRefusal(t, conn, ReasonInvalid)
			} else {
				wantClosed(t, conn)
			}
			eventually(t, "a log line with the error", func() bool { return out.with(tc.log, `"error":"`) != "" })
			_, err = b.client().Dial(t.Context(), b.address, Target{"e-1", "127.0.0.1:1"})
			reason, ok := ReasonOf(err)
			is.True(ok) // the port still serves
			is.Equal(reason, ReasonUnreachable)
		})
	}
}

// wantClosed checks that the other end closes a connection; keep-alives may come before.
func wantClosed(t testing.TB, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	_, err := io.Copy(io.Discard, conn)
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout())
}

// wantRefusal checks that the other end states a refusal; keep-alives may come before.
func wantRefusal(t testing.TB, conn net.Conn, want Reason) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	stated := frame(frameRefused, []byte(want))
	got := make([]byte, len(stated))
	for alive := true; alive; alive = bytes.Equal(got[:headerBytes], aliveFrame) {
		_, err := io.ReadFull(conn, got[:headerBytes])
		is.NoErr(err)
	}
	_, err := io.ReadFull(conn, got[headerBytes:])
	is.NoErr(err)
	is.Equal(got, stated)
}

// TestGarbageInATunnel guards against a caller that sends what is out of order once its tunnel is open: the tunnel is closed,
// also at the endpoint, with a log line that names the error.
func TestGarbageInATunnel(t *testing.T) {
	full := frame(frameData, make([]byte, maxDataBytes))
	for name, sent := range map[string][]byte{
		"second opening":     open("e-1", "127.0.0.1:1"),
		"opened":             frame(frameOpened, nil),
		"refused":            frame(frameRefused, []byte("full")),
		"end":                frame(frameEnd, nil),
		"broke":              frame(frameBroke, nil),
		"unknown type":       header(77, 0),
		"empty data":         header(frameData, 0),
		"over-long data":     header(frameData, maxDataBytes+1),
		"beyond the window":  append(bytes.Repeat(full, windowBytes/maxDataBytes), frame(frameData, []byte("x"))...),
		"credit not due":     credit(1),
		"credit of nothing":  credit(0),
		"credit of much":     credit(1<<32 - 1),
		"credit of a byte":   frame(frameType(frameCredit), []byte{1})[:4],
		"end with a payload": header(frameEnd, 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ended := make(chan struct{})
			endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn); close(ended) })
			var out lines
			b := newBed(t, bedConfig{
				timing: neverTicks, opts: Options{Logger: &log.Logger{Writer: log.IOWriter{Writer: &out}}},
				dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := direct(ctx, network, address)
					return newStuckConn(conn), err // nothing is granted anew
				},
			})
			conn, err := net.Dial("tcp", b.address)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(open("e-1", endpoint))
			is.NoErr(err)
			got := make([]byte, headerBytes)
			_, err = io.ReadFull(conn, got)
			is.NoErr(err)
			is.Equal(got, frame(frameOpened, nil))
			_, err = conn.Write(sent)
			is.NoErr(err)
			wantClosed(t, conn)
			<-ended
			eventually(t, "a log line with the error", func() bool { return out.with(`"result":"broke"`, "invalid tunnel frame") != "" })
			eventually(t, "no tunnels", func() bool { return b.Tunnels() == 0 })
		})
	}
}

// TestGarbageFromTheHelpingHost guards against a caller that takes garbage for an answer, an end or a proof that nothing was
// sent.
func TestGarbageFromTheHelpingHost(t *testing.T) {
	opened := frame(frameOpened, nil)
	join := func(frames ...[]byte) []byte { return bytes.Join(frames, nil) }
	for name, tc := range map[string]struct {
		sent []byte
		// data is the number of bytes of the answer that were sound.
		data int
		want error
	}{
		"nothing, closed":            {nil, 0, io.ErrUnexpectedEOF},
		"another protocol":           {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), 0, ErrInvalidFrame},
		"data before opened":         {frame(frameData, []byte("x")), 0, ErrInvalidFrame},
		"end before opened":          {frame(frameEnd, nil), 0, ErrInvalidFrame},
		"broke before opened":        {frame(frameBroke, nil), 0, ErrInvalidFrame},
		"credit before opened":       {credit(1), 0, ErrInvalidFrame},
		"a caller":                   {open("e-1", "127.0.0.1:1"), 0, ErrInvalidFrame},
		"opened, then closed":        {opened, 0, io.ErrUnexpectedEOF},
		"opened twice":               {join(opened, opened), 0, ErrInvalidFrame},
		"answer, then closed":        {join(opened, frame(frameData, []byte("abc"))), 3, io.ErrUnexpectedEOF},
		"answer, then garbage":       {join(opened, frame(frameData, []byte("abc")), []byte("garbage")), 3, ErrInvalidFrame},
		"answer, half a frame":       {join(opened, frame(frameData, []byte("abc")), frame(frameData, []byte("defg"))[:5]), 5, io.ErrUnexpectedEOF},
		"answer, half a header":      {join(opened, frame(frameData, []byte("abc")), header(frameEnd, 0)[:2]), 3, io.ErrUnexpectedEOF},
		"empty data":                 {join(opened, header(frameData, 0)), 0, ErrInvalidFrame},
		"answer, end":                {join(opened, frame(frameData, []byte("abc")), frame(frameEnd, nil)), 3, io.EOF},
		"answer, end, more":          {join(opened, frame(frameData, []byte("abc")), frame(frameEnd, nil), frame(frameData, []byte("d"))), 3, io.EOF},
		"answer, broke":              {join(opened, frame(frameData, []byte("abc")), frame(frameBroke, nil)), 3, ErrEndpointBroke},
		"end with a payload":         {join(opened, header(frameEnd, 3), []byte("abc")), 0, ErrInvalidFrame},
		"refused without a reason":   {header(frameRefused, 0), 0, ErrInvalidFrame},
		"reason of two lines":        {frame(frameRefused, []byte("a\nb")), 0, ErrInvalidFrame},
		"over-long reason":           {header(frameRefused, maxReasonBytes+1), 0, ErrInvalidFrame},
		"refused, half of it":        {frame(frameRefused, []byte("full"))[:5], 0, io.ErrUnexpectedEOF},
		"refused":                    {frame(frameRefused, []byte("full")), 0, ErrRefused},
		"refused after opened":       {join(opened, frame(frameRefused, []byte("paused"))), 0, ErrRefused},
		"refused after passing some": {join(opened, credit(4), frame(frameRefused, []byte("paused"))), 0, ErrInvalidFrame},
		"credit beyond the window":   {join(opened, credit(windowBytes)), 0, ErrInvalidFrame},
		"credit of nothing":          {join(opened, credit(0)), 0, ErrInvalidFrame},
		"beyond the window": {
			join(opened, bytes.Repeat(frame(frameData, make([]byte, maxDataBytes)), windowBytes/maxDataBytes+1)), windowBytes,
			ErrInvalidFrame,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := listen(t)
			var host sync.WaitGroup
			defer host.Wait()
			defer l.Close() // ends the wait for a caller that does not come
			host.Go(func() {
				conn, err := l.Accept()
				is.NoErr(err)
				defer conn.Close()
				_, err = io.ReadFull(conn, make([]byte, len(open("e-1", "127.0.0.1:1"))))
				is.NoErr(err)
				if bytes.HasPrefix(tc.sent, opened) { // the rest comes after the request
					_, err = conn.Write(opened)
					is.NoErr(err)
					_, err = io.ReadFull(conn, make([]byte, headerBytes+4))
					is.NoErr(err)
					tc.sent = tc.sent[headerBytes:]
				}
				_, err = conn.Write(tc.sent)
				if err == nil {
					err = conn.(*net.TCPConn).CloseWrite()
				}
				is.True(err == nil || (tc.want != io.ErrUnexpectedEOF && callerClosed(err)))
				_, _ = io.Copy(io.Discard, conn) // until the caller closes it
			})
			c := NewClient(nil)
			c.timing = neverTicks
			conn, err := c.Dial(t.Context(), l.Addr().String(), Target{"e-1", "127.0.0.1:1"})
			if err == nil {
				defer conn.Close()
				_, err = conn.Write([]byte("GET "))
				is.NoErr(err)
				is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
				<-conn.(*Conn).link.ctx.Done() // what is read before would be granted anew
				n := 0
				for b := make([]byte, 1000); err == nil; {
					var m int
					m, err = conn.Read(b)
					n += m
				}
				is.Equal(n, tc.data)
			}
			is.True(errors.Is(err, tc.want))
			is.Equal(errors.Is(err, ErrRefused), tc.want == ErrRefused)
			is.Equal(err == io.EOF, tc.want == io.EOF)
		})
	}
}

// callerClosed reports whether a write failed because the caller has closed the connection.
func callerClosed(err error) bool {
	return errors.Is(err, syscall.ENOTCONN) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// TestInvalidTargetIsNotSent: the caller's end refuses what the helping host would.
func TestInvalidTargetIsNotSent(t *testing.T) {
	is := is.New(t)
	c := NewClient(func(context.Context, string, string) (net.Conn, error) {
		t.Error("dialed")
		return nil, io.EOF
	})
	for _, target := range []Target{{"", "127.0.0.1:1"}, {"e\r\n", "127.0.0.1:1"}, {"e-1", "host:1"}, {"e-1", "127.0.0.1:0"}, {strings.Repeat("e", 201), "127.0.0.1:1"}} {
		_, err := c.Dial(t.Context(), "127.0.0.1:1", target)
		is.True(errors.Is(err, ErrInvalidTarget))
	}
}

// TestTooManyConnectionsAreClosed guards against connections that ask for nothing and take all memory, or all places of those
// that do ask.
func TestTooManyConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	b := newBed(t, bedConfig{timing: neverTicks, opts: Options{MaxTunnels: 1}})
	for range 1 + spareConns {
		conn, err := net.Dial("tcp", b.address)
		is.NoErr(err)
		defer conn.Close()
	}
	eventually(t, "all accepted", func() bool { return b.openConns() == 1+spareConns })
	conn, err := net.Dial("tcp", b.address)
	is.NoErr(err)
	defer conn.Close()
	wantClosed(t, conn)
	is.Equal(b.events.count(EventUnusable), 1)
}
