package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Ports of a host, at an address of loopback of its own.
const (
	frontPort     = 18221
	readyPort     = 18224
	directoryPort = 18220
	peerPort      = 17600
)

// LifeVariable tells a process in its environment how often its host has started
// one.
const LifeVariable = "SOAK_LIFE"

// restartPause is how long after its end a process is started again.
const restartPause = 300 * time.Millisecond

// host is one host: its settings, its links to the platform, and its process,
// which is started again whenever it ends.
type host struct {
	platformtest.Host
	command func() *exec.Cmd
	store   *proxy
	cloud   *proxy
	dir     string

	mu      sync.Mutex
	process *exec.Cmd
	life    int // counts processes
	stopped bool
	paused  bool
	// asked is when the process was last asked to end, harms when faults struck
	// the host or its links.
	asked time.Time
	harms []time.Time
	ended chan struct{}
}

// startHost starts a host of a zone; n tells hosts apart, base the runs on one
// machine.
func startHost(dir string, base, n int, zone, region string, regions map[string]string, store, cloud string, command func() *exec.Cmd) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+base>>8&127, base&255, n+1)
	at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	h := &host{command: command, dir: dir, ended: make(chan struct{})}
	var err error
	if h.store, err = newProxy(store); err != nil {
		return nil, errors.Wrap(err, "proxy of the store")
	}
	if h.cloud, err = newProxy(cloud); err != nil {
		return nil, errors.Wrap(err, "proxy of the cloud")
	}
	h.Host = platformtest.Host{
		Name: fmt.Sprintf("h%d", n), IP: ip, Zone: zone, Region: region, Regions: regions,
		Front: at(frontPort), Ready: at(readyPort), Directory: at(directoryPort),
		Store: h.store.address(), Cloud: h.cloud.address(), PeerPort: peerPort,
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

// start starts the process and starts it again when it ends.
func (h *host) start() error {
	out, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer out.Close()
	h.mu.Lock()
	h.life++
	life := h.life
	h.mu.Unlock()
	cmd := h.command()
	cmd.Env = append(cmd.Env, platform.SettingsVariable+"="+h.settingsPath(), fmt.Sprintf("%s=%d", LifeVariable, life))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	h.mu.Lock()
	h.process, h.paused = cmd, false
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait() // it was told to end, or the log says why it did
		h.mu.Lock()
		done := h.stopped
		h.mu.Unlock()
		if done {
			close(h.ended)
			return
		}
		time.Sleep(restartPause)
		h.mu.Lock()
		done = h.stopped
		h.mu.Unlock()
		if done || h.start() != nil {
			close(h.ended)
		}
	}()
	return nil
}

// signal sends a signal to the process that this soak started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.harms = append(h.harms, now)
	switch s {
	case syscall.SIGTERM:
		h.asked = now
	case syscall.SIGSTOP:
		h.paused = true
	case syscall.SIGCONT:
		h.paused = false
	}
	_ = h.process.Process.Signal(s) // it may have just ended
}

func (h *host) harm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.harms = append(h.harms, time.Now())
}

// harmedWithin reports whether a fault struck the host in a time.
func (h *host) harmedWithin(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.harms {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

func (h *host) isPaused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paused
}

// incarnation names the process that runs.
func (h *host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s/%d", h.Name, h.life)
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	_ = h.process.Process.Kill() // it may have ended
	h.mu.Unlock()
	select {
	case <-h.ended:
	case <-time.After(5 * time.Second):
	}
	h.store.close()
	h.cloud.close()
}
