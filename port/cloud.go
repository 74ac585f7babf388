package port

import (
	"context"
	"errors"
	"time"
)

// Errors that a Cloud returns.
var (
	// ErrCloudUnavailable means that the cloud API did not answer. A start
	// or stop that fails with it may still have taken effect.
	ErrCloudUnavailable = errors.New("cloud API unavailable")
	// ErrStartRefused means that the cloud has no host of the class available.
	ErrStartRefused = errors.New("host start refused")
)

// HostRole is what runs on a host.
type HostRole string

// Roles of hosts.
const (
	RoleEntry    HostRole = "entry"
	RoleEndpoint HostRole = "endpoint"
)

// HostState is the state that the platform's list shows for a host.
type HostState string

// States of hosts in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one row of the platform's host list. The list lags: a row may name a host
// that no longer exists, and a new host may be missing.
type Host struct {
	ID     string   `json:"id"`
	Role   HostRole `json:"role"`
	Region string   `json:"region"`
	Zone   string   `json:"availability_zone"`
	// Class is the machine class.
	Class string `json:"machine_class,omitempty"`
	// Service names the service that an endpoint host runs.
	Service string `json:"service,omitempty"`
	// Reclaimable hosts can be reclaimed by the platform on short notice.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// PricePerHour is in the deployment's currency.
	PricePerHour float64   `json:"price_per_hour,omitempty"`
	State        HostState `json:"state"`
	// CallerAddress is the ip:port of an entry host for callers.
	CallerAddress string `json:"caller_address,omitempty"`
	// PeerAddress is the ip:port of an entry host for other entry hosts.
	PeerAddress string `json:"peer_address,omitempty"`
	// OperatorAddress is the ip:port of an entry host for operators.
	OperatorAddress string `json:"operator_address,omitempty"`
	// EndpointAddress is the ip:port of an endpoint.
	EndpointAddress string `json:"endpoint_address,omitempty"`
	// StartToken is the token of the request that started the host.
	StartToken string `json:"start_token,omitempty"`
}

// NoticeKind is what a notice announces.
type NoticeKind string

// Kinds of notices.
const (
	// NoticeReclaim announces that the platform reclaims the host at the deadline.
	NoticeReclaim NoticeKind = "reclaim"
	// NoticeMaintenance announces a planned stop. The host waits for the requests in
	// progress until the deadline.
	NoticeMaintenance NoticeKind = "maintenance"
	// NoticeWithdrawn cancels an earlier notice.
	NoticeWithdrawn NoticeKind = "withdrawn"
)

// Notice announces the end of one host.
type Notice struct {
	// Sequence increases by one with each notice of the cloud API.
	Sequence int64      `json:"sequence"`
	Host     string     `json:"host"`
	Kind     NoticeKind `json:"kind"`
	Deadline time.Time  `json:"deadline"`
}

// StartRequest requests one host. Two requests with the same Token return the same
// host.
type StartRequest struct {
	Token       string `json:"token"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	Zone        string `json:"availability_zone"`
	Class       string `json:"machine_class"`
	Reclaimable bool   `json:"reclaimable"`
}

// Price is the price of one hour of a host of a class in an availability zone.
type Price struct {
	Region       string  `json:"region"`
	Zone         string  `json:"availability_zone"`
	Class        string  `json:"machine_class"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"price_per_hour"`
}

// Cloud is the platform's cloud API together with its lagging host list.
type Cloud interface {
	// Hosts returns the lagging list of live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
	// Notices returns the notices with a sequence number above after. If there are
	// none, it waits up to wait for one.
	Notices(ctx context.Context, after int64, wait time.Duration) ([]Notice, error)
	// Start starts a host, or returns the host already started with the token.
	Start(ctx context.Context, req StartRequest) (Host, error)
	// Stop returns a host to the cloud. It is idempotent.
	Stop(ctx context.Context, hostID string) error
	// Prices returns the current prices.
	Prices(ctx context.Context) ([]Price, error)
}
