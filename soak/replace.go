package soak

import (
	"context"
	"fmt"
	"os/exec"
	"syscall"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

const (
	// replacementTimeout bounds how long a host that is replaced may take until it is ready: its grace period, and a start
	// beside other faults. The next one is replaced then in any case.
	replacementTimeout = gracePeriod + 6*time.Second
	// replacementInterval is the time from the readiness of one host to the stop of the next.
	replacementInterval = 500 * time.Millisecond
)

// replaceHosts replaces all hosts one after the other, with the commands of Options.Replacements in turn.
func (tr *testRun) replaceHosts(ctx context.Context) {
	for n, command := range tr.opts.Replacements {
		for _, h := range tr.hosts {
			if ctx.Err() != nil {
				return
			}
			before := h.replace(command)
			tr.recordFault(fmt.Sprintf("replaced %s, series %d", h.Name, n+1))
			for end := time.Now().Add(replacementTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if h.incarnation() != before && platformtest.IsReady(ctx, h.Ready) {
					break
				}
			}
			h.recordFaultTime() // it has just started
			time.Sleep(replacementInterval)
		}
	}
}

// replace stops the process as planned and kills it after the grace period; the next one has another command. It returns
// the incarnation of the process that is stopped.
func (h *host) replace(command func() *exec.Cmd) string {
	h.mu.Lock()
	h.command = command
	h.mu.Unlock()
	return h.terminate()
}

// terminate sends SIGTERM to the process and kills it after the grace period. It returns the incarnation.
func (h *host) terminate() string {
	current := h.incarnation()
	h.signal(syscall.SIGTERM)
	time.AfterFunc(gracePeriod, func() {
		if h.incarnation() == current {
			h.signal(syscall.SIGKILL)
		}
	})
	return current
}
