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

// around is how long before and after a request the changes of belief about its
// endpoints are shown: an endpoint that drains ends within about that time.
const around = 4 * time.Second

// explainLineMost bounds one line of a log, in bytes.
const explainLineMost = 1 << 20

func (t *tool) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cicadanotch explain REQUEST-ID FILE...",
		ShortHelp:  "Tell the story of a request from the logs of one or several hosts.",
		FlagSet:    t.flags("explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return errors.Wrap(ErrUsage, "explain takes a request id and files")
			}
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			story := explain(args[0], lines)
			if len(story) == 0 {
				for _, l := range silences(lines) {
					fmt.Fprintln(t.stdout, l)
				}
				return errors.Wrapf(ErrFailed, "no line of %d names request %s: it was refused a connection, or its host ended or froze", len(lines), args[0])
			}
			for _, l := range story {
				fmt.Fprintln(t.stdout, l)
			}
			return nil
		},
	}
}

// logLine is one line of a log with what explain goes by.
type logLine struct {
	at     time.Time
	host   string
	event  string
	fields map[string]any
	// place is the line's place among all lines read.
	place int
}

func (l logLine) text(field string) string {
	v, ok := l.fields[field].(string)
	if !ok {
		return ""
	}
	return v
}

// String prints a line with its fields in a fixed order.
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
		_ = f.Close() // it was only read
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	return out, nil
}

// readLog reads the lines of a log. Text before a line's brace, such as that of
// a collector of logs, is skipped, and so are lines that are no log lines.
func readLog(r io.Reader, out []logLine) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, explainLineMost)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		l := logLine{fields: map[string]any{}, place: len(out)}
		if json.Unmarshal([]byte("{"+text), &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.at, l.host, l.event = at, l.text("host"), l.text("event")
		out = append(out, l)
	}
	return out, errors.Wrap(scanner.Err(), "read log")
}

// explain returns the lines of a request, and of what its host came to believe of
// its endpoints around it. Lines of one host keep their order, as its clock may
// have jumped.
func explain(id string, lines []logLine) []logLine {
	var story []logLine
	endpoints := map[string]bool{}
	hosts := map[string][2]time.Time{}
	for _, l := range lines {
		if l.text("request") != id {
			continue
		}
		story = append(story, l)
		if e := l.text("endpoint"); e != "" {
			endpoints[e] = true
		}
		span, ok := hosts[l.host]
		if !ok {
			span = [2]time.Time{l.at, l.at}
		}
		if took, isNumber := l.fields["ms"].(float64); isNumber {
			span[0] = earlier(span[0], l.at.Add(-time.Duration(took)*time.Millisecond))
		}
		span[1] = l.at
		hosts[l.host] = span
	}
	for _, l := range lines {
		span, ok := hosts[l.host]
		if !ok || l.text("request") != "" || l.at.Before(span[0].Add(-around)) || l.at.After(span[1].Add(around)) {
			continue
		}
		if endpoints[l.text("endpoint")] || aboutTheHost(l.event) {
			story = append(story, l)
		}
	}
	return inOrder(story)
}

// inOrder sorts lines by time. Those of one host keep their order: a line that
// seems older than the one before it counts as just as late.
func inOrder(story []logLine) []logLine {
	slices.SortFunc(story, func(a, b logLine) int { return cmp.Compare(a.place, b.place) })
	latest := map[string]time.Time{}
	counts := make(map[int]time.Time, len(story))
	for _, l := range story {
		if l.at.After(latest[l.host]) {
			latest[l.host] = l.at
		}
		counts[l.place] = latest[l.host]
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return counts[a.place].Compare(counts[b.place]) })
	return story
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// aboutTheHost tells the events that touch all of a host's requests.
func aboutTheHost(event string) bool {
	switch event {
	case "start", "stop", "stopped", "reload", "configuration", "dependency_lost", "dependency_regained", "relay", "log_dropped":
		return true
	}
	return false
}

// quietLeast is how long a host that serves writes nothing only when it is frozen,
// gone, or without callers.
const quietLeast = 2 * time.Second

// silences returns a line for each process that ended without saying so and for each
// host that wrote nothing for a while: what was in progress there has no line.
func silences(lines []logLine) []string {
	last := map[string]logLine{}
	var out []string
	for _, l := range lines {
		before, known := last[l.host]
		last[l.host] = l
		if !known {
			continue
		}
		from, to := before.at.UTC().Format("15:04:05.000"), l.at.UTC().Format("15:04:05.000")
		switch {
		case l.event == "start" && before.event != "stopped":
			out = append(out, fmt.Sprintf("%s %s ended without a stop after %s and started again", to, l.host, from))
		case l.event != "start" && l.at.Sub(before.at) >= quietLeast:
			out = append(out, fmt.Sprintf("%s %s wrote nothing from %s on", to, l.host, from))
		}
	}
	slices.Sort(out)
	return out
}
