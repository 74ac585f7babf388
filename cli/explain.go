package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// explainWindow is the time before and after a request for which state changes of its
// endpoints are shown. An endpoint that drains ends within about that time.
const explainWindow = 4 * time.Second

// maxLogLineBytes bounds one line of a log.
const maxLogLineBytes = 1 << 20

func (t *tool) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cicadanotch explain REQUEST-ID FILE...",
		ShortHelp:  "Show what happened to a request, from the logs of one or several hosts.",
		FlagSet:    t.flags("explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return errors.Wrap(ErrUsage, "explain takes a request id and files")
			}
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			related := explain(args[0], lines)
			if len(related) == 0 {
				for _, l := range findLogGaps(lines) {
					fmt.Fprintln(t.stdout, l)
				}
				return errors.Wrapf(ErrFailed, "no line of %d names request %s: it was refused a connection, or its host ended or froze", len(lines), args[0])
			}
			for _, l := range related {
				fmt.Fprintln(t.stdout, l)
			}
			return nil
		},
	}
}

// logLine is one line of a log, with the fields that explain uses decoded.
type logLine struct {
	at     time.Time
	host   string
	event  string
	fields map[string]any
	// index is the position of the line among all lines read.
	index int
}

func (l logLine) stringField(field string) string {
	v, ok := l.fields[field].(string)
	if !ok {
		return ""
	}
	return v
}

// String formats a line with its fields in alphabetical order.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.UTC().Format("15:04:05.000"), l.host, l.event)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "time", "level", "event", "host", "incarnation":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if v := fmt.Sprint(l.fields[name]); v != "" {
			fmt.Fprintf(&b, " %s=%s", name, v)
		}
	}
	return b.String()
}

func readLogs(files []string) ([]logLine, error) {
	var out []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(ErrUsage, err.Error())
		}
		out, err = readLog(f, out)
		_ = f.Close() // the file was only read
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	return out, nil
}

// readLog reads the lines of a log and appends them to out. Text before the opening
// brace of a line, such as the prefix of a log collector, is skipped, and so are lines
// that are not log lines.
func readLog(r io.Reader, out []logLine) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		l := logLine{fields: map[string]any{}, index: len(out)}
		if json.Unmarshal([]byte("{"+text), &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.stringField("time"))
		if err != nil {
			continue
		}
		l.at, l.host, l.event = at, l.stringField("host"), l.stringField("event")
		out = append(out, l)
	}
	return out, errors.Wrap(scanner.Err(), "read log")
}

// explain returns the lines of a request, and the lines about its endpoints and about
// the host itself that its hosts wrote around that time. Lines of one host stay in
// the order in which they were written, because its clock may have jumped.
func explain(id string, lines []logLine) []logLine {
	var related []logLine
	endpoints := map[string]bool{}
	spans := map[string][2]time.Time{}
	for _, l := range lines {
		if l.stringField("request") != id {
			continue
		}
		related = append(related, l)
		if e := l.stringField("endpoint"); e != "" {
			endpoints[e] = true
		}
		span, ok := spans[l.host]
		if !ok {
			span = [2]time.Time{l.at, l.at}
		}
		if took, isNumber := l.fields["ms"].(float64); isNumber {
			span[0] = earlier(span[0], l.at.Add(-time.Duration(took)*time.Millisecond))
		}
		span[1] = l.at
		spans[l.host] = span
	}
	for _, l := range lines {
		span, ok := spans[l.host]
		if !ok || l.stringField("request") != "" || l.at.Before(span[0].Add(-explainWindow)) || l.at.After(span[1].Add(explainWindow)) {
			continue
		}
		if endpoints[l.stringField("endpoint")] || isHostEvent(l.event) {
			related = append(related, l)
		}
	}
	return sortByTime(related)
}

// sortByTime sorts lines by time. Lines of one host stay in the order in which they
// were written: a line with an earlier time than the one before it gets the time of
// that one.
func sortByTime(lines []logLine) []logLine {
	slices.SortFunc(lines, func(a, b logLine) int { return cmp.Compare(a.index, b.index) })
	latest := map[string]time.Time{}
	effective := make(map[int]time.Time, len(lines))
	for _, l := range lines {
		if l.at.After(latest[l.host]) {
			latest[l.host] = l.at
		}
		effective[l.index] = latest[l.host]
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return effective[a.index].Compare(effective[b.index]) })
	return lines
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isHostEvent reports whether an event concerns all requests of a host.
func isHostEvent(event string) bool {
	switch event {
	case "start", "stop", "stopped", "reload", "configuration", "dependency_lost", "dependency_regained", "relay", "log_dropped":
		return true
	}
	return false
}

// minLogGap is the minimum time without a log line that is reported as a gap. A host
// that writes nothing for so long is frozen, has ended, or has no callers.
const minLogGap = 2 * time.Second

// findLogGaps returns a text for each process that ended without logging its stop, and
// for each gap of at least minLogGap in the log of a host. A request that was in
// progress there may have no log line.
func findLogGaps(lines []logLine) []string {
	last := map[string]logLine{}
	var out []string
	for _, l := range lines {
		previous, known := last[l.host]
		last[l.host] = l
		if !known {
			continue
		}
		from, to := previous.at.UTC().Format("15:04:05.000"), l.at.UTC().Format("15:04:05.000")
		switch {
		case l.event == "start" && previous.event != "stopped":
			out = append(out, fmt.Sprintf("%s %s ended without a stop after %s and started again", to, l.host, from))
		case l.event != "start" && l.at.Sub(previous.at) >= minLogGap:
			out = append(out, fmt.Sprintf("%s %s wrote nothing from %s on", to, l.host, from))
		}
	}
	slices.Sort(out)
	return out
}
