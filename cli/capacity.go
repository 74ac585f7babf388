package cli

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/scale"
)

func (t *tool) capacityCommand() *ffcli.Command {
	flags := t.flags("capacity")
	sizes := flags.String("hosts", "7,50,200", "`numbers` of entry hosts to measure, at least two")
	opts := scale.DefaultOptions()
	flags.DurationVar(&opts.Window, "window", opts.Window, "time for which each rate is measured")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "cicadanotch capacity [--hosts N,N,...] [--window D] [--json]",
		ShortHelp:  "Measure the cost of running entry hosts together and extrapolate it to the planned size.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			counts, err := parseCounts(*sizes)
			if err != nil {
				return err
			}
			if opts.Window < time.Second {
				return errors.Wrap(ErrUsage, "flag --window is below 1s")
			}
			report, err := scale.Measure(ctx, counts, opts)
			if err != nil {
				return err
			}
			if *asJSON {
				return t.printJSON(report)
			}
			return report.Table(t.stdout)
		},
	}
}

// maxMeasuredHosts bounds the number of entry hosts that one process measures.
const maxMeasuredHosts = 400

func parseCounts(text string) ([]int, error) {
	var out []int
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 1 || n > maxMeasuredHosts {
			return nil, errors.Wrapf(ErrUsage, "flag --hosts: %q is no number from 1 to %d", part, maxMeasuredHosts)
		}
		out = append(out, n)
	}
	if len(out) < 2 {
		return nil, errors.Wrap(ErrUsage, "flag --hosts: give at least two numbers")
	}
	return out, nil
}
