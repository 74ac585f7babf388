// Package client is the caller's side of cicadanotch: it asks which address to
// use, keeps the answer for its lifetime, attaches to a request again after a
// cut, and repeats only what cannot run twice.
//
// Every request gets its id before it is sent. A repeat carries the same id, so
// that a call that must run at most once is claimed under one key however often
// it is sent.
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

	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// Errors of this package. A refusal or failure that the system states is
// returned as a *problem.Problem.
var (
	// ErrNoAddress is returned when no seed answers with an address.
	ErrNoAddress = errors.New("no entry host answers")
	// ErrLost is returned when part of an answer has arrived and no entry
	// host knows the request any more.
	ErrLost = errors.New("the rest of the answer is lost")
	// ErrCut is returned when every try to go on with a request failed.
	ErrCut = errors.New("cut off from the request")
	// ErrBadEvent is returned for a stream event that does not parse.
	ErrBadEvent = errors.New("malformed event")
)

// Headers of the callers' protocol.
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
	// Seeds are the ip:port of entry hosts to ask for addresses first.
	Seeds []string
	// Service is the service whose addresses are asked for.
	Service string
	// Zone is the caller's availability zone; empty when it has none.
	Zone string
	// Key is the bearer key; Workspace is sent beside it.
	Key       string
	Workspace string
	// HTTP sends the requests; nil means a client with a transport of its
	// own. It must have no total timeout, or it cuts long answers.
	HTTP *http.Client
	// Rand chooses between addresses of equal rank; nil means the first.
	Rand *rand.Rand
	// Tries bounds the tries of one request in a row without progress; zero
	// means 20.
	Tries int
	// Pause is the time between two tries; zero means 200 ms.
	Pause time.Duration
	// SilenceLimit is how long a stream may send nothing, heartbeats
	// included, before the client attaches anew; zero means 15 s.
	SilenceLimit time.Duration
	// OnCut is called when a connection to an entry host ended before the
	// answer did; nil for none.
	OnCut func(id request.ID, address string, err error)
}

// Defaults of Options.
const (
	defaultTries        = 20
	defaultPause        = 200 * time.Millisecond
	defaultSilenceLimit = 15 * time.Second
	// addressTimeout bounds one question for addresses.
	addressTimeout = 3 * time.Second
)

// Client calls a deployment. Safe for concurrent use.
type Client struct {
	opts Options

	mu      sync.Mutex
	known   []Address
	expires time.Time
}

// New returns a client.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	}
	if opts.Tries == 0 {
		opts.Tries = defaultTries
	}
	if opts.Pause == 0 {
		opts.Pause = defaultPause
	}
	if opts.SilenceLimit == 0 {
		opts.SilenceLimit = defaultSilenceLimit
	}
	return &Client{opts: opts}
}

type addressReply struct {
	Addresses       []Address `json:"addresses"`
	LifetimeSeconds float64   `json:"lifetime_seconds"`
}

// Addresses returns the addresses to use, nearest first. An answer is kept
// for its lifetime; after it the known addresses are asked, then the seeds.
// ErrNoAddress.
func (c *Client) Addresses(ctx context.Context) ([]Address, error) {
	c.mu.Lock()
	known, fresh := c.known, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh && len(known) > 0 {
		return known, nil
	}
	for _, at := range c.sources(known) {
		reply, err := c.ask(ctx, at)
		if err != nil || len(reply.Addresses) == 0 {
			continue
		}
		c.keep(reply)
		return reply.Addresses, nil
	}
	return nil, ErrNoAddress
}

// sources lists whom to ask: the addresses known last, then the seeds.
func (c *Client) sources(known []Address) []string {
	out := make([]string, 0, len(known)+len(c.opts.Seeds))
	for _, a := range known {
		out = append(out, a.Address)
	}
	return append(out, c.opts.Seeds...)
}

func (c *Client) keep(reply addressReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = reply.Addresses
	c.expires = time.Now().Add(time.Duration(reply.LifetimeSeconds * float64(time.Second)))
}

// forget ends the lifetime of the kept answer: the next request asks again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) ask(ctx context.Context, at string) (addressReply, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	q := url.Values{"service": {c.opts.Service}, "workspace": {c.opts.Workspace}}
	if c.opts.Zone != "" {
		q.Set("availability_zone", c.opts.Zone)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/v1/addresses?"+q.Encode(), nil)
	if err != nil {
		return addressReply{}, errors.Wrap(err, "make request for addresses")
	}
	c.authorize(req)
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return addressReply{}, errors.Wrap(err, "ask for addresses")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return addressReply{}, errors.Errorf("addresses: status %d", resp.StatusCode)
	}
	var reply addressReply
	err = json.NewDecoder(resp.Body).Decode(&reply)
	return reply, errors.Wrap(err, "decode addresses")
}

// choose returns the address of a try: the first ones first, so that the
// nearest entry host is used unless it failed before.
func (c *Client) choose(ctx context.Context, try int) (string, error) {
	list, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	if try == 0 {
		return list[c.nearest(list)].Address, nil
	}
	return list[try%len(list)].Address, nil
}

// nearest returns the index of an address in the first address's zone.
func (c *Client) nearest(list []Address) int {
	if c.opts.Rand == nil {
		return 0
	}
	same := 1
	for same < len(list) && list[same].Zone == list[0].Zone {
		same++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Rand.IntN(same)
}

func (c *Client) authorize(req *http.Request) {
	if c.opts.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	}
	if c.opts.Workspace != "" {
		req.Header.Set(headerWorkspace, c.opts.Workspace)
	}
}

// pause waits between two tries; it reports whether to go on.
func (c *Client) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, c.opts.Pause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// mayRepeat reports whether a refusal allows the same request again: it did
// not run, and what stood against it can pass.
func mayRepeat(p *problem.Problem) bool {
	if p.Run != problem.RunNot {
		return false
	}
	return p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests
}
