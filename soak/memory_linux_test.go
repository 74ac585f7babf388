package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

var memoryProgram = flag.String("program", "", "program of the hosts whose memory is measured; built if empty")

// peakMemory returns the largest resident size of a process so far in bytes; zero if it has ended.
func peakMemory(pid int) int64 { return statusBytes(pid, "VmHWM") }

// statusBytes returns a size of a process in bytes; zero if it has ended.
func statusBytes(pid int, name string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // fails if the process has ended
	for line := range strings.Lines(string(text)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, name+": %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// TestMemoryBesideFaultySides guards against a host that keeps all that faulty endpoints and callers send, runs out of
// memory and takes the requests of others along: it stays below its memory limit, and sound requests are all served,
// with small and with long bodies.
func TestMemoryBesideFaultySides(t *testing.T) {
	const (
		length       = 1500 * time.Millisecond
		soundCallers = 8
		longBody     = 256 << 10
	)
	program := *memoryProgram
	if program == "" { // the race detector needs memory of its own
		program = filepath.Join(t.TempDir(), "cicadanotchd")
		out, err := exec.Command("go", "build", "-o", program, "../cmd/cicadanotchd").CombinedOutput()
		if err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	base := 5000
	for _, memoryMB := range []int{142, 284} {
		for _, tc := range []struct{ endpoints, callers int }{{0, 0}, {1, 0}, {4, 0}, {16, 0}, {0, 16}, {0, 105}, {16, 105}} {
			base += 100
			t.Run(fmt.Sprintf("%d MB, %d endpoints, %d callers", memoryMB, tc.endpoints, tc.callers), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, base)
				f.store.ConfigureFaulty()
				api := f.endpoint("i-api", "v1", 20*time.Millisecond)
				f.store.Register("i-api", api.Entry("api", "a", "ready"))
				for n := range tc.endpoints {
					id := fmt.Sprint("i-faulty-", n)
					e := platformtest.NewEndlessEndpoint(id)
					t.Cleanup(e.Close)
					f.store.Register(id, e.Entry("faulty", "a", "ready"))
				}
				h, err := startHost(t.TempDir(), f.base, 0, "a", "r", map[string]string{"a": "r"}, f.store.Address(), f.cloud.Address(), func() *exec.Cmd {
					cmd := exec.Command(program, "platform")
					cmd.Env = os.Environ()
					return cmd
				}, func(s *platformtest.Host) { s.MemoryMB = memoryMB })
				is.NoErr(err)
				t.Cleanup(h.stop)
				f.await("the endpoints are known", func() bool {
					return platformtest.SendRequest(h.Front, "first", "/order/1", "sound", false).Status == http.StatusOK
				})
				ctx, cancel := context.WithTimeout(t.Context(), length)
				defer cancel()
				var faulty, sound sync.WaitGroup
				sendFaulty(ctx, &faulty, h.Front, tc.endpoints, tc.callers)
				var sent, served atomic.Int64
				for n := range soundCallers {
					body := []byte("body")
					if n%4 == 0 {
						body = bytes.Repeat(body, longBody/len(body))
					}
					sound.Go(func() {
						for i := 0; ctx.Err() == nil; i++ {
							sent.Add(1)
							if status := platformtest.SendBody(t.Context(), h.Front, fmt.Sprintf("sound-%d-%d", n, i), "/order/1", "sound", body); status == http.StatusOK {
								served.Add(1)
							} else {
								t.Logf("sound request of %d bytes: status %d", len(body), status)
							}
						}
					})
				}
				sound.Wait()
				h.mu.Lock()
				peak, starts := peakMemory(h.process.Process.Pid), h.starts
				h.mu.Unlock()
				cancel()
				faulty.Wait()
				t.Logf("at most %d MB of %d; %d of %d sound requests served", peak>>20, memoryMB, served.Load(), sent.Load())
				is.Equal(starts, 1)
				is.True(peak > 0)
				is.True(peak < int64(memoryMB)<<20)
				is.Equal(served.Load(), sent.Load())
			})
		}
	}
}

// sendFaulty sends, until ctx ends, requests to faulty endpoints whose callers read nothing, and from faulty callers
// the longest bodies at a time, with a length and in chunks, and heads without end.
func sendFaulty(ctx context.Context, all *sync.WaitGroup, front string, endpoints, callers int) {
	const (
		perEndpoint = 12
		steps       = 64
		longest     = 4 << 20
	)
	connect := func(use func(conn net.Conn) error) {
		all.Go(func() {
			conn, err := net.Dial("tcp", front)
			if err != nil {
				return
			}
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			if use(conn) == nil {
				<-ctx.Done()
			}
		})
	}
	for n := range endpoints * perEndpoint {
		path := []string{"/faulty/body", "/faulty/head", "/stream/1"}[n%3]
		connect(func(conn net.Conn) error {
			_, err := io.WriteString(conn, platformtest.Head(fmt.Sprint("e", n), path, "faulty")+"Content-Length: 0\r\n\r\n")
			return err
		})
	}
	for n := range callers {
		connect(func(conn net.Conn) error {
			out, block := platformtest.Head(fmt.Sprint("c", n), "/order/1", "faulty"), strings.Repeat("x", longest/steps)
			switch n % 8 {
			case 7:
				out += "X-H: "
			case 6:
				out += "Transfer-Encoding: chunked\r\n\r\n"
				block = fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
			default:
				out += fmt.Sprintf("Content-Length: %d\r\n\r\n", longest)
			}
			_, err := io.WriteString(conn, out)
			for i := 0; i < steps && err == nil && ctx.Err() == nil; i++ {
				_, err = io.WriteString(conn, block)
				time.Sleep(10 * time.Millisecond)
			}
			return err
		})
	}
}
