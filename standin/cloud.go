package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// StartFunc starts an endpoint for a start request and returns its host.
type StartFunc func(req port.StartRequest, id string) (port.Host, error)

// CloudOptions configures a Cloud.
type CloudOptions struct {
	// Lag is the delay with which the host list shows a started or removed host.
	Lag    time.Duration
	Prices []port.Price
	// OnStart starts a host; if it is nil, every start is refused.
	OnStart StartFunc
	// OnStop stops a host; nil does nothing.
	OnStop func(id string)
	Faults *Faults
}

// Cloud is an in-memory implementation of the platform's cloud API. Its host list lags behind.
type Cloud struct {
	opts CloudOptions

	mu      sync.Mutex
	hosts   []listedHost
	notices []port.Notice
	changed chan struct{}
	started int
}

type listedHost struct {
	host port.Host
	// listedAt is when the host appears in the list, removedAt when it disappears.
	listedAt  time.Time
	removedAt time.Time
}

var _ port.Cloud = (*Cloud)(nil)

// NewCloud returns a cloud without hosts.
func NewCloud(opts CloudOptions) *Cloud {
	return &Cloud{opts: opts, changed: make(chan struct{})}
}

// AddHost adds a host to the list without a lag.
func (c *Cloud) AddHost(h port.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, listedHost{host: h})
}

// RemoveHost removes a host from the list after the lag.
func (c *Cloud) RemoveHost(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.hosts {
		if c.hosts[i].host.ID == id && c.hosts[i].removedAt.IsZero() {
			c.hosts[i].removedAt = time.Now().Add(c.opts.Lag)
		}
	}
}

// AddNotice adds a notice and sets the state of the host: leaving, or live again if the notice is
// withdrawn.
func (c *Cloud) AddNotice(host string, kind port.NoticeKind, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := port.Notice{Sequence: int64(len(c.notices) + 1), Host: host, Kind: kind, Deadline: deadline}
	c.notices = append(c.notices, n)
	state := port.HostLeaving
	if kind == port.NoticeWithdrawn {
		state = port.HostLive
	}
	for i := range c.hosts {
		if c.hosts[i].host.ID == host {
			c.hosts[i].host.State = state
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Hosts implements port.Cloud.
func (c *Cloud) Hosts(ctx context.Context) ([]port.Host, error) {
	if err := c.checkFault(ctx, PointHosts); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	out := make([]port.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		removed := !h.removedAt.IsZero() && now.After(h.removedAt)
		if !removed && now.After(h.listedAt) {
			out = append(out, h.host)
		}
	}
	return out, nil
}

// Notices implements port.Cloud.
func (c *Cloud) Notices(ctx context.Context, after int64, wait time.Duration) ([]port.Notice, error) {
	if err := c.checkFault(ctx, PointNotices); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		start := min(max(after, 0), int64(len(c.notices)))
		out, changed := slices.Clone(c.notices[start:]), c.changed
		c.mu.Unlock()
		if len(out) > 0 || wait == 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, port.ErrCloudUnavailable
		}
	}
}

// Start implements port.Cloud.
func (c *Cloud) Start(ctx context.Context, req port.StartRequest) (port.Host, error) {
	fault, hit := c.opts.Faults.Check(PointStart)
	if hit && fault.Action == ActionFail {
		return port.Host{}, port.ErrCloudUnavailable
	}
	if hit && fault.Action == ActionRefuse {
		return port.Host{}, port.ErrStartRefused
	}
	host, err := c.start(req)
	if hit && fault.Action == ActionLoseReply {
		return port.Host{}, port.ErrCloudUnavailable
	}
	return host, err
}

func (c *Cloud) start(req port.StartRequest) (port.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.host.StartToken == req.Token && h.removedAt.IsZero() {
			return h.host, nil
		}
	}
	if c.opts.OnStart == nil {
		return port.Host{}, port.ErrStartRefused
	}
	c.started++
	host, err := c.opts.OnStart(req, fmt.Sprintf("%s-%s-%d", req.Service, req.Zone, c.started))
	if err != nil {
		return port.Host{}, port.ErrStartRefused
	}
	host.StartToken = req.Token
	c.hosts = append(c.hosts, listedHost{host: host, listedAt: time.Now().Add(c.opts.Lag)})
	return host, nil
}

// Stop implements port.Cloud.
func (c *Cloud) Stop(_ context.Context, hostID string) error {
	c.RemoveHost(hostID)
	if c.opts.OnStop != nil {
		c.opts.OnStop(hostID)
	}
	return nil
}

// SetPrices replaces the prices.
func (c *Cloud) SetPrices(prices []port.Price) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Prices = prices
}

// Prices implements port.Cloud.
func (c *Cloud) Prices(context.Context) ([]port.Price, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.opts.Prices), nil
}

// checkFault injects the faults of a point: a delay, or for any other action an error.
func (c *Cloud) checkFault(ctx context.Context, p Point) error {
	fault, hit := c.opts.Faults.Check(p)
	if !hit {
		return nil
	}
	if fault.Action == ActionDelay && sleep(ctx, fault.Delay) {
		return nil
	}
	return port.ErrCloudUnavailable
}

// CloudHandler serves a cloud over HTTP in the protocol of package cloudhttp.
func CloudHandler(c port.Cloud) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := c.Hosts(r.Context())
		cloudReply(w, hosts, err)
	})
	mux.HandleFunc("GET /notices", func(w http.ResponseWriter, r *http.Request) {
		after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		waitMS, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		if err := errors.Join(err1, err2); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		notices, err := c.Notices(r.Context(), after, time.Duration(waitMS)*time.Millisecond)
		cloudReply(w, notices, err)
	})
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, r *http.Request) {
		var req port.StartRequest
		if !ReadJSON(w, r, &req) {
			return
		}
		host, err := c.Start(r.Context(), req)
		cloudReply(w, host, err)
	})
	mux.HandleFunc("DELETE /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		cloudReply(w, struct{}{}, c.Stop(r.Context(), r.PathValue("id")))
	})
	mux.HandleFunc("GET /prices", func(w http.ResponseWriter, r *http.Request) {
		prices, err := c.Prices(r.Context())
		cloudReply(w, prices, err)
	})
	return mux
}

func cloudReply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, port.ErrStartRefused):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		jsonhttp.Write(w, http.StatusOK, v)
	}
}
