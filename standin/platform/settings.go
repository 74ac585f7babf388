// Package platform runs the stand-ins for the platform and the endpoints as
// one process, from settings in JSON with comments.
package platform

import (
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/standin"
)

// ErrSettings is returned for settings that fail their checks; the text names
// field and line.
var ErrSettings = errors.New("invalid stand-in settings")

// Targets of faults that are no endpoint.
const (
	TargetLog   = "log"
	TargetCloud = "cloud"
)

// Settings describe the stand-ins to run.
type Settings struct {
	// Log sets up the log service.
	Log LogSettings `json:"log"`
	// Cloud sets up the cloud API.
	Cloud CloudSettings `json:"cloud"`
	// EntryHosts are listed as they stand.
	EntryHosts []port.Host `json:"entry_hosts,omitempty"`
	// Endpoints are started and listed.
	Endpoints []EndpointSettings `json:"endpoints,omitempty" validate:"dive"`
	// Faults are in force from the start.
	Faults []FaultRow `json:"faults,omitempty" validate:"dive"`
}

// LogSettings set up the log service.
type LogSettings struct {
	// Address is the ip:port to listen at.
	Address string `json:"address" validate:"required"`
	// AppendsPerSecond limits appends; 0 means 500.
	AppendsPerSecond float64 `json:"appends_per_second,omitempty" validate:"gte=0"`
	// Retention is how many records are kept; 0 keeps all.
	Retention int `json:"retention,omitempty" validate:"gte=0"`
}

// CloudSettings set up the cloud API and its host list.
type CloudSettings struct {
	// Address is the ip:port to listen at.
	Address string `json:"address" validate:"required"`
	// Lag is how late the host list shows a change.
	Lag config.Duration `json:"lag,omitempty"`
	// Prices are what the cloud API answers.
	Prices []port.Price `json:"prices,omitempty"`
}

// EndpointSettings set up one endpoint. Its address is where it listens.
type EndpointSettings struct {
	// Host is the endpoint's row in the host list; it listens at its endpoint_address.
	Host port.Host `json:"host"`
	// Models makes it a model engine; without models it is a plain service.
	Models []string `json:"models,omitempty"`
	// MaxRunning is how many requests run at once; 0 means 16.
	MaxRunning int `json:"max_running,omitempty" validate:"gte=0"`
	// PrefillTokensPerSecond is the prefill speed; 0 means 8,000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty" validate:"gte=0"`
	// TokenInterval is the time between tokens; 0 means 20ms.
	TokenInterval config.Duration `json:"token_interval,omitempty"`
	// CacheBlocks bounds the prefix cache; 0 means 4,096.
	CacheBlocks int `json:"cache_blocks,omitempty" validate:"gte=0"`
	// EventLag is how late cache events come.
	EventLag config.Duration `json:"event_lag,omitempty"`
	// ReportLag is how old load reports are.
	ReportLag config.Duration `json:"report_lag,omitempty"`
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// HonoursIdempotencyKeys makes the service answer a repeated key with the first answer.
	HonoursIdempotencyKeys bool `json:"honours_idempotency_keys,omitempty"`
	// CrashMarker in a prompt crashes the engine.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Work is how long a plain service works on one call.
	Work config.Duration `json:"work,omitempty"`
}

// FaultRow is one fault of a target: the log, the cloud, or an endpoint by its
// host id.
type FaultRow struct {
	// Target is "log", "cloud" or an endpoint's host id.
	Target string `json:"target" validate:"required"`
	// Point is where the fault happens: append, read, hosts, notices, start, generate, chunk, load, cache-events, order, export, import, call or health.
	Point standin.Point `json:"point" validate:"required"`
	// Action is what happens: fail, lose-reply, delay, refuse, silence, truncate, repeat, foreign, drop or crash.
	Action standin.Action `json:"action" validate:"required"`
	// FromCall is the first call that meets the fault, counted from 1.
	FromCall int `json:"from_call,omitempty" validate:"gte=0"`
	// ToCall is the last call that meets the fault.
	ToCall int `json:"to_call,omitempty" validate:"gte=0"`
	// From is the time since the start at which the fault begins.
	From config.Duration `json:"from,omitempty"`
	// To is the time since the start at which the fault ends.
	To config.Duration `json:"to,omitempty"`
	// Delay is how long a delayed call is held up.
	Delay config.Duration `json:"delay,omitempty"`
}

// Fault returns the row as the stand-ins take it.
func (r FaultRow) Fault() standin.Fault {
	return standin.Fault{
		Point: r.Point, Action: r.Action, FromCall: r.FromCall, ToCall: r.ToCall,
		From: r.From.Std(), To: r.To.Std(), Delay: r.Delay.Std(),
	}
}

// LoadSettings reads a settings file; ErrSettings.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	s, err := ParseSettings(text)
	return s, errors.Wrap(err, path)
}

// ParseSettings reads and checks settings; ErrSettings.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	if err := config.DecodeStrict(text, &s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	if err := config.CheckStruct(newCheck(), text, &s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	return s, nil
}

func newCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(config.JSONFieldName)
	return v
}
