// Package cli implements the command-line tool for operators and callers. It checks,
// publishes and compares service documents, lists the addresses for callers, prints
// the state of a process, shows what happened to a request, measures capacity, runs
// the demo and replays traces.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/replay"
)

// Errors of this package.
var (
	// ErrUsage is returned for invalid flags or arguments.
	ErrUsage = errors.New("wrong usage")
	// ErrFailed is returned when a command ran and its result is negative.
	ErrFailed = errors.New("failed")
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// callTimeout bounds one HTTP request to a process.
const callTimeout = 10 * time.Second

// tool holds what the commands share.
type tool struct {
	stdout io.Writer
	stderr io.Writer
	client *http.Client
}

// Main runs the tool and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == replayName {
		return replay.Main(args[1:], stdout, stderr)
	}
	t := &tool{stdout: stdout, stderr: stderr, client: jsonhttp.NewClient(jsonhttp.NewTransport(nil))}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := t.root()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(stderr, "cicadanotch:", err)
		return ExitUsage
	}
	return t.exitCode(root.Run(ctx))
}

// exitCode prints an error and returns the exit code for it.
func (t *tool) exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	}
	fmt.Fprintln(t.stderr, "cicadanotch:", err)
	if errors.Is(err, ErrUsage) || errors.Is(err, config.ErrInvalid) {
		return ExitUsage
	}
	return ExitFailure
}

func (t *tool) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "cicadanotch",
		ShortUsage: "cicadanotch COMMAND [flags] [arguments]",
		ShortHelp:  "Operate and use a cicadanotch deployment.",
		FlagSet:    t.flags("cicadanotch"),
		Subcommands: []*ffcli.Command{
			t.validateCommand(), t.publishCommand(), t.getCommand(), t.diffCommand(),
			t.addressesCommand(), t.dumpCommand(), t.explainCommand(),
			t.demoCommand(), t.replayCommand(), t.capacityCommand(), t.reportCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Wrapf(ErrUsage, "unknown command %q; see cicadanotch -h", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func (t *tool) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(t.stderr)
	return flags
}

// singleArgument returns the only argument. what names it in the error.
func singleArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", errors.Wrapf(ErrUsage, "want one argument, the %s; got %d", what, len(args))
	}
	return args[0], nil
}

// required returns ErrUsage if the value of a flag is empty.
func required(name, value string) error {
	if value == "" {
		return errors.Wrapf(ErrUsage, "flag --%s is missing", name)
	}
	return nil
}

func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "print")
}

// get requests url from a process and decodes the JSON reply into out.
func (t *tool) get(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := jsonhttp.Call(ctx, t.client, http.MethodGet, url, jsonhttp.MaxReplyBytes, nil, out)
	if err == nil && status != http.StatusOK {
		err = errors.Wrapf(ErrFailed, "%s answered with status %d", url, status)
	}
	return err
}
