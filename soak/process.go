package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Ports of a host. Each host has a loopback address of its own.
const (
	frontPort     = 18221
	readyPort     = 18224
	directoryPort = 18220
	peerPort      = 17600
)

// StartCountVariable is the environment variable with the number of processes that the
// host has started, this one included.
const StartCountVariable = "SOAK_LIFE"

// restartDelay is the time between the end of a process and the start of the next.
const restartDelay = 300 * time.Millisecond

// host is one host: its settings, its links to the platform, and its process, which is
// restarted whenever it ends.
type host struct {
	platformtest.Host
	store *proxy
	cloud *proxy
	dir   string

	mu      sync.Mutex
	command func() *exec.Cmd // of the next process
	process *exec.Cmd
	starts  int // processes started so far
	stopped bool
	paused  bool
	// terminatedAt is the time of the last SIGTERM, stops those of all, faultTimes those of all faults of the
	// host and its links.
	terminatedAt time.Time
	stops        []time.Time
	faultTimes   []time.Time
	ended        chan struct{}
}

// startHost starts a host in an availability zone. n distinguishes the hosts of a run,
// base the runs on one machine; change is applied to its settings.
func startHost(dir string, base, n int, zone, region string, regions map[string]string, store, cloud string, command func() *exec.Cmd, change ...func(*platformtest.Host)) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+base>>8&127, base&255, n+1)
	at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	h := &host{command: command, dir: dir, ended: make(chan struct{})}
	var err error
	if h.store, err = newProxy(store); err != nil {
		return nil, errors.Wrap(err, "start proxy to the store")
	}
	if h.cloud, err = newProxy(cloud); err != nil {
		return nil, errors.Wrap(err, "start proxy to the cloud")
	}
	h.Host = platformtest.Host{
		Name: fmt.Sprintf("h%d", n), IP: ip, Zone: zone, Region: region, Regions: regions,
		Front: at(frontPort), Ready: at(readyPort), Directory: at(directoryPort),
		Store: h.store.address(), Cloud: h.cloud.address(), PeerPort: peerPort,
	}
	for _, c := range change {
		c(&h.Host)
	}
	if err := os.WriteFile(h.settingsPath(), h.Settings(), 0o644); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if err := h.start(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *host) settingsPath() string { return filepath.Join(h.dir, h.Name+".conf") }

// start starts the process and restarts it when it ends.
func (h *host) start() error {
	out, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer out.Close()
	h.mu.Lock()
	h.starts++
	starts, command := h.starts, h.command
	h.mu.Unlock()
	cmd := command()
	cmd.Env = append(cmd.Env, platform.SettingsVariable+"="+h.settingsPath(), fmt.Sprintf("%s=%d", StartCountVariable, starts))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	h.mu.Lock()
	h.process, h.paused = cmd, false
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait() // ended by a signal, or its log has the error
		h.mu.Lock()
		isStopped := h.stopped
		h.mu.Unlock()
		if isStopped {
			close(h.ended)
			return
		}
		time.Sleep(restartDelay)
		h.mu.Lock()
		isStopped = h.stopped
		h.mu.Unlock()
		if isStopped || h.start() != nil {
			close(h.ended)
		}
	}()
	return nil
}

// signal sends a signal to the process of the host and records the time as a fault.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.faultTimes = append(h.faultTimes, now)
	switch s {
	case syscall.SIGTERM:
		h.terminatedAt = now
		h.stops = append(h.stops, now)
	case syscall.SIGSTOP:
		h.paused = true
	case syscall.SIGCONT:
		h.paused = false
	}
	_ = h.process.Process.Signal(s) // fails if the process has just ended
}

func (h *host) recordFaultTime() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultTimes = append(h.faultTimes, time.Now())
}

// hadFault reports whether the host had a fault between two times.
func (h *host) hadFault(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.faultTimes {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// hadUnplannedFault reports whether the host had a fault other than a stop between two times.
func (h *host) hadUnplannedFault(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.faultTimes, func(at time.Time) bool {
		return at.After(from) && at.Before(to) && !slices.Contains(h.stops, at)
	})
}

// stopBefore returns the last SIGTERM before a time; zero if there was none.
func (h *host) stopBefore(t time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	for _, at := range h.stops {
		if at.Before(t) {
			last = at
		}
	}
	return last
}

func (h *host) isPaused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paused
}

// incarnation returns a name of the current process, unique over restarts.
func (h *host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s/%d", h.Name, h.starts)
}

// stop kills the process, prevents its restart and waits until it has ended.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	_ = h.process.Process.Kill() // fails if the process has ended
	h.mu.Unlock()
	select {
	case <-h.ended:
	case <-time.After(5 * time.Second):
	}
	h.store.close()
	h.cloud.close()
}
