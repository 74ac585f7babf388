package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// ErrBadTrace is returned for a trace that cannot be replayed; the message names the file, line and
// field.
var ErrBadTrace = errors.New("bad trace")

// Types of lines; see docs/TRACES.md.
const (
	TypeTrace     = "trace"
	TypeOutcome   = "outcome"
	TypeArrival   = "arrival"
	TypeReport    = "report"
	TypeCache     = "cache"
	TypeNotice    = "notice"
	TypeDeath     = "death"
	TypeStart     = "start"
	TypeAnswer    = "answer"
	TypePartition = "parted"
	TypePrice     = "price"
	TypeFeed      = "feed"
)

// Header is the first line of a trace: the deployment, its hosts and its targets.
type Header struct {
	Type       string `json:"type"`
	Name       string `json:"name"`
	Deployment string `json:"deployment"`
	Note       string `json:"note,omitempty"`
	Service    string `json:"service"`
	Model      string `json:"model"`
	// FirstTokenMS and BetweenTokensMS are the targets for the 95th percentile.
	FirstTokenMS    float64 `json:"first_token_ms"`
	BetweenTokensMS float64 `json:"between_tokens_ms"`
	TimeoutMS       float64 `json:"timeout_ms"`
	// ZoneDelayMS and RegionDelayMS are one-way delays.
	ZoneDelayMS        float64    `json:"zone_delay_ms"`
	RegionDelayMS      float64    `json:"region_delay_ms"`
	LinkBytesPerSecond float64    `json:"link_bytes_per_second"`
	LinkBytesPerHour   int64      `json:"link_bytes_per_hour,omitempty"`
	LinkPricePerGB     float64    `json:"link_price_per_gb"`
	Engine             EngineSpec `json:"engine"`
	Feed               FeedSpec   `json:"feed"`
	Zones              []ZoneSpec `json:"zones"`
}

// EngineSpec describes the capacity and speed of each engine.
type EngineSpec struct {
	MaxRunning int `json:"max_running"`
	// StepMS is the time of one decoding step, to which each request adds PerRequestMS.
	StepMS       float64 `json:"step_ms"`
	PerRequestMS float64 `json:"per_request_ms"`
	// PrefillTokensPerSecond is the prefill speed; a step prefills at most ChunkTokens.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	ChunkTokens            int     `json:"chunk_tokens"`
	CacheBlocks            int     `json:"cache_blocks"`
}

// FeedSpec describes how load reports and cache events reach the entry hosts.
type FeedSpec struct {
	IntervalMS float64 `json:"every_ms"`
	LagMS      float64 `json:"lag_ms"`
	// EventLoss is the fraction of cache events that is lost, from 0 to 1.
	EventLoss float64 `json:"event_loss"`
}

// ZoneSpec describes one availability zone.
type ZoneSpec struct {
	Zone    string  `json:"availability_zone"`
	Region  string  `json:"region"`
	Entries int     `json:"entries"`
	Engines int     `json:"engines"`
	Price   float64 `json:"price_per_hour"`
}

// Outcome is an expected result that a trace states.
type Outcome struct {
	Type    string `json:"type"`
	Measure string `json:"measure"`
	// Workspace limits the measure to one workspace; empty means all.
	Workspace string `json:"workspace,omitempty"`
	// RelativeTo names a policy by whose measure the measure is divided; empty compares the measure
	// itself.
	RelativeTo string   `json:"of,omitempty"`
	AtMost     *float64 `json:"at_most,omitempty"`
	Below      *float64 `json:"below,omitempty"`
}

// Event is one line after the outcomes. Type decides which fields are set.
type Event struct {
	Type string  `json:"type"`
	AtMS float64 `json:"at_ms"`

	ID        string `json:"id,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Entry     string `json:"entry,omitempty"`
	// Prompt lists texts with their lengths in tokens, as "system:400 question-7:80".
	Prompt       string `json:"prompt,omitempty"`
	AnswerTokens int    `json:"answer_tokens,omitempty"`
	// CrashesEngine makes the request crash each engine that starts it.
	CrashesEngine bool `json:"kills,omitempty"`

	Endpoint string `json:"endpoint,omitempty"`
	Zone     string `json:"availability_zone,omitempty"`
	// Load is a recorded load report; Events are recorded cache events.
	Load   *port.LoadReport  `json:"load,omitempty"`
	Events []port.CacheEvent `json:"events,omitempty"`
	// Kind and DeadlineMS describe a notice.
	Kind       port.NoticeKind `json:"kind,omitempty"`
	DeadlineMS float64         `json:"deadline_ms,omitempty"`
	// AfterTokens is the number of tokens after which a recorded answer broke off.
	AfterTokens int      `json:"after_tokens,omitempty"`
	Regions     []string `json:"regions,omitempty"`
	DurationMS  float64  `json:"for_ms,omitempty"`
	Price       float64  `json:"price_per_hour,omitempty"`
	// Feed replaces the feed settings from this event on.
	Feed *FeedSpec `json:"feed,omitempty"`

	// blocks and tokens are derived from the prompt.
	blocks []uint64
	tokens int
}

// Trace is one recorded trace with its stated outcomes.
type Trace struct {
	Path     string
	Header   Header
	Outcomes []Outcome
	Events   []Event
}

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Load reads a trace file. Errors wrap ErrBadTrace.
func Load(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(ErrBadTrace, err.Error())
	}
	return Parse(filepath.Base(path), bytes.NewReader(data))
}

// Parse reads a trace; name identifies the trace in errors. Errors wrap ErrBadTrace.
func Parse(name string, r io.Reader) (*Trace, error) {
	t := &Trace{Path: name}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	number := 0
	for lines.Scan() {
		number++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := t.addLine(line, number == 1); err != nil {
			return nil, errors.Wrapf(ErrBadTrace, "%s: line %d: %v", name, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(ErrBadTrace, "%s: line %d: %v", name, number+1, err)
	}
	if number == 0 {
		return nil, errors.Wrapf(ErrBadTrace, "%s: line 1: field \"type\": the trace is empty", name)
	}
	return t, nil
}

func (t *Trace) addLine(line []byte, first bool) error {
	var kind struct {
		Type string `json:"type"`
	}
	if err := json.Unmarshal(line, &kind); err != nil {
		return describeDecodeError(err)
	}
	switch {
	case first && kind.Type != TypeTrace:
		return fieldError("type", "the first line must be a trace line")
	case first:
		return decodeLine(line, &t.Header, t.checkHeader)
	case kind.Type == TypeOutcome:
		var o Outcome
		err := decodeLine(line, &o, func() error { return o.check() })
		t.Outcomes = append(t.Outcomes, o)
		return err
	}
	var e Event
	err := decodeLine(line, &e, func() error { return t.checkEvent(&e) })
	t.Events = append(t.Events, e)
	return err
}

func decodeLine(line []byte, v any, check func() error) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return describeDecodeError(err)
	}
	return check()
}

func describeDecodeError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fieldError(wrong.Field, "a "+wrong.Value+" does not fit here")
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return errors.Errorf("field %s: unknown", name)
	}
	return err
}

func fieldError(field, text string) error { return errors.Errorf("field %q: %s", field, text) }

func (t *Trace) checkHeader() error {
	h := &t.Header
	for _, f := range []struct {
		name string
		bad  bool
	}{
		{"name", h.Name == ""},
		{"service", h.Service == ""},
		{"model", h.Model == ""},
		{"first_token_ms", h.FirstTokenMS <= 0},
		{"between_tokens_ms", h.BetweenTokensMS <= 0},
		{"timeout_ms", h.TimeoutMS <= 0},
		{"link_bytes_per_second", h.LinkBytesPerSecond <= 0},
		{"engine.max_running", h.Engine.MaxRunning <= 0},
		{"engine.step_ms", h.Engine.StepMS <= 0},
		{"engine.prefill_tokens_per_second", h.Engine.PrefillTokensPerSecond <= 0},
		{"engine.chunk_tokens", h.Engine.ChunkTokens <= 0},
		{"engine.cache_blocks", h.Engine.CacheBlocks <= 0},
		{"feed.every_ms", h.Feed.IntervalMS <= 0},
		{"zones", len(h.Zones) == 0},
	} {
		if f.bad {
			return fieldError(f.name, "must be set and positive")
		}
	}
	for _, z := range h.Zones {
		if z.Zone == "" || z.Region == "" || z.Entries+z.Engines <= 0 {
			return fieldError("zones", "each needs availability_zone, region and hosts")
		}
	}
	return nil
}

func (o *Outcome) check() error {
	if _, ok := measures[o.Measure]; !ok {
		return fieldError("measure", "unknown measure "+strconv.Quote(o.Measure))
	}
	if o.RelativeTo != "" && newPolicy(o.RelativeTo) == nil {
		return fieldError("of", "unknown policy "+strconv.Quote(o.RelativeTo))
	}
	if (o.AtMost == nil) == (o.Below == nil) {
		return fieldError("at_most", "set either at_most or below")
	}
	return nil
}

func (t *Trace) checkEvent(e *Event) error {
	if n := len(t.Events); n > 0 && e.AtMS < t.Events[n-1].AtMS {
		return fieldError("at_ms", "lines must be in the order of time")
	}
	switch e.Type {
	case TypeArrival:
		return e.checkArrival(&t.Header)
	case TypeReport:
		return require(e.Endpoint != "" && e.Load != nil, "load", "a report needs endpoint and load")
	case TypeCache:
		return require(e.Endpoint != "", "endpoint", "must be set")
	case TypeNotice:
		return require(e.Endpoint != "" || e.Zone != "", "endpoint", "a notice needs endpoint or availability_zone")
	case TypeDeath, TypeStart:
		return require(e.Endpoint != "" || e.Zone != "", "endpoint", "must be set")
	case TypeAnswer:
		return require(e.ID != "", "id", "must be set")
	case TypePartition:
		return require(len(e.Regions) == 2 && e.DurationMS > 0, "regions", "needs two regions and for_ms")
	case TypePrice:
		return require(e.Zone != "" && e.Price > 0, "price_per_hour", "needs availability_zone and a price")
	case TypeFeed:
		return require(e.Feed != nil && e.Feed.IntervalMS > 0, "feed", "needs every_ms")
	}
	return fieldError("type", "unknown type "+strconv.Quote(e.Type))
}

func require(ok bool, field, text string) error {
	if ok {
		return nil
	}
	return fieldError(field, text)
}

func (e *Event) checkArrival(h *Header) error {
	if e.ID == "" {
		return fieldError("id", "must be set")
	}
	if e.AnswerTokens <= 0 {
		return fieldError("answer_tokens", "must be positive")
	}
	segments, err := parsePrompt(e.Prompt)
	if err != nil {
		return err
	}
	text := promptText(segments)
	e.blocks, e.tokens = prefix.Blocks(h.Model, text), prefix.Tokens(text)
	for _, z := range h.Zones {
		for i := range z.Entries {
			if e.Entry == entryName(z.Zone, i) {
				return nil
			}
		}
	}
	return fieldError("entry", "no entry host "+strconv.Quote(e.Entry))
}

func entryName(zone string, i int) string  { return zone + "-entry-" + strconv.Itoa(i+1) }
func engineName(zone string, i int) string { return zone + "-" + strconv.Itoa(i+1) }

// segment is one named text of a prompt.
type segment struct {
	name   string
	tokens int
}

func parsePrompt(text string) ([]segment, error) {
	var out []segment
	for part := range strings.FieldsSeq(text) {
		name, count, ok := strings.Cut(part, ":")
		n, err := strconv.Atoi(count)
		if !ok || err != nil || n <= 0 {
			return nil, fieldError("prompt", strconv.Quote(part)+" is no name:tokens")
		}
		out = append(out, segment{name, n})
	}
	if len(out) == 0 {
		return nil, fieldError("prompt", "must be set")
	}
	return out, nil
}

func (e *Event) at() time.Duration { return fromMilliseconds(e.AtMS) }

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
