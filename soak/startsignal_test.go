package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform"
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
