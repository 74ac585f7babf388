//go:build crowd && linux

package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Limits of the hosts that crowds reach.
const (
	// crowdMemoryMB and crowdDescriptors bound the memory and the descriptors of a host, unless a crowd states others.
	crowdMemoryMB    = 142
	crowdDescriptors = 4100
	// fewDescriptors is a limit that crowds of crowdSize connections exceed.
	fewDescriptors = 450
	// fileDescriptors are those of a limit that are for files: sockets and pipes share the rest.
	fileDescriptors = 200
	// crowdSize is the number of connections of a crowd, unless it states another.
	crowdSize = 300
	// crowdLength is how long a crowd is there before an ordinary request is sent beside it.
	crowdLength = 3 * time.Second
	// reconnectDelay is the time after which a caller connects again whose connection was closed.
	reconnectDelay = 20 * time.Millisecond
	longestBody    = 4 << 20
	// shortBy is how much of a body is not sent.
	shortBy = 64 << 10
	// headBytes is the size of a head that does not end.
	headBytes = 60 << 10
)

// crowd is what callers send that do not behave.
type crowd struct {
	name string
	// port is the port of the host that they reach; frontPort if zero.
	port int
	// size, memoryMB and descriptors are crowdSize, crowdMemoryMB and crowdDescriptors if zero.
	size, memoryMB, descriptors int
	// send sends on one connection, which is kept open afterwards.
	send func(w io.Writer) error
}

// crowds are the kinds of crowds at a host on the users' platform.
var crowds = []crowd{
	{name: "heads of one long field", size: 1200, send: sendText(openHead + "X-H: " + strings.Repeat("x", headBytes))},
	{name: "request lines without end", size: 1600, send: sendText("GET /" + strings.Repeat("x", headBytes))},
	{name: "heads of many short fields", send: sendText(openHead + shortFields(headBytes))},
	{name: "heads of many short fields at the directory", port: directoryPort, send: sendText(openHead + shortFields(headBytes))},
	{name: "heads of many short fields at the readiness address", port: readyPort, send: sendText(openHead + shortFields(headBytes))},
	{name: "heads of many short fields at the metrics", port: metricsPort, send: sendText(openHead + shortFields(headBytes))},
	{name: "heads over the limit", descriptors: fewDescriptors, send: sendWithoutEnd(openHead+"X-H: ", strings.Repeat("x", 4096))},
	{name: "empty lines", descriptors: fewDescriptors, send: sendWithoutEnd("", strings.Repeat("\r\n", 2048))},
	{name: "nothing", descriptors: fewDescriptors, send: sendText("")},
	{name: "nothing at the directory", port: directoryPort, descriptors: fewDescriptors, send: sendText("")},
	{name: "slow heads", descriptors: fewDescriptors, send: sendSlowly(openHead)},
	{name: "large chunks, not complete", size: 1000, send: sendChunks(64<<10, longestBody-shortBy)},
	{name: "chunks of a byte, not complete", size: 1000, send: sendChunks(1, shortBy)},
	{name: "chunks of a byte with extensions, not complete", size: 1000, send: sendText(chunkedHead + strings.Repeat("1;"+strings.Repeat("e", 64)+"\r\nx\r\n", 4096))},
	{name: "bodies of a length, not complete", size: 600, send: sendBody(longestBody, longestBody-shortBy)},
	{name: "bodies of a length over the limit", descriptors: fewDescriptors, send: sendBody(1<<30, 1<<30)},
	{name: "chunks without end", send: sendWithoutEnd(chunkedHead, chunk(64<<10))},
	{name: "trailers without end", descriptors: fewDescriptors, send: sendWithoutEnd(chunkedHead+"0\r\n", strings.Repeat("A: b\r\n", 512))},
	{name: "requests without end, answers unread", descriptors: fewDescriptors, send: sendWithoutEnd("", platformtest.Head("p", "/order/1", "none")+"Content-Length: 0\r\n\r\n")},
	{name: "messages of hosts, not complete", port: peerPort, size: 60, send: sendText(peerMessage)},
	{name: "nothing at the address for hosts", port: peerPort, descriptors: fewDescriptors, send: sendText("")},
	{name: "nothing at the address for tunnels", port: peerPort + 1, descriptors: fewDescriptors, send: sendText("")},
	{name: "bodies that are announced and do not come", descriptors: fewDescriptors, send: sendText(platformtest.Head("e", "/order/1", "faulty") + "Expect: 100-continue\r\nContent-Length: 4194304\r\n\r\n")},
}

const metricsPort = 9100

// peerMessage is the begin of a message of another host.
var peerMessage = "Content-Length: 67000000\r\n\r\n" + `{"jsonrpc":"2.0","id":1,"method":"relay.read","params":"` + strings.Repeat("x", 8<<20)

// openHead is the begin of a head, chunkedHead a head whose body comes in chunks.
var (
	openHead    = platformtest.Head("c", "/order/1", "faulty")
	chunkedHead = openHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// shortFields returns distinct fields of a head, of so many bytes together.
func shortFields(bytes int) string {
	var out strings.Builder
	for n := 0; out.Len() < bytes; n++ {
		fmt.Fprintf(&out, "%x: \r\n", n)
	}
	return out.String()
}

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

func sendText(text string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

func sendWithoutEnd(text, repeated string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		for err == nil {
			_, err = io.WriteString(w, repeated)
		}
		return err
	}
}

// sendSlowly sends a byte at a time.
func sendSlowly(text string) func(io.Writer) error {
	return func(w io.Writer) (err error) {
		for i := 0; i < len(text) && err == nil; i++ {
			_, err = io.WriteString(w, text[i:i+1])
			time.Sleep(100 * time.Millisecond)
		}
		return err
	}
}

// sendChunks sends bytes of a body in chunks of a size.
func sendChunks(size, bytes int) func(io.Writer) error {
	block := chunk(size)
	for len(block) < 64<<10 {
		block += block
	}
	text := strings.Repeat(block, bytes*len(chunk(size))/size/len(block))
	return sendText(chunkedHead + text)
}

// sendBody sends a part of a body whose length is stated.
func sendBody(length, sent int) func(io.Writer) error {
	block := strings.Repeat("x", 64<<10)
	return func(w io.Writer) error {
		_, err := io.WriteString(w, openHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
		for n := 0; n < sent && err == nil; n += len(block) {
			_, err = io.WriteString(w, block)
		}
		return err
	}
}

// crowdVariable holds the name of the crowd that a process of this test is, and crowdAddressVariable whom it reaches.
const (
	crowdVariable        = "SOAK_CROWD"
	crowdAddressVariable = "SOAK_CROWD_ADDRESS"
)

// TestOneCrowd is a crowd, as a process of its own that TestCrowds or TestCrowdsAtNode has started: in their process it would
// hold up their measuring. It ends with its standard input.
func TestOneCrowd(t *testing.T) {
	for _, c := range slices.Concat(crowds, nodeCrowds) {
		if c.id() == os.Getenv(crowdVariable) {
			leave := c.join(t.Context(), os.Getenv(crowdAddressVariable))
			_, _ = io.Copy(io.Discard, os.Stdin) // ends when the test that started it closes it
			leave()
			return
		}
	}
}

// id returns a name that is different for each crowd.
func (c crowd) id() string { return fmt.Sprint(c.name, c.port, c.size) }

// start starts a process that is the crowd, with its connections to an address.
func (c crowd) start(t *testing.T, address string) (leave func()) {
	t.Helper()
	is := is.New(t)
	cmd := exec.Command(os.Args[0], "-test.run", "^TestOneCrowd$")
	cmd.Env = append(os.Environ(), crowdVariable+"="+c.id(), crowdAddressVariable+"="+address)
	stdin, err := cmd.StdinPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	return sync.OnceFunc(func() {
		_ = stdin.Close() // it may have ended
		_ = cmd.Wait()    // its connections tell nothing
	})
}

// join keeps the crowd's connections open, and opens them again when they are closed, until ctx ends.
func (c crowd) join(ctx context.Context, address string) (leave func()) {
	var all sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	for range cmp.Or(c.size, crowdSize) {
		all.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(reconnectDelay) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				if c.send(conn) == nil {
					_, _ = io.Copy(io.Discard, conn) // until the host closes it
				}
				stop()
				_ = conn.Close()
			}
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// usage is the largest use of memory and sockets by a process that was observed.
type usage struct {
	// held is resident memory and what its sockets have received and nobody has read, in bytes.
	held, resident, unread int64
	descriptors, sockets   int
}

// watch observes a process that listens at an IP until ctx ends.
func watch(ctx context.Context, pid int, ip string) (result func() usage) {
	const interval = 20 * time.Millisecond
	var peak usage
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; time.Sleep(interval) {
			u := observe(pid, ip)
			if u.held > peak.held {
				peak.held, peak.resident, peak.unread = u.held, u.resident, u.unread
			}
			peak.descriptors, peak.sockets = max(peak.descriptors, u.descriptors), max(peak.sockets, u.sockets)
		}
	}()
	return func() usage {
		<-done
		return peak
	}
}

func observe(pid int, ip string) (u usage) {
	u.resident = statusBytes(pid, "VmRSS")
	u.unread = unreadBytes(ip)
	u.held = u.resident + u.unread
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // none if the process has ended
	u.descriptors = len(links)
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			u.sockets++
		}
	}
	return u
}

// unreadBytes returns what sockets at an IPv4 address have received and nobody has read, in bytes.
func unreadBytes(ip string) (sum int64) {
	text, _ := os.ReadFile("/proc/net/tcp") // the test's own network
	four := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", four[3], four[2], four[1], four[0])
	const listening = "0A" // its connections have sockets of their own
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] == listening {
			continue
		}
		var untaken, unread int64
		if n, _ := fmt.Sscanf(f[4], "%x:%x", &untaken, &unread); n == 2 {
			sum += unread
		}
	}
	return sum
}

// buildProgram returns the path of the daemon, without the race detector, which needs memory of its own.
func buildProgram(t *testing.T) string {
	t.Helper()
	if *memoryProgram != "" {
		return *memoryProgram
	}
	program := filepath.Join(t.TempDir(), "cicadanotchd")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/cicadanotchd").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// limitedCommand returns the command of a program with a limit of descriptors.
func limitedCommand(descriptors int, program string, args ...string) *exec.Cmd {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return exec.Command("sh", append([]string{"-c", script, program}, args...)...)
}

// startCrowded starts a host with limits, an endpoint of the service "api" and a configuration, and waits until it serves.
func startCrowded(t *testing.T, base, memoryMB, descriptors int, program string) (f *fixture, h *host, served func() bool) {
	t.Helper()
	f = newFixture(t, base)
	f.store.ConfigureFaulty()
	api := f.endpoint("i-api", "v1", 0)
	f.store.Register("i-api", api.Entry("api", "a", "ready"))
	h, err := startHost(t.TempDir(), f.base, 0, "a", "r", map[string]string{"a": "r"}, f.store.Address(), f.cloud.Address(), func() *exec.Cmd {
		cmd := limitedCommand(descriptors, program, "platform")
		cmd.Env = os.Environ()
		return cmd
	}, func(s *platformtest.Host) { s.MemoryMB, s.MaxDescriptors = memoryMB, descriptors })
	is.New(t).NoErr(err)
	t.Cleanup(h.stop)
	callers := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	var requests atomic.Int64
	served = func() bool {
		id := fmt.Sprint("ordinary-", requests.Add(1))
		a := platformtest.SendRequestWith(t.Context(), callers, h.Front, id, "/order/1", "sound", false)
		if a.Status != http.StatusOK {
			t.Logf("%s: status %d, %v", id, a.Status, a.Err)
		}
		return a.Status == http.StatusOK
	}
	f.await("the host serves", served)
	return f, h, served
}

// pid returns the id of the host's present process.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Pid
}

// TestCrowds guards against hosts that run out of memory or descriptors, end, or answer nobody any more, because of
// callers that do not behave (incident 0019): a host stays within the limits of its settings, and an ordinary request
// is answered beside the crowd and after it.
func TestCrowds(t *testing.T) {
	program := buildProgram(t)
	for n, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			memoryMB, descriptors := cmp.Or(c.memoryMB, crowdMemoryMB), cmp.Or(c.descriptors, crowdDescriptors)
			f, h, served := startCrowded(t, 9000+n, memoryMB, descriptors, program)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			peak := watch(ctx, h.pid(), h.IP)
			leave := c.start(t, net.JoinHostPort(h.IP, fmt.Sprint(cmp.Or(c.port, frontPort))))
			defer leave()
			time.Sleep(crowdLength)
			f.await("an ordinary request is answered beside the crowd", served)
			leave()
			f.await("an ordinary request is answered after the crowd", served)
			cancel()
			u := peak()
			t.Logf("held %d MB (resident %d, unread %d) of %d, %d descriptors of %d, %d of them sockets", u.held>>20, u.resident>>20, u.unread>>20,
				memoryMB, u.descriptors, descriptors, u.sockets)
			is.Equal(h.incarnation(), h.Name+"/1") // the process has not ended
			is.True(u.held > 0)
			is.True(u.held < int64(memoryMB)<<20)
			is.True(u.sockets <= descriptors-fileDescriptors)
		})
	}
}

// TestCrowdsBesideAStop guards against a process that does not end beside a crowd when it is stopped, or that does not begin
// to serve beside one.
func TestCrowdsBesideAStop(t *testing.T) {
	program := buildProgram(t)
	for n, name := range []string{"nothing", "empty lines", "large chunks, not complete", "requests without end, answers unread"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := crowds[slices.IndexFunc(crowds, func(c crowd) bool { return c.name == name })]
			descriptors := cmp.Or(c.descriptors, crowdDescriptors)
			f, h, served := startCrowded(t, 9700+n, crowdMemoryMB, descriptors, program)
			leave := c.start(t, h.Front)
			defer leave()
			time.Sleep(crowdLength)
			h.signal(syscall.SIGTERM)
			f.await("the process has ended and the next has begun", func() bool { return h.incarnation() == h.Name+"/2" })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			peak := watch(ctx, h.pid(), h.IP)
			f.await("an ordinary request is answered beside the crowd", served)
			cancel()
			u := peak()
			t.Logf("held %d MB of %d, %d sockets", u.held>>20, crowdMemoryMB, u.sockets)
			is.Equal(h.incarnation(), h.Name+"/2")
			is.True(u.held < crowdMemoryMB<<20)
			is.True(u.sockets <= descriptors-fileDescriptors)
		})
	}
}

// TestCrowdsOfOne guards against bounds that a single request within the limits of the configuration meets, at a host with
// little memory and few descriptors.
func TestCrowdsOfOne(t *testing.T) {
	_, h, _ := startCrowded(t, 9900, crowdMemoryMB, fewDescriptors, buildProgram(t))
	head := platformtest.Head("one", "/order/1", "sound")
	for name, text := range map[string]string{
		"head of many short fields": head + shortFields(15<<10) + "Content-Length: 4\r\n\r\nbody",
		"head of one long field":    head + "X-H: " + strings.Repeat("x", 15<<10) + "\r\nContent-Length: 4\r\n\r\nbody",
		"body of single bytes":      head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 300_000) + "0\r\n\r\n",
		"longest body":              head + fmt.Sprintf("Content-Length: %d\r\n\r\n", longestBody) + strings.Repeat("x", longestBody),
		"longest body in chunks":    head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(64<<10), longestBody/(64<<10)) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", h.Front)
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, text)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}
