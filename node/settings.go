package node

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/memory"
)

// ErrSettings is returned for invalid settings; the message names the field and
// line.
var ErrSettings = errors.New("invalid settings")

// Settings configure one entry host. The file format is JSON with comments.
type Settings struct {
	// Host is the host's id in the platform's list.
	Host string `json:"host" validate:"required"`
	// Region is the region of the host.
	Region string `json:"region" validate:"required"`
	// Zone is the availability zone of the host.
	Zone string `json:"availability_zone" validate:"required"`
	// CallerAddress is the ip:port to listen on for callers.
	CallerAddress string `json:"caller_address" validate:"required,ip_port"`
	// PeerAddress is the ip:port to listen on for other entry hosts.
	PeerAddress string `json:"peer_address" validate:"required,ip_port"`
	// OperatorAddress is the ip:port to listen on for operators.
	OperatorAddress string `json:"operator_address" validate:"required,ip_port"`
	// LogURL is the base URL of the platform's log service.
	LogURL string `json:"log_url" validate:"required,url"`
	// CloudURL is the base URL of the platform's cloud API.
	CloudURL string `json:"cloud_url" validate:"required,url"`
	// PeerTLS holds the keys for mutual TLS between entry hosts.
	PeerTLS *PeerTLS `json:"peer_tls,omitempty"`
	// AllowPlainPeers permits connections from peers without TLS on addresses
	// other than loopback.
	AllowPlainPeers bool `json:"allow_plain_peers,omitempty"`
	// Workers is the number of workers that run background jobs.
	Workers int `json:"workers,omitempty" validate:"gte=0,lte=256"`
	// PollInterval is the interval at which the platform's host list is polled.
	PollInterval config.Duration `json:"poll_interval,omitempty"`
	// LoadInterval is the interval at which the load of each endpoint is polled.
	LoadInterval config.Duration `json:"load_interval,omitempty"`
	// AddressTTL is how long callers may cache an address answer; during a
	// planned stop the host continues to serve them for that long.
	AddressTTL config.Duration `json:"address_lifetime,omitempty"`
	// LogRetention is how long the platform's log retains a record.
	LogRetention config.Duration `json:"log_retention,omitempty"`
	// MaxBodyBytes is the maximum size of a request body, in bytes; at most five sixteenths of the memory.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" validate:"gte=0"`
	// MemoryMB is what the process may hold in memory, in MiB; 0 means 256. Callers that would take more than a part of it are refused.
	MemoryMB int `json:"memory_mb,omitempty" validate:"gte=0"`
	// MaxDescriptors is how many descriptors the process may open; 0 means the limit that it is started with. Callers' connections get less than half of them.
	MaxDescriptors int `json:"max_descriptors,omitempty" validate:"gte=0"`
}

// PeerTLS names the PEM files of an entry host's key pair and of the authority
// that signs the certificates of its peers.
type PeerTLS struct {
	// CertFile contains the certificate, whose name is the id of the host.
	CertFile string `json:"cert_file" validate:"required"`
	// KeyFile contains the private key.
	KeyFile string `json:"key_file" validate:"required"`
	// CAFile contains the certificates of the authority.
	CAFile string `json:"ca_file" validate:"required"`
}

// Default settings.
const (
	DefaultWorkers      = 8
	DefaultPollInterval = 500 * time.Millisecond
	DefaultLoadInterval = 200 * time.Millisecond
	DefaultLogRetention = 24 * time.Hour
	DefaultMaxBodyBytes = 4 << 20
	DefaultMemoryMB     = 256
	// DefaultAddressTTL is how long callers may cache an address answer.
	DefaultAddressTTL = 10 * time.Second
)

// LoadSettings reads a settings file. Its errors are ErrSettings.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	s, err := ParseSettings(text)
	return s, errors.Wrap(err, path)
}

// ParseSettings decodes settings, fills in defaults and validates them. Its
// errors are ErrSettings.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	if err := config.DecodeStrict(text, &s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	if err := config.CheckStruct(settingsValidator, text, &s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	s = s.withDefaults()
	if err := s.checkBodyFits(text); err != nil {
		return s, err
	}
	return s, s.checkPeerBind(text)
}

func (s Settings) withDefaults() Settings {
	if s.Workers == 0 {
		s.Workers = DefaultWorkers
	}
	if s.PollInterval == 0 {
		s.PollInterval = config.Duration(DefaultPollInterval)
	}
	if s.LoadInterval == 0 {
		s.LoadInterval = config.Duration(DefaultLoadInterval)
	}
	if s.AddressTTL == 0 {
		s.AddressTTL = config.Duration(DefaultAddressTTL)
	}
	if s.LogRetention == 0 {
		s.LogRetention = config.Duration(DefaultLogRetention)
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = DefaultMemoryMB
	}
	return s
}

// checkBodyFits rejects a size of bodies for which the memory would never have room.
func (s Settings) checkBodyFits(text []byte) error {
	account := memory.NewAccount(int64(s.MemoryMB) << 20)
	if account.Fits(memory.KindBody, s.MaxBodyBytes) {
		return nil
	}
	_, limit := account.Usage(memory.KindBody)
	key := "max_body_bytes"
	if !bytes.Contains(text, []byte(key)) { // its default is too large
		key = "memory_mb"
	}
	line := config.LineOfKey(text, key)
	return errors.Wrapf(ErrSettings, `line %d: field "max_body_bytes" is %d, expected at most %d with "memory_mb" %d`, line, s.MaxBodyBytes, limit, s.MemoryMB)
}

// checkPeerBind rejects a peer address that is reachable from other machines
// without TLS, unless that is allowed explicitly.
func (s Settings) checkPeerBind(text []byte) error {
	if s.PeerTLS != nil || s.AllowPlainPeers {
		return nil
	}
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err == nil && net.ParseIP(host).IsLoopback() {
		return nil
	}
	line := config.LineOfKey(text, "peer_address")
	return errors.Wrapf(ErrSettings, `line %d: field "peer_address" is not loopback: set "peer_tls" or "allow_plain_peers"`, line)
}

var settingsValidator = newSettingsValidator()

func newSettingsValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(config.JSONFieldName)
	err := v.RegisterValidation("ip_port", func(f validator.FieldLevel) bool {
		host, _, err := net.SplitHostPort(f.Field().String())
		return err == nil && net.ParseIP(host) != nil
	})
	if err != nil {
		panic(err) // tag and function are constant, so any error shows on every start
	}
	return v
}
