// Package bed runs hosts of the deploy file as separate processes on loopback addresses, with the stand-ins of a case.
package bed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Unable = 2
)

// Trouble reports whether the case is to bring its disruption about.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Case is one run: its record, its folder for settings and logs, its hosts and the stand-ins for the platform.
type Case struct {
	Store *platformtest.Store
	Cloud *platformtest.Cloud
	Hosts []*Host

	started time.Time
	dir     string
	base    int

	mu    sync.Mutex
	file  *os.File
	ended bool
}

// New begins a case whose record is the file that the first argument of the program names.
func New() *Case {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "the record file is missing")
		os.Exit(Unable)
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unable)
	}
	dir, err := os.MkdirTemp("", "cicadanotch-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unable)
	}
	c := &Case{Store: platformtest.NewStore(), Cloud: platformtest.NewCloud(), started: time.Now(), dir: dir, base: os.Getpid(), file: file}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		c.End(Unable)
	}()
	return c
}

// Add writes a line to the record, with the time since the start of the case.
func (c *Case) Add(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.file, "%8.3f  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...)) // the verdict is the exit code
}

// Say writes a line to the record and to standard output.
func (c *Case) Say(format string, args ...any) {
	c.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Must ends a case that cannot run.
func (c *Case) Must(err error) {
	if err != nil {
		c.Say("the case cannot run: %v", err)
		c.End(Unable)
	}
}

// End ends all processes and the program.
func (c *Case) End(code int) {
	c.mu.Lock()
	again := c.ended
	c.ended = true
	c.mu.Unlock()
	if again {
		select {} // another goroutine ends the program
	}
	for _, h := range c.Hosts {
		h.stop()
	}
	_ = os.RemoveAll(c.dir)
	os.Exit(code)
}

// bounds are the settings of a host that the sheets of the users' first sites state.
const bounds = `machine_class=front
role=entry
serves=front,directory
bootstrap=true
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform
cloud.duties=usage_report
bounds.contact_ms=4000
bounds.drain_ms=3000
bounds.grace_s=8
bounds.config_apply_ms=3000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=58
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=140000
bounds.require_fence=true
bounds.lease_ms=3000
bounds.usage_window_s=5
bounds.usage_tolerance=0.05
bounds.usage_late_s=10
bounds.ttl_max_s=5
`

// internalPort is the first of the ports for traffic between hosts, metricsPort that of the deploy file.
const (
	internalPort = 17600
	metricsPort  = 9100
)

// Host is a host and its process.
type Host struct {
	Name, IP, Zone          string
	Front, Ready, Directory string

	dir, settings string
	mu            sync.Mutex
	process       *exec.Cmd
	ended         chan struct{}
	over          bool
}

// AddHost starts a host in an availability zone, and waits until it is ready.
func (c *Case) AddHost(zone string, zones ...string) *Host {
	n := len(c.Hosts)
	h := &Host{Name: fmt.Sprintf("front-%s-%d", zone, n), Zone: zone, dir: c.dir}
	free := c.freePorts(h, n)
	h.Front, h.Ready, h.Directory = free[0], free[1], free[2]
	var s strings.Builder
	fmt.Fprintf(&s, "node_name=%s\nip=%s\nzone=%s\nregion=r\n", h.Name, h.IP, zone)
	for _, z := range zones {
		fmt.Fprintf(&s, "zones.%s=r\n", z)
	}
	fmt.Fprintf(&s, "listen.front=%s\nlisten.ready=%s\nlisten.directory=%s\ninternal_ports=%d,%d\n", h.Front, h.Ready, h.Directory, internalPort, internalPort+15)
	fmt.Fprintf(&s, "provider.address=%s\ncloud.address=%s\n%s", c.Store.Address(), c.Cloud.Address(), bounds)
	h.settings = filepath.Join(c.dir, h.Name+".conf")
	c.Must(os.WriteFile(h.settings, []byte(s.String()), 0o644))
	c.Hosts = append(c.Hosts, h)
	c.Must(h.Start())
	c.AwaitReady(h)
	c.Add("%s in zone %s is ready", h.Name, zone)
	return h
}

// freePorts gives the host a loopback address at which its fixed ports are free, and returns three free ports.
func (c *Case) freePorts(h *Host, n int) []string {
	const tries = 50
	for range tries {
		h.IP = fmt.Sprintf("127.%d.%d.%d", 128+c.base>>8&63, c.base&255, n+1)
		var listeners []net.Listener
		var err error
		for _, port := range []int{metricsPort, internalPort, internalPort + 1, 0, 0, 0} {
			var l net.Listener
			if l, err = net.Listen("tcp", net.JoinHostPort(h.IP, strconv.Itoa(port))); err != nil {
				break
			}
			listeners = append(listeners, l)
		}
		var free []string
		for _, l := range listeners {
			free = append(free, l.Addr().String())
			_ = l.Close() // it was only opened to find a port
		}
		if err == nil {
			return free[3:]
		}
		c.base += 7
	}
	c.Say("no loopback address with free ports")
	c.End(Unable)
	return nil
}

// AwaitReady waits until a host says that it is ready.
func (c *Case) AwaitReady(h *Host) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for !platformtest.IsReady(ctx, h.Ready) {
		if ctx.Err() != nil {
			c.Say("%s is not ready in time", h.Name)
			c.End(Unable)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Start starts a process of the host, with the command of the deploy file.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/cicadanotchd", "platform")
	cmd.Env = []string{"CICADANOTCH_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + h.dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // ended by a signal, or its log has the error
		close(ended)
	}()
	return nil
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill() // fails if it has ended
		<-ended
	}
}

// stop kills the process and prevents that another one is started.
func (h *Host) stop() {
	h.mu.Lock()
	h.over = true
	h.mu.Unlock()
	h.Kill()
}

// MemoryMB returns the anonymous resident memory of the process in MB, zero if it has ended. Pages of its files do not count.
func (h *Host) MemoryMB() float64 {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// Request returns a client's request on the routes of a case.
func Request(front, path, id string, headers map[string]string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	req.Host = "x.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Api-Key", "secret")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return req, nil
}
