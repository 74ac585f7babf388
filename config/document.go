// Package config holds service documents: their format, their checks, and the
// rule that folds the log's records into the accepted revision of each.
//
// Invariant: an accepted revision never reverts; Table never goes below a
// position it has folded.
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
	// ErrInvalid is returned for a document that fails its checks; the text
	// names field and line.
	ErrInvalid = errors.New("invalid service document")
	// ErrConflict is returned when the base is not the accepted revision.
	ErrConflict = errors.New("service document was changed meanwhile")
)

// Schema is the document schema that this code reads.
const Schema = 1

// Duration is a time span written as text, such as "800ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes d as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads text such as "36ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration; write a number with a unit, such as \"800ms\"", text)
	}
	if parsed < 0 {
		return errors.Errorf("%q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}

// Kind tells what a service runs.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Document describes one service. Its owner publishes it; the system is
// responsible for the outcome.
type Document struct {
	// Schema is the version of this format: 1.
	Schema int `json:"schema" validate:"eq=1"`
	// Service is the service's name, unique in the deployment.
	Service string `json:"service" validate:"required,hostname_rfc1123,max=63"`
	// Kind is "model" for model engines or "plain" for plain services.
	Kind Kind `json:"kind" validate:"oneof=model plain"`
	// Models are what a model service runs.
	Models []Model `json:"models,omitempty" validate:"required_if=Kind model,dive"`
	// Routes are the calls of a plain service.
	Routes []Route `json:"routes,omitempty" validate:"required_if=Kind plain,dive"`
	// Placement says where the service runs.
	Placement Placement `json:"placement"`
	// Priority orders services when capacity is short; higher goes first.
	Priority int `json:"priority" validate:"gte=0,lte=100"`
	// Latency holds the targets.
	Latency Latency `json:"latency"`
	// Spend holds what the service may spend.
	Spend Spend `json:"spend"`
	// Endpoints says what the service's endpoints check by themselves.
	Endpoints Endpoints `json:"endpoints"`
	// Workspaces are the customers that may call the service.
	Workspaces []Workspace `json:"workspaces" validate:"required,dive"`
	// IdempotencyWindow is how long outcomes of orders are kept.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty"`
	// Maintenance lists the landlord's planned stops.
	Maintenance []Maintenance `json:"maintenance,omitempty" validate:"dive"`
}

// Model is one model with its version and adapters.
type Model struct {
	// Name is what callers write in the member "model".
	Name string `json:"name" validate:"required,max=128"`
	// Version names the weights; changing it changes them on every engine.
	Version string `json:"version" validate:"required,max=64"`
	// Adapters are served under their own names beside the model.
	Adapters []string `json:"adapters,omitempty"`
}

// Route is one call of a plain service.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method" validate:"oneof=GET POST PUT PATCH DELETE"`
	// Path is matched as a prefix that ends at a slash.
	Path string `json:"path" validate:"startswith=/"`
	// Repeatable calls may run more than once.
	Repeatable bool `json:"repeatable"`
	// Lookup is a path that tells what became of an order; "{key}" stands
	// for the idempotency key. Empty when the service has none.
	Lookup string `json:"lookup,omitempty" validate:"omitempty,startswith=/"`
}

// Placement says where the service runs.
type Placement struct {
	// Zones are the availability zones that may be used.
	Zones []string `json:"availability_zones" validate:"required,dive,required"`
	// Classes are the machine classes that may be used.
	Classes []string `json:"machine_classes" validate:"required,dive,required"`
	// MinHosts is the least number of endpoint hosts.
	MinHosts int `json:"min_hosts" validate:"gte=0"`
	// MaxHosts is the greatest number of endpoint hosts.
	MaxHosts int `json:"max_hosts" validate:"gtefield=MinHosts"`
	// OnDemandShare is the least part of the hosts that is not reclaimable.
	OnDemandShare float64 `json:"on_demand_share" validate:"gte=0,lte=1"`
}

// Latency holds the targets for 95 in 100 requests.
type Latency struct {
	// FirstToken is the time from acceptance to the first token.
	FirstToken Duration `json:"first_token"`
	// BetweenTokens is the time between two tokens.
	BetweenTokens Duration `json:"between_tokens"`
	// RequestTimeout is the time from acceptance to the end of a request.
	RequestTimeout Duration `json:"request_timeout" validate:"required"`
	// MaxQueueWait is how long a request may wait for its start; one that
	// would wait longer is refused on arrival. Absent: as long as it can still
	// end before the request timeout.
	MaxQueueWait Duration `json:"max_queue_wait,omitempty"`
}

// Spend holds what the service may spend. Zero means no limit.
type Spend struct {
	// HostsPerHour bounds the price of the endpoint hosts, per hour.
	HostsPerHour float64 `json:"hosts_per_hour" validate:"gte=0"`
	// LinkBytesPerHour bounds the bytes that cross between regions, per hour.
	LinkBytesPerHour int64 `json:"link_bytes_per_hour" validate:"gte=0"`
}

// Endpoints says what the service's endpoints check by themselves.
type Endpoints struct {
	// ChecksFencing says that endpoints refuse an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// HonoursIdempotencyKeys says that endpoints answer a repeated key with the first answer.
	HonoursIdempotencyKeys bool `json:"honours_idempotency_keys"`
}

// Workspace is one customer of the service.
type Workspace struct {
	// Name is the workspace's name, unique in the service.
	Name string `json:"name" validate:"required,max=63"`
	// Keys are SHA-256 digests of bearer keys, as "sha256:" and 64 hex
	// digits. Several keys allow rotation; none means open access.
	Keys []string `json:"keys,omitempty" validate:"dive,startswith=sha256:,len=71"`
	// Weight is the share of the service under contention.
	Weight float64 `json:"weight" validate:"gt=0"`
	// MaxConcurrent bounds the requests in progress.
	MaxConcurrent int `json:"max_concurrent" validate:"gte=0"`
	// RequestsPerSecond bounds the rate of requests.
	RequestsPerSecond float64 `json:"requests_per_second" validate:"gte=0"`
	// SpendPerHour bounds the price of the workspace's requests, per hour.
	SpendPerHour float64 `json:"spend_per_hour" validate:"gte=0"`
}

// Maintenance is one planned stop of an availability zone or a host.
type Maintenance struct {
	// Zone is the availability zone that stops.
	Zone string `json:"availability_zone,omitempty" validate:"required_without=Host"`
	// Host is the host that stops, when it is not a whole zone.
	Host string `json:"host,omitempty"`
	// Starts is when the stop begins.
	Starts time.Time `json:"starts" validate:"required"`
	// Ends is when the hosts are back.
	Ends time.Time `json:"ends" validate:"required,gtfield=Starts"`
}

var check = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(JSONFieldName)
	return v
}

// ParseDocument reads a document written in JSON with comments and checks it.
// ErrInvalid names the field and, where known, the line.
func ParseDocument(text []byte) (*Document, error) {
	var doc Document
	if err := DecodeStrict(text, &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if err := CheckStruct(check, text, &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return &doc, nil
}

// RouteFor returns the route of a plain service that serves method and path.
// The longest matching path wins.
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

// HasModel reports whether the service runs the model or adapter name.
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

// Clone returns a deep copy by way of JSON.
func (d *Document) Clone() (*Document, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	var out Document
	err = json.Unmarshal(raw, &out)
	return &out, errors.Wrap(err, "decode document")
}

// DecodeStrict reads JSON with comments into v. Unknown fields and wrong types
// are errors that name field and line.
func DecodeStrict(text []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return errors.Wrap(err, "not JSON with comments")
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return locate(standard, dec, err)
	}
	if dec.More() {
		return errors.Errorf("line %d: text after the end of the document", LineAt(standard, dec.InputOffset()))
	}
	return nil
}

func locate(text []byte, dec *json.Decoder, err error) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return errors.Errorf("line %d: field %q: a %s does not fit here", LineAt(text, wrongType.Offset), wrongType.Field, wrongType.Value)
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

// LineAt returns the line, from 1, of a byte offset.
func LineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// LineOfKey returns the line of the first use of a key, or 1.
func LineOfKey(text []byte, key string) int {
	at := bytes.Index(text, []byte(`"`+key+`"`))
	return LineAt(text, int64(at))
}

// JSONFieldName returns the JSON name of a struct field for check messages.
// It goes with validator.RegisterTagNameFunc.
func JSONFieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// CheckStruct runs the field checks on v; the error names the first wrong
// field, its line in text and the rule it breaks.
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
