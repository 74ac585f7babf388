package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestSignalsDuringStart guards against a process that a signal ends, rather than is noticed, while it reads its settings:
// a reload must not end it, and a stop ends it in order, before it listens.
func TestSignalsDuringStart(t *testing.T) {
	const readDelay = 300 * time.Millisecond // between the signals and the settings
	for n, tc := range []struct {
		name    string
		signals []syscall.Signal
		ends    bool
	}{
		{"reload", []syscall.Signal{syscall.SIGHUP}, false},
		{"stop", []syscall.Signal{syscall.SIGTERM}, true},
		{"stop twice", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, true},
		{"reload and stop", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, true},
		{"stop and interrupt", []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, 4000+n)
			f.startHosts(1) // for its settings
			f.hosts[0].stop()
			text, err := os.ReadFile(f.hosts[0].settingsPath())
			is.NoErr(err)
			pipe, out := filepath.Join(t.TempDir(), "settings"), &strings.Builder{}
			is.NoErr(syscall.Mkfifo(pipe, 0o600))
			cmd := command("")()
			cmd.Env = append(cmd.Env, platform.SettingsVariable+"="+pipe)
			cmd.Stdout, cmd.Stderr = out, out
			is.NoErr(cmd.Start())
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			settings := openWriter(t, pipe, ended)
			for _, s := range tc.signals {
				is.NoErr(cmd.Process.Signal(s))
			}
			time.Sleep(readDelay)
			_, err = settings.Write(text)
			is.NoErr(err) // the process reads them
			is.NoErr(settings.Close())
			// Once the settings are read, the path is a file again: the process reads it for changes.
			is.NoErr(os.Remove(pipe))
			is.NoErr(os.WriteFile(pipe, text, 0o600))
			if tc.ends {
				is.NoErr(awaitEnd(t, ended))
				is.True(!strings.Contains(out.String(), `"event":"start"`)) // it has not listened
				return
			}
			select {
			case err := <-ended:
				t.Fatalf("the process ended: %v\n%s", err, out)
			case <-time.After(time.Second):
			}
			is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
			is.NoErr(awaitEnd(t, ended))
			is.True(strings.Contains(out.String(), `"event":"stopped"`))
		})
	}
}

// TestStopBeforeConfiguration: a host that is told to stop while it waits for its first configuration refuses what comes,
// and ends in order.
func TestStopBeforeConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and answers nothing
	is.NoErr(err)
	defer silent.Close()
	cloud := platformtest.NewCloud()
	defer cloud.Close()
	h, err := startHost(t.TempDir(), os.Getpid()+4100, 0, "a", "r", map[string]string{"a": "r"}, silent.Addr().String(), cloud.Address(), command(""))
	is.NoErr(err)
	defer h.stop()
	h.stopsForGood()
	send := func(id string) platformtest.Answer {
		return platformtest.SendRequest(h.Front, id, "/order/1", "secret", false)
	}
	for end := time.Now().Add(processTimeout); send("first").Err != nil && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	is.Equal(send("before").Status, http.StatusServiceUnavailable)
	terminate(h)
	answers := 0
	for n := 0; ; n++ {
		a := send(fmt.Sprint("r", n))
		if a.Err == nil {
			is.Equal(a.Status, http.StatusServiceUnavailable)
			answers++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		break
	}
	select {
	case <-h.ended:
	case <-time.After(processTimeout):
		t.Fatalf("the process has not ended within %v", processTimeout)
	}
	is.True(answers > 0)
	log, err := os.ReadFile(filepath.Join(h.dir, h.Name+".log"))
	is.NoErr(err)
	is.True(strings.Contains(string(log), `"event":"stopped"`))
}

// openWriter opens a named pipe once the process reads it.
func openWriter(t *testing.T, pipe string, ended <-chan error) *os.File {
	t.Helper()
	for deadline := time.Now().Add(processTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		w, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return w
		}
		select {
		case err := <-ended:
			t.Fatalf("the process ended: %v", err)
		default:
		}
	}
	t.Fatalf("the process has not read its settings within %v", processTimeout)
	return nil
}

// awaitEnd returns how a process ended.
func awaitEnd(t *testing.T, ended <-chan error) error {
	t.Helper()
	select {
	case err := <-ended:
		return err
	case <-time.After(processTimeout):
		t.Fatalf("the process has not ended within %v", processTimeout)
		return exec.ErrNotFound
	}
}
