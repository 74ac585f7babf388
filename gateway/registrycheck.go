package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// A host that continues a stream without a record must know every software version that may have begun it. What it
// has read of the registry does not tell: another host may have read a new version since, begun the stream there and
// failed. Only a read of the registry that begins after the caller's request shows all versions that were listed when
// the stream began. Clocks take no part in that, so a host that stood still or was suspended is no exception.
//
// Checks that are asked for while one runs share the next one. A host whose reads go through a relay has the relay
// check, so that the calls to the store grow with the relays.

// methodCheckRegistry asks a host to check the registry.
const methodCheckRegistry = "gateway.check-registry"

const (
	// registryCheckTimeout bounds a check as its callers wait for it: they give a stream up after two seconds without
	// an event.
	registryCheckTimeout = 800 * time.Millisecond
	// relayCheckTimeout bounds the call to the relay, which leaves time for a read by this host.
	relayCheckTimeout = 300 * time.Millisecond
	// lostCheckTimeout bounds a read of the store that has not answered the last read of the registry: a caller is
	// refused soon if nobody knows.
	lostCheckTimeout = 150 * time.Millisecond
	// registryCheckInterval is the least time between the starts of two checks: each is a call to the store.
	registryCheckInterval = 50 * time.Millisecond
	// maxCheckPages bounds the pages of a check. A host that is further behind cannot check.
	maxCheckPages = 4
)

// errConfigurationBehind means that there is a configuration that this host has not in force yet.
var errConfigurationBehind = errors.New("a later configuration is not in force yet")

// errBehind means that the registry holds more records than a check reads.
var errBehind = errors.New("too many records of the registry are unread")

// registryCheck is a check that has ended when done is closed; err is nil if it succeeded.
type registryCheck struct {
	done chan struct{}
	err  error
}

// checkQueue runs one check at a time. Whoever asks gets one that begins afterwards.
type checkQueue struct {
	run func(context.Context) error

	mu      sync.Mutex
	running *registryCheck
	next    *registryCheck
	beganAt time.Time
}

// ask returns when a check that has begun after the call has succeeded, or its error.
func (q *checkQueue) ask(ctx, life context.Context) error {
	q.mu.Lock()
	c := q.next
	if c == nil {
		c = &registryCheck{done: make(chan struct{})}
		q.next = c
		go q.start(life, c, q.running)
	}
	q.mu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *checkQueue) start(life context.Context, c, previous *registryCheck) {
	defer close(c.done)
	if previous != nil {
		<-previous.done
	}
	q.mu.Lock()
	pause := registryCheckInterval - time.Since(q.beganAt)
	q.mu.Unlock()
	if pause > 0 {
		select {
		case <-time.After(pause):
		case <-life.Done():
		}
	}
	q.mu.Lock()
	q.running, q.next, q.beganAt = c, nil, time.Now()
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(life, registryCheckTimeout)
	defer cancel()
	c.err = q.run(ctx)
}

// registryPosition is how far a host has read and applied the registry.
type registryPosition struct {
	era    port.Era
	offset int64
	// settledAt is when the entries of the registry are complete again after a change of the era.
	settledAt time.Time
}

// registryChecks is this host's state of checks.
type registryChecks struct {
	position atomic.Pointer[registryPosition] // nil before the first read
	// configuration is how far the configuration has been read, nil before the first read.
	configuration atomic.Pointer[registryPosition]
	// lost is set while the last read of the registry has failed.
	lost atomic.Bool
	// own serves this host; direct, which reads the store, also other hosts.
	own, direct checkQueue
}

func newRegistryChecks(g *Gateway) *registryChecks {
	return &registryChecks{own: checkQueue{run: g.checkAnywhere}, direct: checkQueue{run: g.checkAtStore}}
}

// checkRegistry returns nil once this host knows all software versions that were listed when it was called.
func (g *Gateway) checkRegistry(ctx context.Context) error {
	return g.checks.own.ask(ctx, g.context())
}

// checkAnywhere checks by the relay or, if that fails, by a read of the store or, if the store does not answer this
// host, by the host that would be the relay in its place.
func (g *Gateway) checkAnywhere(ctx context.Context) error {
	relay := g.currentRelay(time.Now())
	if relay.Peer != "" && g.checkByHost(ctx, relay.Peer) == nil {
		return nil
	}
	err := g.checks.direct.ask(ctx, g.context())
	if err == nil {
		return nil
	}
	other := g.nextRelay(time.Now(), []string{g.opts.Host, relay.Host}, peerHost{})
	if other.Peer != "" && g.checkByHost(ctx, other.Peer) == nil {
		return nil
	}
	g.log.Info().Str("event", "registry_unchecked").Str("relay", relay.Host).Str("other", other.Host).Err(err).Msg("")
	return err
}

// checkReply holds how many milliseconds ago each software version was last listed, by service, as presence.Report does,
// and the newest version of the configuration.
type checkReply struct {
	Software map[string]map[string]int64 `json:"software"`
	Config   int64                       `json:"config,omitempty"`
}

func (g *Gateway) checkByHost(ctx context.Context, peer string) error {
	if g.ports.Peers == nil {
		return errNoRelay
	}
	ctx, cancel := context.WithTimeout(ctx, relayCheckTimeout)
	defer cancel()
	var reply checkReply
	if err := g.ports.Peers.Call(ctx, peer, methodCheckRegistry, struct{}{}, &reply); err != nil {
		return err
	}
	g.receiveSoftware(time.Now(), reply.Software)
	if reply.Config > g.configVersion() {
		return errConfigurationBehind
	}
	return nil
}

// configVersion returns the version of the configuration in force, zero if there is none.
func (g *Gateway) configVersion() int64 {
	if s := g.catalog.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (g *Gateway) serveCheckRegistry(ctx context.Context, _ json.RawMessage) (any, error) {
	if err := g.checks.direct.ask(ctx, g.context()); err != nil {
		return nil, errors.Wrap(err, "check the registry")
	}
	return checkReply{g.reportedSoftware(time.Now()), g.configVersion()}, nil
}

// checkAtStore checks the configuration and the registry at the store.
func (g *Gateway) checkAtStore(ctx context.Context) error {
	configuration := make(chan error, 1)
	go func() { configuration <- g.checkConfiguration(ctx) }()
	if err := g.readRegistry(ctx); err != nil {
		return err
	}
	return <-configuration
}

// checkConfiguration returns nil if the newest configuration of the store is in force at this host.
func (g *Gateway) checkConfiguration(ctx context.Context) error {
	at := g.checks.configuration.Load()
	if at == nil {
		return errors.New("the configuration has not been read")
	}
	began := time.Now()
	page, err := g.ports.Store.Read(ctx, port.TopicConfiguration, at.offset, 0)
	g.observeStore("read", began, time.Now(), err)
	switch {
	case err != nil:
		return err
	case page.Era != at.era:
		return errEraChanged
	case page.More || slices.ContainsFunc(page.Records, func(r port.TopicRecord) bool { return r.Key == configurationKey }):
		return errConfigurationBehind
	}
	return nil
}

// readRegistry reads the records that the follower of the registry has yet to read, and records their software
// versions. The follower applies them later.
func (g *Gateway) readRegistry(ctx context.Context) error {
	at := g.checks.position.Load()
	if at == nil {
		return errors.New("the registry has not been read")
	}
	if time.Now().Before(at.settledAt) {
		return errors.New("the registry is not complete yet in the store's new era")
	}
	if g.checks.lost.Load() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, lostCheckTimeout)
		defer cancel()
	}
	offset := at.offset
	for range maxCheckPages {
		began := time.Now()
		page, err := g.ports.Store.Read(ctx, port.TopicEndpoints, offset, 0)
		g.observeStore("read", began, time.Now(), err)
		if err == nil && page.Era != at.era {
			err = errEraChanged
		}
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			if r.Removed() {
				continue
			}
			if e, err := g.ports.DecodeEndpoint(r.Key, r.Value); err == nil { // else logged by the follower
				g.fleet.SoftwareSeen(e.Service, e.Version, time.Now())
			}
		}
		if offset = page.End; !page.More {
			return nil
		}
	}
	return errBehind
}

// notePosition publishes how far the follower of the registry has read.
func (g *Gateway) notePosition(now time.Time, era port.Era, offset int64) {
	p := &registryPosition{era: era, offset: offset}
	if before := g.checks.position.Load(); before != nil {
		p.settledAt = before.settledAt
		if before.era != era {
			p.settledAt = now.Add(registryRecoveryTime)
		}
	}
	g.checks.position.Store(p)
}
