// Package platform runs the stand-ins for the platform and the endpoints in one process, configured
// by a JSON file with comments.
package platform

import (
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/standin"
)

// ErrSettings is returned for invalid settings; the message names the field and, where known, the
// line.
var ErrSettings = errors.New("invalid stand-in settings")

// Targets of faults other than endpoints.
const (
	TargetLog   = "log"
	TargetCloud = "cloud"
)

// Settings describes the stand-ins to run.
type Settings struct {
	// Log configures the stand-in for the platform's append-only log.
	Log LogSettings `json:"log"`
	// Cloud configures the cloud API.
	Cloud CloudSettings `json:"cloud"`
	// EntryHosts are added to the host list unchanged; they are not started.
	EntryHosts []port.Host `json:"entry_hosts,omitempty"`
	// Endpoints are started and added to the host list.
	Endpoints []EndpointSettings `json:"endpoints,omitempty" validate:"dive"`
	// Faults are the faults added once all stand-ins are started; POST /control/faults adds more.
	Faults []FaultRow `json:"faults,omitempty" validate:"dive"`
}

// LogSettings configures the stand-in for the platform's append-only log.
type LogSettings struct {
	// Address is the ip:port to listen at.
	Address string `json:"address" validate:"required"`
	// AppendsPerSecond is the maximum rate of appends; 0 means 500.
	AppendsPerSecond float64 `json:"appends_per_second,omitempty" validate:"gte=0"`
	// Retention is the number of newest records that are retained; 0 retains all.
	Retention int `json:"retention,omitempty" validate:"gte=0"`
}

// CloudSettings configures the cloud API and its host list.
type CloudSettings struct {
	// Address is the ip:port to listen at.
	Address string `json:"address" validate:"required"`
	// Lag is how long after the start or removal of a host the host list shows it.
	Lag config.Duration `json:"lag,omitempty"`
	// Prices are the prices that the cloud API returns.
	Prices []port.Price `json:"prices,omitempty"`
}

// EndpointSettings configures one endpoint.
type EndpointSettings struct {
	// Host is the endpoint's entry in the host list; the endpoint listens at its endpoint_address.
	Host port.Host `json:"host"`
	// Models are the models of a model engine; without models the endpoint is a plain service.
	Models []string `json:"models,omitempty"`
	// MaxRunning is the maximum number of requests that run at once; 0 means 16.
	MaxRunning int `json:"max_running,omitempty" validate:"gte=0"`
	// PrefillTokensPerSecond is the prefill speed; 0 means 8,000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty" validate:"gte=0"`
	// TokenInterval is the time between tokens; 0 means 20ms.
	TokenInterval config.Duration `json:"token_interval,omitempty"`
	// CacheBlocks is the size of the prefix cache in blocks; 0 means 4,096.
	CacheBlocks int `json:"cache_blocks,omitempty" validate:"gte=0"`
	// EventLag is the minimum age of the cache events that the engine returns.
	EventLag config.Duration `json:"event_lag,omitempty"`
	// ReportLag is the minimum age of the load reports that the engine returns, once it has one that old.
	ReportLag config.Duration `json:"report_lag,omitempty"`
	// ChecksFencing makes the engine reject commands with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// HonoursIdempotencyKeys makes the service reply to a repeated idempotency key with the first answer.
	HonoursIdempotencyKeys bool `json:"honours_idempotency_keys,omitempty"`
	// CrashMarker is a text that crashes the engine when a prompt contains it; empty disables this.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Work is the time that a plain service takes for one call.
	Work config.Duration `json:"work,omitempty"`
}

// FaultRow is one fault of a target: the log, the cloud, or an endpoint by its host id. It applies
// to a call only if both the number of the call at the point and the time are within its bounds.
type FaultRow struct {
	// Target is "log", "cloud" or an endpoint's host id.
	Target string `json:"target" validate:"required"`
	// Point is the place of the fault: append, read, hosts, notices, start, generate, chunk, load, cache-events, order, export, import, call or health.
	Point standin.Point `json:"point" validate:"required"`
	// Action is the effect of the fault: fail, lose-reply, delay, refuse, silence, truncate, repeat, foreign, drop or crash.
	Action standin.Action `json:"action" validate:"required"`
	// FromCall is the first call that the fault applies to, counted from 1; 0 means no lower bound.
	FromCall int `json:"from_call,omitempty" validate:"gte=0"`
	// ToCall is the last call that the fault applies to; 0 means no upper bound.
	ToCall int `json:"to_call,omitempty" validate:"gte=0"`
	// From is the time since the start of the target's stand-in at which the fault begins.
	From config.Duration `json:"from,omitempty"`
	// To is the time since the start of the target's stand-in at which the fault ends; 0 means that it does not end.
	To config.Duration `json:"to,omitempty"`
	// Delay is the time by which the action delay holds up a call.
	Delay config.Duration `json:"delay,omitempty"`
}

// Fault converts the row to a standin.Fault.
func (r FaultRow) Fault() standin.Fault {
	return standin.Fault{
		Point: r.Point, Action: r.Action, FromCall: r.FromCall, ToCall: r.ToCall,
		From: r.From.Std(), To: r.To.Std(), Delay: r.Delay.Std(),
	}
}

// LoadSettings reads and checks a settings file. Errors wrap ErrSettings.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	s, err := ParseSettings(text)
	return s, errors.Wrap(err, path)
}

// ParseSettings parses and checks settings. Errors wrap ErrSettings.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	if err := config.DecodeStrict(text, &s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	if err := config.CheckStruct(newValidator(), text, &s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	return s, nil
}

// newValidator returns a validator that names fields by their JSON names.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(config.JSONFieldName)
	return v
}
