package platform

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the stand-ins until it receives SIGTERM or an interrupt, and returns the exit code. It
// prints the addresses as JSON once all stand-ins listen.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cicadanotch-standin", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", "", "settings `file`, JSON with comments (required)")
	root := &ffcli.Command{
		Name:       "cicadanotch-standin",
		ShortUsage: "cicadanotch-standin --config FILE",
		ShortHelp:  "Run stand-ins for the platform and the endpoints.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return run(ctx, *path, stdout) },
	}
	err := root.ParseAndRun(context.Background(), args)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, ErrSettings):
		fmt.Fprintln(stderr, "cicadanotch-standin:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "cicadanotch-standin:", err)
	return exitFailure
}

func run(ctx context.Context, path string, stdout io.Writer) error {
	if path == "" {
		return errors.Wrap(ErrSettings, "flag --config is missing")
	}
	settings, err := LoadSettings(path)
	if err != nil {
		return err
	}
	p, err := Start(settings)
	if err != nil {
		return err
	}
	defer p.Stop()
	if err := json.NewEncoder(stdout).Encode(p.Addresses); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	return nil
}
