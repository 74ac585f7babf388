// Package catalog holds the operator's configuration in the form used to serve requests:
// which route a request matches, which service runs it, and which workspace its key
// belongs to.
//
// Invariants: a Snapshot is immutable, so readers share it without a lock. The version
// held by a Table never decreases.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether the requests of a route may be retried or resumed.
type Kind string

// Kinds of routes.
const (
	KindStreaming     Kind = "streaming"
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non-idempotent"
)

// WeightedService is one service of a route with its weight. Weights need not add up to 1.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps the requests for a host name and path prefix to services.
type Route struct {
	Name       string
	Host       string // host name in the request
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective for the complete answer, or for the first
	// event of a stream. MaxGap is the longest pause between events that meets the
	// objective.
	Target time.Duration
	MaxGap time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts int
	// Public routes accept requests without a key.
	Public bool
	// Affinity routes serve prompts whose prefixes are cached by engines.
	Affinity bool
	// Resumable streams may continue on another endpoint after the last event.
	Resumable bool
}

// Repeatable reports whether a request may run again after an attempt whose
// outcome is unknown.
func (r *Route) Repeatable() bool { return r.Kind == KindIdempotent || r.Resumable }

// Service returns the service that runs a request, or "" if the route has none. The
// choice follows the weights and depends only on the request id.
func (r *Route) Service(requestID string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	const buckets = 1 << 20
	at := float64(xxhash.Sum64String(requestID)%buckets) / buckets * total
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Matches reports whether the route is one for a host name and path.
func (r *Route) Matches(host, path string) bool {
	return r.Host == host && strings.HasPrefix(path, r.PathPrefix)
}

// LeadsTo reports whether the route leads requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the KV cache size of one engine in tokens; TokenBytes is the
	// size of one token in the cache.
	CacheTokens int
	TokenBytes  float64
	// LinkBitsPerSecond is the bandwidth of KV cache transfers.
	LinkBitsPerSecond float64
	// SupportsMoves reports whether a running request may be moved to another engine.
	SupportsMoves bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// HandleTTL is how long a copied KV cache is retained.
	HandleTTL time.Duration
}

// FetchTokenMS returns how long the transfer of one cached token between engines takes, in milliseconds; zero if
// that is not known.
func (e *Engine) FetchTokenMS() float64 {
	if e.LinkBitsPerSecond <= 0 {
		return 0
	}
	const bitsPerByte, msPerSecond = 8, 1000
	return e.TokenBytes * bitsPerByte / e.LinkBitsPerSecond * msPerSecond
}

// Scaling limits the endpoints that may be ordered for a service in each availability
// zone.
type Scaling struct {
	Min, Max int
	// BootTime is the time from an order until the endpoint serves requests.
	BootTime time.Duration
	// SpotPrice is the price of a reclaimable endpoint as a fraction of the on-demand
	// price; zero if no reclaimable endpoints are available.
	SpotPrice float64
	// ZonePrices is the relative price of an endpoint per second, by availability
	// zone.
	ZonePrices map[string]float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections that one endpoint accepts
	// from all hosts together.
	MaxConnections int
	// Engine is nil for services without inference engines. Scaling is nil if
	// endpoints are not ordered for the service.
	Engine  *Engine
	Scaling *Scaling
}

// Limit is the rate limit of a workspace over all hosts together. A PerSecond of zero
// means no limit.
type Limit struct {
	// InTokens means that a request counts by its tokens; otherwise each counts as 1.
	InTokens bool
	// DefaultTokens is the number of tokens charged for a request that states none.
	DefaultTokens float64
	PerSecond     float64
	Burst         float64
}

// Workspace is a customer or tenant, identified by its keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	Limit    Limit
}

// RequestLimits limits the size and timing of requests from callers.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     RequestLimits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
	byName map[string]*Workspace
}

// BuildIndexes builds the indexes of a snapshot and returns the snapshot. It must be
// called once, before the snapshot is shared.
func (s *Snapshot) BuildIndexes() *Snapshot {
	s.byHost = map[string][]*Route{}
	for i := range s.Routes {
		r := &s.Routes[i]
		s.byHost[r.Host] = append(s.byHost[r.Host], r)
	}
	for _, routes := range s.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	s.byKey, s.byName = map[string]*Workspace{}, map[string]*Workspace{}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		s.byName[w.Name] = w
		for _, k := range w.Keys {
			s.byKey[k] = w
		}
	}
	return s
}

// Match returns the route of a host with the longest prefix of path, or nil if none
// matches. path must not contain a query.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// MovedRoutes returns the resumable routes of which requests lead to other services in the next version, or nowhere, and
// the services of these routes in both versions.
func (s *Snapshot) MovedRoutes(next *Snapshot) (routes []Route, services []string) {
	type key struct{ host, prefix string }
	added := map[key]*Route{}
	for i := range next.Routes {
		if r := &next.Routes[i]; r.Resumable {
			added[key{r.Host, r.PathPrefix}] = r
		}
	}
	compare := func(before, after *Route) {
		if after != nil && slices.Equal(before.Services, after.Services) {
			return
		}
		routes = append(routes, *before)
		for _, r := range []*Route{before, after} {
			if r != nil {
				for _, w := range r.Services {
					services = append(services, w.Service)
				}
			}
		}
	}
	for i := range s.Routes {
		before := &s.Routes[i]
		if !before.Resumable {
			continue
		}
		k := key{before.Host, before.PathPrefix}
		after := added[k]
		delete(added, k)
		if after == nil {
			after = next.Match(before.Host, before.PathPrefix)
		}
		compare(before, after)
	}
	for _, after := range added { // routes with longer prefixes take requests from others
		if before := s.Match(after.Host, after.PathPrefix); before != nil && before.Resumable {
			compare(before, after)
		}
	}
	slices.Sort(services)
	return routes, slices.Compact(services)
}

// Authenticate returns the workspace that a key belongs to, or nil if there is none.
func (s *Snapshot) Authenticate(key string) *Workspace {
	if key == "" {
		return nil
	}
	return s.byKey[key]
}

// Workspace returns the workspace with a name, or nil if there is none.
func (s *Snapshot) Workspace(name string) *Workspace { return s.byName[name] }

// Table holds the current snapshot. It is safe for concurrent use.
type Table struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the current snapshot, or nil before the first Install.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// Install makes s the current snapshot if its version is higher than the current one. It
// reports whether it did.
func (t *Table) Install(s *Snapshot) bool {
	for {
		old := t.current.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if t.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
