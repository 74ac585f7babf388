package tunnel

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// BenchmarkEvents measures the passing on of payloads of the size of an event and of 32 KiB from an endpoint to a caller, and
// BenchmarkDirect the same without a tunnel.
func BenchmarkEvents(b *testing.B) {
	benchmark(b, func(endpoint string) net.Conn { return newBed(b, bedConfig{}).dial(b, endpoint) })
}

func BenchmarkDirect(b *testing.B) {
	benchmark(b, func(endpoint string) net.Conn {
		conn, err := direct(b.Context(), "tcp", endpoint)
		is.New(b).NoErr(err)
		return conn
	})
}

func benchmark(b *testing.B, dial func(endpoint string) net.Conn) {
	for name, size := range map[string]int{"200B": 200, "32KiB": 32 << 10} {
		b.Run(name, func(b *testing.B) {
			is := is.New(b)
			payload := make([]byte, size)
			one := make(chan struct{})
			defer close(one)
			endpoint := serveEndpoint(b, func(conn net.Conn) {
				for range one {
					if _, err := conn.Write(payload); err != nil {
						return
					}
				}
			})
			conn := dial(endpoint)
			defer conn.Close()
			got := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				one <- struct{}{}
				_, err := io.ReadFull(conn, got)
				is.NoErr(err)
			}
		})
	}
}

// BenchmarkDial measures the opening and closing of a tunnel.
func BenchmarkDial(b *testing.B) {
	is := is.New(b)
	endpoint := serveEndpoint(b, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	bed := newBed(b, bedConfig{})
	client := bed.client()
	b.ReportAllocs()
	for b.Loop() {
		conn, err := client.Dial(b.Context(), bed.address, Target{"e-1", endpoint})
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
}
