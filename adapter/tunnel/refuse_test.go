package tunnel

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestRefusalProvesThatNothingWasSent guards against a request that is not sent again, or given up, although the helping
// host passed none of it on: before the connection is open the reason is stated, and nothing reaches the endpoint.
func TestRefusalProvesThatNothingWasSent(t *testing.T) {
	closed := listen(t)
	nobody := closed.Addr().String()
	is.New(t).NoErr(closed.Close())
	for name, tc := range map[string]struct {
		config bedConfig
		target Target
		want   Reason
	}{
		"gate: cut off":  {bedConfig{gate: func(Target) Reason { return ReasonCutOff }}, Target{"e-1", nobody}, ReasonCutOff},
		"gate: unknown":  {bedConfig{gate: func(Target) Reason { return ReasonUnknownEndpoint }}, Target{"e-1", nobody}, ReasonUnknownEndpoint},
		"gate: its own":  {bedConfig{gate: func(Target) Reason { return "of its own" }}, Target{"e-1", nobody}, "of its own"},
		"gate: unclean":  {bedConfig{gate: func(Target) Reason { return "two\nlines" }}, Target{"e-1", nobody}, ReasonRefused},
		"not listening":  {bedConfig{}, Target{"e-1", nobody}, ReasonNotListening},
		"dial hangs":     {bedConfig{opts: Options{DialTimeout: time.Millisecond}, dial: hang}, Target{"e-1", nobody}, ReasonUnreachable},
		"dial fails":     {bedConfig{dial: fail}, Target{"e-1", nobody}, ReasonUnreachable},
		"id and address": {bedConfig{gate: only(Target{"e-1", nobody}), dial: fail}, Target{"e-2", nobody}, ReasonUnknownEndpoint},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t, tc.config)
			conn, err := b.client().Dial(t.Context(), b.address, tc.target)
			is.True(conn == nil)
			is.True(errors.Is(err, ErrRefused))
			reason, ok := ReasonOf(err)
			is.True(ok)
			is.Equal(reason, tc.want)
			eventually(t, "no connections", func() bool { return b.openConns() == 0 && b.Tunnels() == 0 })
			is.Equal(b.events.count(EventRefused+string(tc.want)), 1)
		})
	}
}

func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func fail(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no route") }

// only returns a Gate that admits one target.
func only(known Target) Gate {
	return func(t Target) Reason {
		if t != known {
			return ReasonUnknownEndpoint
		}
		return ""
	}
}

// openConns returns the number of connections to the helping host.
func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// TestGateIsAskedBeforeTheFirstByte guards against a request that reaches an endpoint that was paused, drained or removed
// between the opening of the connection and the first byte. It is refused then, and no byte arrives; once bytes were passed on
// the Gate is not asked any more.
func TestGateIsAskedBeforeTheFirstByte(t *testing.T) {
	for name, size := range map[string]int{"short request": 10, "request beyond the window": 5 * windowBytes} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan int64, 1)
			endpoint := serveEndpoint(t, func(conn net.Conn) {
				n, _ := io.Copy(io.Discard, conn) // ends with the connection
				received <- n
			})
			var paused atomic.Bool
			b := newBed(t, bedConfig{timing: neverTicks, gate: func(Target) Reason {
				if paused.Load() {
					return ReasonPaused
				}
				return ""
			}})
			conn := b.dial(t, endpoint)
			paused.Store(true)
			_, writeErr := conn.Write(make([]byte, size))
			got, err := readAll(t, conn)
			is.Equal(len(got), 0)
			is.True(errors.Is(err, ErrRefused))
			is.True(writeErr == nil || errors.Is(writeErr, ErrRefused))
			is.True(writeErr != nil || size <= windowBytes)
			reason, ok := ReasonOf(err)
			is.True(ok)
			is.Equal(reason, ReasonPaused)
			is.Equal(<-received, int64(0))
		})
	}
}

// TestGateIsNotAskedMidway: a target that is paused while its answer is passed on is not cut.
func TestGateIsNotAskedMidway(t *testing.T) {
	endpoint := serveEndpoint(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	var paused atomic.Bool
	b := newBed(t, bedConfig{timing: neverTicks, gate: func(Target) Reason {
		if paused.Load() {
			return ReasonPaused
		}
		return ""
	}})
	conn := b.dial(t, endpoint)
	echo(t, conn)
	paused.Store(true)
	echo(t, conn)
}

// TestEndpointThatBreaksBeforeTheFirstByte: a connection that broke while none of the request had been passed on is a refusal.
// One that broke after it is not.
func TestEndpointThatBreaksBeforeTheFirstByte(t *testing.T) {
	for name, sent := range map[string]int{"nothing sent": 0, "one byte sent": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endpoint := serveEndpoint(t, func(conn net.Conn) {
				_, err := io.ReadFull(conn, make([]byte, sent))
				is.NoErr(err)
				is.NoErr(conn.(*net.TCPConn).SetLinger(0))
			})
			b := newBed(t, bedConfig{timing: neverTicks})
			conn, err := b.client().Dial(t.Context(), b.address, Target{"e-1", endpoint})
			if err == nil { // the reset may come while the connection is opened
				defer conn.Close()
				_, err = conn.Write(make([]byte, sent))
				is.NoErr(err)
				_, err = readAll(t, conn)
			}
			is.Equal(errors.Is(err, ErrRefused), sent == 0)
			is.Equal(errors.Is(err, ErrEndpointBroke), sent > 0)
		})
	}
}

// TestRequestRacesReset guards against a request that is stated as not sent although the endpoint received some of it, when
// the endpoint resets the connection at the moment at which the first byte is passed on.
func TestRequestRacesReset(t *testing.T) {
	is := is.New(t)
	received := make(chan int, 1)
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		is.NoErr(conn.(*net.TCPConn).SetLinger(0))
		is.NoErr(conn.SetReadDeadline(time.Now().Add(300 * time.Microsecond)))
		n, _ := conn.Read(make([]byte, 10)) // the deadline may come first
		received <- n
	})
	b := newBed(t, bedConfig{})
	refused, sent := 0, 0
	for range 300 {
		conn, err := b.client().Dial(t.Context(), b.address, Target{"e-1", endpoint})
		if err == nil {
			_, _ = conn.Write([]byte("request")) // the endpoint may have ended
			_, err = readAll(t, conn)
			is.NoErr(conn.Close())
		}
		is.True(err != nil)
		n := <-received
		if errors.Is(err, ErrRefused) {
			refused++
			is.Equal(n, 0)
		}
		if n > 0 {
			sent++
		}
	}
	t.Logf("refused %d, received %d of 300", refused, sent)
}
