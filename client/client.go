// Package client is the library for callers of cicadanotch. It asks which entry
// hosts to use and caches the answer for its lifetime, attaches to a request again
// after a connection has failed, and repeats a request only if that cannot run it
// twice.
//
// Every request gets its id before it is sent, and repeats carry the same id. So a
// call that must run at most once is claimed under one key, however often it is
// sent.
package client

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// Errors of this package. A refusal or failure that the deployment reports is
// returned as a *problem.Problem.
var (
	// ErrNoAddress is returned when no known entry host and no seed answers with
	// an address.
	ErrNoAddress = errors.New("no entry host answers")
	// ErrLost is returned when part of an answer was received and no entry host
	// knows the request any more.
	ErrLost = errors.New("the rest of the answer is lost")
	// ErrDisconnected is returned when all tries to continue a request failed. It
	// is also the cause that OnDisconnect gets for a stream without a finish reason.
	ErrDisconnected = errors.New("connection to the request lost")
	// ErrBadEvent is the cause for a stream event that cannot be parsed or is
	// out of sequence.
	ErrBadEvent = errors.New("malformed event")
)

// Headers of the protocol for callers.
const (
	headerRequestID      = "Request-Id"
	headerWorkspace      = "Workspace"
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "Repeatable"
	headerLastEventID    = "Last-Event-ID"
)

// Address is one entry host that a caller may use.
type Address struct {
	Host    string `json:"host"`
	Region  string `json:"region"`
	Zone    string `json:"availability_zone"`
	Address string `json:"address"`
}

// Options set up a Client.
type Options struct {
	// Seeds are the addresses, as ip:port, of entry hosts to ask for the list of
	// addresses when no known one answers.
	Seeds []string
	// Service is the service for which addresses are requested.
	Service string
	// Zone is the caller's availability zone; empty if it has none.
	Zone string
	// Key is the bearer key. Workspace names the workspace; it is sent too.
	Key       string
	Workspace string
	// HTTP sends the requests; nil means a client with its own transport. It
	// must have no total timeout, which would truncate long answers.
	HTTP *http.Client
	// Rand chooses between the addresses in the nearest availability zone; nil
	// means that the first one is used.
	Rand *rand.Rand
	// MaxTries bounds the consecutive tries of one request without progress;
	// zero means 20.
	MaxTries int
	// RetryDelay is the minimum delay between two tries; zero means 200 ms.
	RetryDelay time.Duration
	// StallTimeout bounds the time for which nothing is received on a
	// connection, heartbeats included, before the client attaches to the request
	// again; zero means 15 s.
	StallTimeout time.Duration
	// OnDisconnect, if not nil, is called when a connection to an entry host failed
	// before the end of the answer.
	OnDisconnect func(id request.ID, address string, err error)
}

// Defaults of Options.
const (
	defaultMaxTries     = 20
	defaultRetryDelay   = 200 * time.Millisecond
	defaultStallTimeout = 15 * time.Second
	// addressTimeout bounds one request for addresses.
	addressTimeout = 3 * time.Second
)

// Client calls a deployment. Safe for concurrent use.
type Client struct {
	opts Options

	mu sync.Mutex
	// addresses is the cached list of addresses. It is current until expires;
	// after that its entries are asked for a new list.
	addresses []Address
	expires   time.Time
}

// New returns a client.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = jsonhttp.NewClient(jsonhttp.NewTransport(nil))
	}
	if opts.MaxTries == 0 {
		opts.MaxTries = defaultMaxTries
	}
	if opts.RetryDelay == 0 {
		opts.RetryDelay = defaultRetryDelay
	}
	if opts.StallTimeout == 0 {
		opts.StallTimeout = defaultStallTimeout
	}
	return &Client{opts: opts}
}

type addressReply struct {
	Addresses       []Address `json:"addresses"`
	LifetimeSeconds float64   `json:"lifetime_seconds"`
}

// Addresses returns the addresses to use, nearest first. The list is cached for its
// lifetime. After that the known addresses are asked for a new one, then the seeds.
// Addresses returns ErrNoAddress if none of them answers with an address.
func (c *Client) Addresses(ctx context.Context) ([]Address, error) {
	c.mu.Lock()
	known, current := c.addresses, time.Now().Before(c.expires)
	c.mu.Unlock()
	if current && len(known) > 0 {
		return known, nil
	}
	for _, address := range c.sources(known) {
		reply, err := c.fetchAddresses(ctx, address)
		if err != nil || len(reply.Addresses) == 0 {
			continue
		}
		c.cache(reply)
		return reply.Addresses, nil
	}
	return nil, ErrNoAddress
}

// sources returns the entry hosts to ask for addresses: the known addresses, then
// the seeds.
func (c *Client) sources(known []Address) []string {
	out := make([]string, 0, len(known)+len(c.opts.Seeds))
	for _, a := range known {
		out = append(out, a.Address)
	}
	return append(out, c.opts.Seeds...)
}

func (c *Client) cache(reply addressReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = reply.Addresses
	c.expires = time.Now().Add(time.Duration(reply.LifetimeSeconds * float64(time.Second)))
}

// expire ends the lifetime of the cached list, so that the next use fetches it again.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) fetchAddresses(ctx context.Context, address string) (addressReply, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	q := url.Values{"service": {c.opts.Service}, "workspace": {c.opts.Workspace}}
	if c.opts.Zone != "" {
		q.Set("availability_zone", c.opts.Zone)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses?"+q.Encode(), nil)
	if err != nil {
		return addressReply{}, errors.Wrap(err, "make address request")
	}
	c.authorize(req)
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return addressReply{}, errors.Wrap(err, "request addresses")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return addressReply{}, errors.Errorf("addresses: status %d, want 200", resp.StatusCode)
	}
	var reply addressReply
	err = json.NewDecoder(resp.Body).Decode(&reply)
	return reply, errors.Wrap(err, "decode addresses")
}

// chooseAddress returns the address for a try, counted from 0: for the first try one
// in the nearest availability zone, after that one address after the other. A host
// farther away is thus used only after a try has failed.
func (c *Client) chooseAddress(ctx context.Context, try int) (string, error) {
	list, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	if try == 0 {
		return list[c.chooseNearest(list)].Address, nil
	}
	return list[try%len(list)].Address, nil
}

// chooseNearest returns the index of an address in the availability zone of the first
// address.
func (c *Client) chooseNearest(list []Address) int {
	if c.opts.Rand == nil {
		return 0
	}
	inZone := 1
	for inZone < len(list) && list[inZone].Zone == list[0].Zone {
		inZone++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Rand.IntN(inZone)
}

func (c *Client) authorize(req *http.Request) {
	if c.opts.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	}
	if c.opts.Workspace != "" {
		req.Header.Set(headerWorkspace, c.opts.Workspace)
	}
}

// waitRetryDelay waits for d, and at least for Options.RetryDelay, before the next try.
// It returns false if ctx ends first.
func (c *Client) waitRetryDelay(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, c.opts.RetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// retryable reports whether the same request may be sent again after a refusal: it
// did not run, and the cause of the refusal is temporary.
func retryable(p *problem.Problem) bool {
	if p.Run != problem.RunNot {
		return false
	}
	return p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests
}
