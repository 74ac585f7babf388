// Package bed starts the project's daemon as separate processes on loopback addresses, with proxies before the store, for the
// scripts in review.
package bed

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Ports of each host, which has a loopback address of its own.
const (
	frontPort     = 18221
	readyPort     = 18224
	directoryPort = 18220
	peerPort      = 17600
)

// siteBounds replace those of platformtest that differ from a small deployment's.
const siteBounds = "bounds.usage_window_s=5\nbounds.quota_slack=140000\nbounds.exposure_share=\nlimits.cpu_share=1\n"

// Bed is a deployment on loopback.
type Bed struct {
	Store *platformtest.Store
	Cloud *platformtest.Cloud
	Hosts []*Host

	dir     string
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	network [2]int
}

// New starts the store and the cloud API, and opens the record.
func New(recordPath string) (*Bed, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	n := os.Getpid()
	return &Bed{
		Store: platformtest.NewStore(), Cloud: platformtest.NewCloud(), dir: dir, began: time.Now(), record: record,
		network: [2]int{64 + n>>8&63, n & 255},
	}, nil
}

// Note writes a line to the record, with the seconds since the begin.
func (b *Bed) Note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%9.4f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins.
func (b *Bed) Close() {
	for _, h := range b.Hosts {
		h.end()
	}
	b.Store.CloseClientConnections()
	b.Cloud.CloseClientConnections()
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// Host is one process of the daemon.
type Host struct {
	platformtest.Host
	// StoreLink is its way to the store.
	StoreLink *Link
	cmd       *exec.Cmd
	done      chan struct{}
}

// Zone is an availability zone with a number of hosts.
type Zone struct {
	Name, Region string
	Hosts        int
}

// Start starts the hosts of all zones.
func (b *Bed) Start(zones []Zone) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z.Name] = z.Region
	}
	for _, z := range zones {
		for n := range z.Hosts {
			if err := b.startHost(fmt.Sprintf("front-%s-%d", z.Name, n+1), z, regions); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *Bed) startHost(name string, z Zone, regions map[string]string) error {
	link, err := newLink(b.Store.Address())
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", b.network[0], b.network[1], len(b.Hosts)+1)
	at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	h := &Host{StoreLink: link, done: make(chan struct{}), Host: platformtest.Host{
		Name: name, IP: ip, Zone: z.Name, Region: z.Region, Regions: regions,
		Front: at(frontPort), Ready: at(readyPort), Directory: at(directoryPort),
		Store: link.Address(), Cloud: b.Cloud.Address(), PeerPort: peerPort,
	}}
	path := filepath.Join(b.dir, name+".conf")
	if err := os.WriteFile(path, append(h.Settings(), siteBounds...), 0o644); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.Command("target/cicadanotchd", "platform")
	h.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = h.cmd.Wait() // it was ended
		close(h.done)
	}()
	b.Hosts = append(b.Hosts, h)
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// AnonymousBytes returns the anonymous resident memory of the process, zero if it has ended. Pages of its files do not count.
func (h *Host) AnonymousBytes() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

func (h *Host) end() {
	h.Signal(syscall.SIGKILL)
	<-h.done
}

// AwaitReady waits until all hosts are ready.
func (b *Bed) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range b.Hosts {
			if platformtest.IsReady(context.Background(), h.Ready) {
				ready++
			}
		}
		if ready == len(b.Hosts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(b.Hosts))
		}
	}
}

// Client returns a client with connections of its own.
func Client(timeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{}, Timeout: timeout}
}

// Link is a proxy that can refuse its connections by resetting them.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	refuses bool
	conns   map[*net.TCPConn]bool
}

func newLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	go link.accept()
	return link, nil
}

// Address returns the ip:port of the proxy.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Refuse makes the proxy reset all connections, open and new ones, or ends that.
func (l *Link) Refuse(refuses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses = refuses
	if refuses {
		for c := range l.conns {
			reset(c)
		}
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails on a closed connection
	_ = c.Close()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *Link) serve(c *net.TCPConn) {
	raw, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c)
		return
	}
	t := raw.(*net.TCPConn)
	l.mu.Lock()
	if l.refuses {
		l.mu.Unlock()
		reset(c)
		reset(t)
		return
	}
	l.conns[c], l.conns[t] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	pipe := func(to, from *net.TCPConn) {
		_, _ = io.Copy(to, from) // ends with either connection
		_ = to.CloseWrite()
	}
	both.Go(func() { pipe(t, c) })
	both.Go(func() { pipe(c, t) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, t)
	l.mu.Unlock()
	_, _ = c.Close(), t.Close()
}
