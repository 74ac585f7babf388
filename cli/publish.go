package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/cicadanotch/cicadanotch/adapter/cloudhttp"
	"github.com/cicadanotch/cicadanotch/adapter/loghttp"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/publish"
)

// baseAccepted as the base means the revision that is accepted when publish starts.
const baseAccepted = -1

// logFlags are the flags of the commands that use the log.
type logFlags struct {
	url     string
	timeout time.Duration
}

func (t *tool) publishCommand() *ffcli.Command {
	flags := t.flags("publish")
	var lf logFlags
	flags.StringVar(&lf.url, "log", "", "base `URL` of the log service (required)")
	flags.DurationVar(&lf.timeout, "timeout", 30*time.Second, "give up after this `duration`")
	base := flags.Int64("base", baseAccepted, "`revision` on which the document is based; 0 for none; by default the accepted one")
	wait := flags.Bool("wait", false, "wait until the document is in force on all entry hosts")
	cloud := flags.String("cloud", "", "base `URL` of the cloud API that lists the entry hosts for --wait")
	operators := flags.String("operators", "", "`ip:port,...` at which the entry hosts serve operators, instead of --cloud")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "cicadanotch publish --log URL [--base N] [--wait --cloud URL] [--json] FILE",
		ShortHelp:  "Publish a service document; a conflict is reported with the accepted revision.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			path, err := singleArgument(args, "document file")
			if err == nil {
				err = required("log", lf.url)
			}
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, lf.timeout)
			defer cancel()
			p := publication{tool: t, base: *base, wait: *wait, cloud: *cloud, operators: *operators, asJSON: *asJSON}
			return p.run(ctx, loghttp.New(lf.url, nil), path)
		},
	}
}

// publication is one run of the publish command.
type publication struct {
	tool      *tool
	base      int64
	wait      bool
	cloud     string
	operators string
	asJSON    bool
}

// publishResult is the output of publish.
type publishResult struct {
	Service  string `json:"service"`
	Revision int64  `json:"revision"`
	// InForce, Queried and Missing are set with --wait: the number of entry hosts
	// on which the revision is in force, the number queried, and the ids of the
	// hosts on which it is not in force or that did not answer.
	InForce int      `json:"in_force,omitempty"`
	Queried int      `json:"asked,omitempty"`
	Missing []string `json:"missing,omitempty"`
}

func (p *publication) run(ctx context.Context, log port.Log, path string) error {
	text, doc, err := readDocument(path)
	if err != nil {
		return err
	}
	if p.wait && p.cloud == "" && p.operators == "" {
		return errors.Wrap(ErrUsage, "--wait needs --cloud or --operators")
	}
	base, err := p.baseRevision(ctx, log, doc.Service)
	if err != nil {
		return err
	}
	revision, err := publish.Publish(ctx, log, doc.Service, base, string(text))
	var conflict *publish.Conflict
	if errors.As(err, &conflict) {
		return errors.Wrapf(ErrFailed, "not published: revision %d of %s came first, and the document was made from %d", conflict.Accepted, doc.Service, conflict.Base)
	}
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	out := publishResult{Service: doc.Service, Revision: revision}
	if p.wait {
		err = p.waitInForce(ctx, &out)
	}
	return errors.Wrap(p.print(out, err), "publish")
}

func (p *publication) baseRevision(ctx context.Context, log port.Log, service string) (int64, error) {
	if p.base != baseAccepted {
		return p.base, nil
	}
	current, err := publish.Get(ctx, log, service)
	if errors.Is(err, publish.ErrNotFound) {
		return 0, nil
	}
	return current.Offset, errors.Wrap(err, "read the accepted revision")
}

// waitInForce waits until the revision is in force on all entry hosts.
func (p *publication) waitInForce(ctx context.Context, out *publishResult) error {
	hosts, err := p.hosts(ctx)
	if err != nil {
		return err
	}
	status, err := publish.Wait(ctx, p.tool.client, hosts, out.Service, out.Revision)
	out.InForce, out.Queried = status.InForce, status.Queried
	for _, h := range status.Missing {
		out.Missing = append(out.Missing, h.ID)
	}
	return err
}

func (p *publication) hosts(ctx context.Context) ([]publish.Host, error) {
	var out []publish.Host
	if p.operators != "" {
		for address := range strings.SplitSeq(p.operators, ",") {
			out = append(out, publish.Host{ID: address, OperatorAddress: address})
		}
		return out, nil
	}
	listed, err := cloudhttp.New(p.cloud, nil).Hosts(ctx)
	for _, h := range listed {
		if h.Role == port.RoleEntry && h.OperatorAddress != "" {
			out = append(out, publish.Host{ID: h.ID, OperatorAddress: h.OperatorAddress})
		}
	}
	return out, errors.Wrap(err, "list entry hosts")
}

// print prints the result; err is the reason why waiting ended early, nil if it did not.
func (p *publication) print(out publishResult, err error) error {
	if p.asJSON {
		if printErr := p.tool.printJSON(out); printErr != nil {
			return printErr
		}
		return err
	}
	fmt.Fprintf(p.tool.stdout, "%s: revision %d accepted\n", out.Service, out.Revision)
	if out.Queried > 0 {
		fmt.Fprintf(p.tool.stdout, "in force on %d of %d entry hosts\n", out.InForce, out.Queried)
	}
	if len(out.Missing) > 0 {
		fmt.Fprintf(p.tool.stdout, "not yet on: %s\n", strings.Join(out.Missing, ", "))
	}
	return err
}

func (t *tool) getCommand() *ffcli.Command {
	flags := t.flags("get")
	var lf logFlags
	flags.StringVar(&lf.url, "log", "", "base `URL` of the log service (required)")
	flags.DurationVar(&lf.timeout, "timeout", 30*time.Second, "give up after this `duration`")
	asJSON := flags.Bool("json", false, "print revision and text as JSON")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "cicadanotch get --log URL [--json] SERVICE",
		ShortHelp:  "Print the text of the accepted document of a service, as published.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			revision, err := t.accepted(ctx, lf, args)
			if err != nil {
				return err
			}
			if *asJSON {
				return t.printJSON(revision)
			}
			_, err = fmt.Fprintln(t.stdout, strings.TrimSuffix(revision.Text, "\n"))
			return err
		},
	}
}

// accepted returns the accepted revision of the service named in args.
func (t *tool) accepted(ctx context.Context, lf logFlags, args []string) (config.Revision, error) {
	service, err := singleArgument(args, "service")
	if err == nil {
		err = required("log", lf.url)
	}
	if err != nil {
		return config.Revision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, lf.timeout)
	defer cancel()
	return publish.Get(ctx, loghttp.New(lf.url, nil), service)
}

// diffContext is the number of unchanged lines shown around a difference.
const diffContext = 3

func (t *tool) diffCommand() *ffcli.Command {
	flags := t.flags("diff")
	var lf logFlags
	flags.StringVar(&lf.url, "log", "", "base `URL` of the log service (required)")
	flags.DurationVar(&lf.timeout, "timeout", 30*time.Second, "give up after this `duration`")
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "cicadanotch diff --log URL FILE",
		ShortHelp:  "Compare the accepted document with a file; exit code 1 if they differ.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			path, err := singleArgument(args, "document file")
			if err != nil {
				return err
			}
			text, doc, err := readDocument(path)
			if err != nil {
				return err
			}
			revision, err := t.accepted(ctx, lf, []string{doc.Service})
			if err != nil && !errors.Is(err, publish.ErrNotFound) {
				return err
			}
			return t.printDiff(revision, path, string(text))
		},
	}
}

func (t *tool) printDiff(revision config.Revision, path, text string) error {
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(revision.Text), FromFile: fmt.Sprintf("revision %d", revision.Offset),
		B: difflib.SplitLines(text), ToFile: path,
		Context: diffContext,
	})
	if err != nil || diff == "" {
		return errors.Wrap(err, "compare")
	}
	fmt.Fprint(t.stdout, diff)
	return errors.Wrap(ErrFailed, "the documents differ")
}
