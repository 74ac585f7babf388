// Package config holds service documents: their format, their validation, and
// the rule that folds the log's records into the accepted revision of each.
//
// Invariant: an accepted revision is never reverted. Table never returns to a
// log position below one that it has folded.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Errors of this package.
var (
	// ErrInvalid is returned for a document that fails validation. The error
	// text names the field and, where known, the line.
	ErrInvalid = errors.New("invalid service document")
	// ErrConflict is returned if a change's base is not the accepted revision.
	ErrConflict = errors.New("base is not the accepted revision of the service document")
)

// Schema is the version of the document format that this code reads.
const Schema = 1

// Duration is a time.Duration that is written as text, such as "800ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts text such as
// "36ms" and rejects negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration; write a number with a unit, such as \"800ms\"", text)
	}
	if parsed < 0 {
		return errors.Errorf("%q is negative; write a duration of 0 or more", text)
	}
	*d = Duration(parsed)
	return nil
}

// Kind is the kind of program that a service runs.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Document is the configuration of one service. The service's owner publishes
// it, and the system keeps the service in the state that it describes.
type Document struct {
	// Schema is the version of the document format. It must be 1.
	Schema int `json:"schema" validate:"eq=1"`
	// Service is the name of the service, unique in the deployment: a host name
	// of at most 63 characters.
	Service string `json:"service" validate:"required,hostname_rfc1123,max=63"`
	// Kind is "model" for model engines or "plain" for plain services.
	Kind Kind `json:"kind" validate:"oneof=model plain"`
	// Models are the models of a model service; it needs at least one.
	Models []Model `json:"models,omitempty" validate:"required_if=Kind model,dive"`
	// Routes are the calls that a plain service accepts; it needs at least one.
	Routes []Route `json:"routes,omitempty" validate:"required_if=Kind plain,dive"`
	// Placement states where the service runs and on how many hosts.
	Placement Placement `json:"placement"`
	// Priority orders services when capacity is short, from 0 to 100; a higher
	// priority is served first. Default: 0.
	Priority int `json:"priority" validate:"gte=0,lte=100"`
	// Latency holds the latency targets and time limits of requests.
	Latency Latency `json:"latency"`
	// Spend limits what the service may spend.
	Spend Spend `json:"spend"`
	// Endpoints states which checks the service's endpoints make themselves.
	Endpoints Endpoints `json:"endpoints"`
	// Workspaces are the customers that may call the service; at least one.
	Workspaces []Workspace `json:"workspaces" validate:"required,dive"`
	// IdempotencyWindow is how long the outcome of a non-idempotent request is
	// retained, so that a repeat of the request returns it. Default: 24h. Values
	// below 1m count as 1m, values above 168h as 168h.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty"`
	// Maintenance lists planned stops of availability zones and hosts, as
	// announced by the provider of the hosts.
	Maintenance []Maintenance `json:"maintenance,omitempty" validate:"dive"`
}

// Model is a model with its version and adapters.
type Model struct {
	// Name is the value of "model" in callers' requests, at most 128 characters.
	Name string `json:"name" validate:"required,max=128"`
	// Version identifies the weights, in at most 64 characters. A new version
	// replaces the weights on every engine.
	Version string `json:"version" validate:"required,max=64"`
	// Adapters are the names of adapters that are served besides the model, each
	// as a model of its own name.
	Adapters []string `json:"adapters,omitempty"`
}

// Route is a call that a plain service accepts.
type Route struct {
	// Method is the HTTP method: GET, POST, PUT, PATCH or DELETE.
	Method string `json:"method" validate:"oneof=GET POST PUT PATCH DELETE"`
	// Path starts with a slash. It matches a request path that equals it or
	// continues it after a slash; the longest matching path applies.
	Path string `json:"path" validate:"startswith=/"`
	// Repeatable states that the call is idempotent, so that it may run more than
	// once. Default: false.
	Repeatable bool `json:"repeatable"`
	// Lookup is a path at which the service returns the outcome of a
	// non-idempotent request; "{key}" in it is replaced by the idempotency key.
	// Empty if the service has no such path.
	Lookup string `json:"lookup,omitempty" validate:"omitempty,startswith=/"`
}

// Placement states where a service runs and on how many hosts.
type Placement struct {
	// Zones are the availability zones that may be used. Required.
	Zones []string `json:"availability_zones" validate:"required,dive,required"`
	// Classes are the machine classes that may be used. Required.
	Classes []string `json:"machine_classes" validate:"required,dive,required"`
	// MinHosts is the minimum number of endpoint hosts. Default: 0.
	MinHosts int `json:"min_hosts" validate:"gte=0"`
	// MaxHosts is the maximum number of endpoint hosts, not below min_hosts.
	// Default: 0.
	MaxHosts int `json:"max_hosts" validate:"gtefield=MinHosts"`
	// OnDemandShare is the minimum share of the hosts that is not reclaimable,
	// from 0 to 1. Default: 0.
	OnDemandShare float64 `json:"on_demand_share" validate:"gte=0,lte=1"`
}

// Latency holds the latency targets, which 95 % of requests are to meet, and the
// time limits of requests.
type Latency struct {
	// FirstToken is the target time from acceptance to the first token. Default:
	// 0, no target.
	FirstToken Duration `json:"first_token"`
	// BetweenTokens is the target time between two consecutive tokens. Default:
	// 0, no target.
	BetweenTokens Duration `json:"between_tokens"`
	// RequestTimeout is the maximum time from acceptance to the end of a request.
	// Required.
	RequestTimeout Duration `json:"request_timeout" validate:"required"`
	// MaxQueueWait is the maximum time that a request may wait for its start. A
	// request that is expected to wait longer is refused on arrival. Default: as
	// long as the request can still end before the request timeout.
	MaxQueueWait Duration `json:"max_queue_wait,omitempty"`
}

// Spend limits what a service may spend. Zero means no limit.
type Spend struct {
	// HostsPerHour is the maximum price of all endpoint hosts of the service, in
	// the deployment's currency per hour. Default: 0, no limit.
	HostsPerHour float64 `json:"hosts_per_hour" validate:"gte=0"`
	// LinkBytesPerHour is the maximum traffic of the service between regions, in
	// bytes per hour. Default: 0, no limit.
	LinkBytesPerHour int64 `json:"link_bytes_per_hour" validate:"gte=0"`
}

// Endpoints states which checks a service's endpoints make themselves.
type Endpoints struct {
	// ChecksFencing states that endpoints refuse a command with an outdated
	// fencing token. Default: false.
	ChecksFencing bool `json:"checks_fencing"`
	// HonoursIdempotencyKeys states that endpoints answer a repeated idempotency
	// key with the first answer. Default: false.
	HonoursIdempotencyKeys bool `json:"honours_idempotency_keys"`
}

// Workspace is a customer of the service.
type Workspace struct {
	// Name is the name of the workspace, unique in the service, at most 63
	// characters.
	Name string `json:"name" validate:"required,max=63"`
	// Keys are SHA-256 digests of bearer keys, each as "sha256:" and 64 hex
	// digits. Several keys allow rotation. Default: none, which means open
	// access: callers only name the workspace.
	Keys []string `json:"keys,omitempty" validate:"dive,startswith=sha256:,len=71"`
	// Weight is the share of the service that the workspace gets under
	// contention, relative to the other workspaces' weights; above 0.
	Weight float64 `json:"weight" validate:"gt=0"`
	// MaxConcurrent is the maximum number of the workspace's requests in
	// progress. Default: 0, no limit.
	MaxConcurrent int `json:"max_concurrent" validate:"gte=0"`
	// RequestsPerSecond is the maximum rate of the workspace's requests. Default:
	// 0, no limit.
	RequestsPerSecond float64 `json:"requests_per_second" validate:"gte=0"`
	// SpendPerHour is the maximum price of the workspace's requests, in the
	// deployment's currency per hour. Default: 0, no limit.
	SpendPerHour float64 `json:"spend_per_hour" validate:"gte=0"`
}

// Maintenance is a planned stop of an availability zone or a host.
type Maintenance struct {
	// Zone is the availability zone that stops. It may be left out if host is set.
	Zone string `json:"availability_zone,omitempty" validate:"required_without=Host"`
	// Host is the host that stops, if the stop is not of a whole availability
	// zone. A host takes precedence over availability_zone.
	Host string `json:"host,omitempty"`
	// Starts is the time at which the stop begins, in RFC 3339 format.
	Starts time.Time `json:"starts" validate:"required"`
	// Ends is the time from which the hosts are available again, in RFC 3339
	// format; after starts.
	Ends time.Time `json:"ends" validate:"required,gtfield=Starts"`
}

var documentValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(JSONFieldName)
	return v
}

// ParseDocument parses and validates a document written in JSON with comments.
// It returns ErrInvalid with the field and, where known, the line.
func ParseDocument(text []byte) (*Document, error) {
	var doc Document
	if err := DecodeStrict(text, &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if err := CheckStruct(documentValidator, text, &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return &doc, nil
}

// RouteFor returns the route of a plain service for method and path. If several
// match, the one with the longest path is returned.
func (d *Document) RouteFor(method, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range d.Routes {
		if r.Method != method || !pathMatches(r.Path, path) {
			continue
		}
		if !found || len(r.Path) > len(best.Path) {
			best, found = r, true
		}
	}
	return best, found
}

func pathMatches(prefix, path string) bool {
	if path == prefix {
		return true
	}
	if !strings.HasSuffix(prefix, "/") {
		prefix += "/"
	}
	return strings.HasPrefix(path, prefix)
}

// HasModel reports whether the service runs a model or an adapter of that name.
func (d *Document) HasModel(name string) bool {
	for _, m := range d.Models {
		if m.Name == name {
			return true
		}
		for _, a := range m.Adapters {
			if a == name {
				return true
			}
		}
	}
	return false
}

// WorkspaceNamed returns the workspace of that name.
func (d *Document) WorkspaceNamed(name string) (Workspace, bool) {
	for _, w := range d.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Clone returns a deep copy, made by encoding to JSON and decoding.
func (d *Document) Clone() (*Document, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	var out Document
	err = json.Unmarshal(raw, &out)
	return &out, errors.Wrap(err, "decode document")
}

// DecodeStrict decodes JSON with comments into v. For an unknown field or a wrong
// type it returns an error that names the field and the line.
func DecodeStrict(text []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return errors.Wrap(err, "not JSON with comments")
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return locateError(standard, dec, err)
	}
	if dec.More() {
		return errors.Errorf("line %d: text after the end of the document", LineAt(standard, dec.InputOffset()))
	}
	return nil
}

func locateError(text []byte, dec *json.Decoder, err error) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return errors.Errorf("line %d: field %q: a %s is of the wrong type", LineAt(text, wrongType.Offset), wrongType.Field, wrongType.Value)
	case errors.As(err, &syntax):
		return errors.Errorf("line %d: %s", LineAt(text, syntax.Offset), syntax.Error())
	}
	if name, ok := unknownField(err); ok {
		return errors.Errorf("line %d: unknown field %q", LineOfKey(text, name), name)
	}
	return errors.Errorf("line %d: %s", LineAt(text, dec.InputOffset()), err.Error())
}

func unknownField(err error) (string, bool) {
	var name string
	if n, _ := fmt.Sscanf(err.Error(), "json: unknown field %q", &name); n == 1 {
		return name, true
	}
	return "", false
}

// LineAt returns the line number, counted from 1, of a byte offset.
func LineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// LineOfKey returns the line of the first use of a key, or 1 if there is none.
func LineOfKey(text []byte, key string) int {
	at := bytes.Index(text, []byte(`"`+key+`"`))
	return LineAt(text, int64(at))
}

// JSONFieldName returns the JSON name of a struct field, for validation errors.
// It is to be passed to validator.RegisterTagNameFunc.
func JSONFieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// CheckStruct validates the fields of value. The error names the first invalid
// field, its line in text and the rule that it breaks.
func CheckStruct(v *validator.Validate, text []byte, value any) error {
	err := v.Struct(value)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	f := fields[0]
	_, path, _ := strings.Cut(f.Namespace(), ".")
	rule := f.Tag()
	if f.Param() != "" {
		rule += " " + f.Param()
	}
	return errors.Errorf("line %d: field %q breaks the rule %q", LineOfKey(text, f.Field()), path, rule)
}
