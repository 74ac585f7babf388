package cli

import (
	"bytes"
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/platform/results"
	"github.com/cicadanotch/cicadanotch/report"
)

func (t *tool) reportCommand() *ffcli.Command {
	flags := t.flags("report")
	out := flags.String("out", "", "file to write; standard output without it")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "cicadanotch report [--out FILE.html] FILE...",
		ShortHelp:  "Write an HTML page with plots of measured days, from journal entries and day reports of the users' bench.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errors.Wrap(ErrUsage, "no result files given")
			}
			return t.writeReport(*out, args)
		},
	}
}

func (t *tool) writeReport(out string, files []string) error {
	var runs []report.Run
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(ErrUsage, err.Error())
		}
		run, err := results.Decode(file, raw)
		if err != nil {
			return errors.Wrap(ErrUsage, err.Error())
		}
		runs = append(runs, run)
	}
	var page bytes.Buffer
	if err := report.Write(&page, runs); err != nil {
		return err
	}
	if out == "" {
		_, err := t.stdout.Write(page.Bytes())
		return errors.Wrap(err, "write report")
	}
	return errors.Wrap(os.WriteFile(out, page.Bytes(), 0o644), "write report")
}
