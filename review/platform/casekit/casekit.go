// Package casekit holds what the scripts of the review share: hosts that run as processes of their own, workers, and a
// record of what was sent, answered and run. The store and the cloud are those of package platformtest.
package casekit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record is the record of a run. Safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // read by people only
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Host is one host, with the process that runs there.
type Host struct {
	Name, IP, Zone, Region    string
	Front, Ready, Directory   string
	settings, logPath, binary string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// settingsText is a settings file as the platform writes it, with the bounds of its first sites.
const settingsText = `node_name=%[1]s
role=entry
machine_class=front
serves=front,directory
ip=%[2]s
zone=%[3]s
region=%[4]s
zones.jos-a=plateau
zones.jos-b=plateau
zones.kad-a=kaduna
listen.front=%[5]s
listen.ready=%[6]s
listen.directory=%[7]s
internal_ports=%[8]s
bootstrap=true
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform
bounds.drain_ms=3000
bounds.grace_s=8
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=58
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=140000
bounds.require_fence=true
bounds.lease_ms=3000
bounds.usage_window_s=5
bounds.usage_late_s=10
bounds.ttl_max_s=5
provider.address=%[9]s
provider.form=log
cloud.address=%[10]s
cloud.duties=usage_report
`

// Dir holds the settings and logs of the hosts.
func Dir() (string, error) { return os.MkdirTemp("", "review") }

// freePorts returns n different ports that are free at an address.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close() // held until all are chosen, so that none is chosen twice
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// regions maps the zones of the settings to their regions.
var regions = map[string]string{
	"jos-a": "plateau", "jos-b": "plateau", "kad-a": "kaduna",
}

// NewHosts writes the settings of hosts, each at a loopback address of its own. zones names the zone of each.
func NewHosts(dir, binary, store, cloud string, zones ...string) ([]*Host, error) {
	return NewHostsBehind(dir, binary, func(int) string { return store }, cloud, zones...)
}

// NewHostsBehind is NewHosts for hosts that reach the store at addresses of their own; store returns that of the n-th.
func NewHostsBehind(dir, binary string, store func(n int) string, cloud string, zones ...string) ([]*Host, error) {
	a, b := 64+rand.IntN(120), rand.IntN(250)
	var hosts []*Host
	for n, zone := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", a, b, n+1)
		ports, err := freePorts(ip, 4)
		if err != nil {
			return nil, err
		}
		region := regions[zone]
		h := &Host{
			Name: fmt.Sprintf("front-%s-%d", zone, n+1), IP: ip, Zone: zone, Region: region, binary: binary,
			Front: net.JoinHostPort(ip, ports[0]), Ready: net.JoinHostPort(ip, ports[1]), Directory: net.JoinHostPort(ip, ports[2]),
		}
		h.settings, h.logPath = filepath.Join(dir, h.Name+".conf"), filepath.Join(dir, h.Name+".log")
		text := fmt.Sprintf(settingsText, h.Name, ip, zone, region, h.Front, h.Ready, h.Directory, ports[3]+","+ports[3], store(n), cloud)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Start starts the process of the host with the command of the deploy file.
func (h *Host) Start() error {
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.binary, "platform")
	cmd.Env = []string{platform.SettingsVariable + "=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the script
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait() // ended by a signal of the script
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s) // fails if it has ended
}

// Ended is closed when the process has ended.
func (h *Host) Ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// Stop ends the process.
func (h *Host) Stop() {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-ended
}

// SettingsPath returns the path of the host's settings file.
func (h *Host) SettingsPath() string { return h.settings }

// LogTail returns the end of what the process has logged.
func (h *Host) LogTail() string {
	const most = 600
	text, err := os.ReadFile(h.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-most, 0):])
}

// AwaitReady waits until all hosts say that they are ready.
func AwaitReady(hosts []*Host, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for _, h := range hosts {
		for !platformtest.IsReady(contextUntil(deadline), h.Ready) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// PeakMemory returns the largest resident size of the process so far in bytes; false if the process has ended.
func (h *Host) PeakMemory() (int64, bool) {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10, true
		}
	}
	return 0, false
}

// ReportConfiguration has one route, of streams that may not be taken up again, with the figures of the longest requests
// of the data sheet.
const ReportConfiguration = `{"version":1,"routes":[
 {"name":"report","hostname":"x.example","path_prefix":"/report/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"target_gap_ms":300,"service":"llm","max_attempts":1,"resumable":false,"session_affinity":true}],
 "services":[{"name":"llm","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"stride":1}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0}]}`
