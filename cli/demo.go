package cli

import (
	"context"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/demo"
)

func (t *tool) demoCommand() *ffcli.Command {
	flags := t.flags("demo")
	profile := flags.String("profile", "coldroot", "deployment: coldroot or mandacaru")
	length := flags.Duration("length", 20*time.Second, "duration of the load")
	seed := flags.Uint64("seed", 1, "seed for the random choices of the load")
	quiet := flags.Bool("quiet", false, "print only the table")
	asJSON := flags.Bool("json", false, "print the report as JSON")
	serve := flags.Bool("serve", false, "run a deployment without load, for manual trials, until a signal")
	logFile := flags.String("log", "", "write the entry hosts' log to this `file`")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "cicadanotch demo [--profile NAME] [--length D] [--seed N] [--serve]",
		ShortHelp:  "Run a deployment on loopback under load and faults, and check its promises.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			p, err := demo.ProfileNamed(*profile)
			if err != nil {
				return errors.Wrap(ErrUsage, err.Error())
			}
			opts := demo.Options{Profile: p, LoadDuration: *length, Seed: *seed}
			if !*quiet {
				opts.Progress = t.stderr
			}
			if *logFile != "" {
				file, err := os.Create(*logFile)
				if err != nil {
					return errors.Wrap(ErrUsage, err.Error())
				}
				defer file.Close()
				opts.Logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: file}}
			}
			if *serve {
				return errors.Wrap(demo.Serve(ctx, opts, t.stdout), "demo")
			}
			report, err := demo.Run(ctx, opts)
			if err != nil {
				return errors.Wrap(err, "demo")
			}
			return t.printReport(report, *asJSON)
		},
	}
}

func (t *tool) printReport(report *demo.Report, asJSON bool) error {
	if asJSON {
		if err := t.printJSON(report); err != nil {
			return err
		}
	} else {
		report.Table(t.stdout)
	}
	if held, all := report.Held(); held < all {
		return errors.Wrapf(ErrFailed, "%d of %d promises held", held, all)
	}
	return nil
}
