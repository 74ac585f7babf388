package replay

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Exit codes of Main.
const (
	exitMet    = 0
	exitMissed = 1
	exitInput  = 2
)

const usage = "usage: cicadanotch replay [--policy NAME|all] [--seed N] TRACE...\n"

// Main runs `cicadanotch replay`. It replays each trace, prints one table and the verdicts on the
// stated outcomes, and returns the exit code: 0 when all outcomes are met, 1 when one is missed, 2
// on bad input.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("replay", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	name := flags.String("policy", "all", "policy to replay: all, ours, random, least-in-flight, round-robin or prefix-home")
	seed := flags.Uint64("seed", 1, "seed of everything random")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitMet
		}
		return exitInput
	}
	policies, err := selectPolicies(*name)
	if err == nil && flags.NArg() == 0 {
		err = errors.New("no trace given")
	}
	if err != nil {
		fmt.Fprintf(stderr, "replay: %v\n%s", err, usage)
		return exitInput
	}
	return replayAll(flags.Args(), policies, *seed, stdout, stderr)
}

func selectPolicies(name string) ([]string, error) {
	if name == "all" {
		return Policies(), nil
	}
	if newPolicy(name) == nil {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", name)
	}
	return []string{name}, nil
}

func replayAll(paths, policies []string, seed uint64, stdout, stderr io.Writer) int {
	traces := make([]*Trace, 0, len(paths))
	for _, path := range paths {
		t, err := Load(path)
		if err != nil {
			fmt.Fprintf(stderr, "replay: %v\n", err)
			return exitInput
		}
		traces = append(traces, t)
	}
	var all []*Evaluation
	for _, t := range traces {
		evaluation, err := Evaluate(t, policies, seed)
		if err != nil {
			fmt.Fprintf(stderr, "replay: %v\n", err)
			return exitInput
		}
		all = append(all, evaluation)
	}
	printTable(stdout, all, policies)
	return printVerdicts(stdout, traces, all, seed)
}

func printTable(w io.Writer, all []*Evaluation, policies []string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "trace\tpolicy\tcost at target\trecomputed tokens\tfirst token p95 ms\tbetween tokens p95 ms\trefused\tcut off\tdigest\t")
	for _, evaluation := range all {
		for _, name := range policies {
			r := evaluation.Results[name]
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%d\t%.0f\t%.1f\t%d\t%d\t%s\t\n", r.Trace, r.Policy, r.CostAtTarget(),
				r.Recomputed, r.FirstTokenP95(allWorkspaces), r.BetweenTokensP95(allWorkspaces), r.Refused, r.Unfinished, r.Digest)
		}
	}
	_ = table.Flush() // a write error does not change the exit code
}

func printVerdicts(w io.Writer, traces []*Trace, all []*Evaluation, seed uint64) int {
	code := exitMet
	for i, evaluation := range all {
		for _, v := range evaluation.Verdicts {
			fmt.Fprintf(w, "%s seed %d: %s\n", traces[i].Header.Name, seed, v)
			if !v.Met {
				code = exitMissed
			}
		}
	}
	return code
}
