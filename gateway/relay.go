package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Methods that a relay answers for the hosts of its availability zone. Every
// call to the store is billed, so one host of a zone reads it for all, tells it
// what all report, and gives out the zone's shares of limits. A host that gets no
// timely answer from its relay does all that itself.
const (
	methodRead = "gateway.read"
	methodTell = "gateway.tell"
	methodTake = "gateway.take"
)

const (
	// relayLeast is the least number of hosts in a zone that have a relay.
	relayLeast = 3
	// relayWait is how long a relay holds a read that has nothing to answer, and
	// relaySlack what the call may take beyond: a relay that freezes must not
	// keep a configuration from hosts that do not.
	relayWait  = 600 * time.Millisecond
	relaySlack = 400 * time.Millisecond
	// takeTimeout bounds a call for a share of a limit. The relay is some tenths
	// of a millisecond away, but a core's share may be a quota that is used up
	// for the rest of a tenth of a second.
	takeTimeout = 150 * time.Millisecond
	// relayFailed is how long a host does without a relay that failed it. Within
	// startTime of its own start the relay is likely starting too, and is asked
	// again after relayStarting.
	relayFailed   = 3 * time.Second
	relayStarting = 300 * time.Millisecond
	startTime     = 3 * time.Second
	// takerSilence is how long a host that takes no share counts among those that
	// take theirs here: callers come several times a second.
	takerSilence = 2 * time.Second
	// relayStale is the age of the store's last answer past which a relay does
	// not answer for it: it reads at least once a second.
	relayStale = 1700 * time.Millisecond
	// toldLifetime is how long a report that was told is passed on.
	toldLifetime = 2200 * time.Millisecond
	// ringMost bounds the records of a topic that a relay keeps.
	ringMost = 4096
)

var errNoRelay = errors.New("not a relay, or out of touch with the store")

// ring holds what a process has read of a topic.
type ring struct {
	records []port.TopicRecord
	first   int64
	end     int64
	newest  map[string]port.TopicRecord
	wake    chan struct{}
}

// relayState is a process's part as a relay.
type relayState struct {
	mu    sync.Mutex
	rings map[port.Topic]*ring
	told  map[string]toldReport
	// failed tells until when a host is not used as a relay, gone those of them
	// that did not answer at all: one that answers that it has lost the store
	// still gives out shares of limits.
	failed map[string]time.Time
	gone   map[string]time.Time
	self   bool
	chosen presence.Report
	// zone counts the hosts that this one would be the relay of, itself included;
	// relayed tells that a relay gave out its shares a moment ago.
	zone    int
	relayed bool
	// takers tells when each host last took a share here.
	takers map[string]time.Time
}

type toldReport struct {
	raw      json.RawMessage
	at       time.Time
	passedOn bool
}

func newRelayState() *relayState {
	return &relayState{rings: map[port.Topic]*ring{}, told: map[string]toldReport{}, failed: map[string]time.Time{}, gone: map[string]time.Time{}, takers: map[string]time.Time{}}
}

// electRelay chooses the relay of this host's zone among the hosts alive: the one
// with most processor, the same for all hosts that know the same ones.
func (g *Gateway) electRelay(now time.Time, live []presence.Report) {
	s := g.relays
	self := g.report(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	var zone []presence.Report
	for _, r := range append(slices.Clone(live), self) {
		if r.Zone == g.opts.Zone && r.Peer != "" && r.State == presence.StateServing && !now.Before(s.failed[r.Host]) {
			zone = append(zone, r)
		}
	}
	before := s.chosen.Host
	s.self, s.chosen = true, presence.Report{}
	if len(zone) >= relayLeast {
		slices.SortFunc(zone, func(a, b presence.Report) int {
			key := "relay/" + g.opts.Zone
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rendezvous.Score(key, b.Host), rendezvous.Score(key, a.Host)))
		})
		s.chosen = zone[0]
		s.self = zone[0].Host == g.opts.Host
	}
	s.zone = len(zone)
	if s.chosen.Host != before {
		g.metrics.beliefs.WithLabelValues("relay").Inc()
		g.log.Info().Str("event", "relay").Str("relay", s.chosen.Host).Str("before", before).Int("candidates", len(zone)).Msg("")
	}
}

// relay returns the address of this host's relay; empty when it reads the store
// itself.
func (g *Gateway) relay(now time.Time) string {
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self || s.chosen.Host == "" || now.Before(s.failed[s.chosen.Host]) {
		return ""
	}
	return s.chosen.Peer
}

// relayFails notes that the relay did not answer in time, or that it has lost the
// store.
func (g *Gateway) relayFails(now time.Time, method string, err error) {
	s := g.relays
	s.mu.Lock()
	host := s.chosen.Host
	known := now.Before(s.failed[host])
	without := relayFailed
	if now.Sub(g.started) < startTime {
		without = relayStarting
	}
	s.failed[host] = now.Add(without)
	if !errors.Is(err, port.ErrPeerRefused) {
		s.gone[host] = now.Add(without)
	}
	s.mu.Unlock()
	if !known {
		g.metrics.beliefs.WithLabelValues("relay_failed").Inc()
		g.log.Warn().Str("event", "dependency_lost").Str("dependency", "relay/"+host).Str("method", method).Err(err).Msg("going on without it")
	}
}

// callRelay calls the relay; ok is false when there is none or it failed.
func (g *Gateway) callRelay(method string, timeout time.Duration, params, result any) (ok bool) {
	return g.callPeer(g.relay(time.Now()), method, timeout, params, result)
}

func (g *Gateway) callPeer(address, method string, timeout time.Duration, params, result any) (ok bool) {
	if address == "" || g.ports.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(g.context(), timeout)
	defer cancel()
	if err := g.ports.Peers.Call(ctx, address, method, params, result); err != nil {
		// One slow answer to a request does not mean that the relay is gone: its
		// reads will tell.
		if g.context().Err() == nil && method != methodTake {
			g.relayFails(time.Now(), method, err)
		}
		return false
	}
	return true
}

// PeerHandlers returns the methods that other hosts call.
func (g *Gateway) PeerHandlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{methodRead: g.serveRead, methodTell: g.serveTell, methodTake: g.serveTake}
}

type readCall struct {
	Topic port.Topic `json:"topic"`
	// From is the offset to read from; negative for the newest of each key.
	From int64 `json:"from"`
	// Wait is how long to hold a call that has nothing to answer.
	Wait time.Duration `json:"wait_ns,omitempty"`
}

type readReply struct {
	Records []port.TopicRecord `json:"records,omitempty"`
	End     int64              `json:"end"`
	Expired bool               `json:"expired,omitempty"`
}

// mayRelay reports whether this process may answer for the store: it has just read
// it. Hosts choose their relay at different moments, so whether this one has chosen
// itself does not matter.
func (g *Gateway) mayRelay(now time.Time) bool {
	return now.Sub(time.Unix(0, g.storeAt.Load())) < relayStale
}

func (g *Gateway) serveRead(ctx context.Context, params json.RawMessage) (any, error) {
	var c readCall
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, errors.Wrap(err, "decode read")
	}
	timeout := time.After(min(c.Wait, relayWait))
	for {
		if !g.mayRelay(time.Now()) {
			return nil, errNoRelay
		}
		reply, wake, ok := g.relays.read(c)
		if ok {
			return reply, nil
		}
		if wake == nil {
			return nil, errNoRelay
		}
		select {
		case <-wake:
		case <-timeout:
			return readReply{End: c.From}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// read answers from what was read; without an answer it returns the channel that
// is closed at the next record.
func (s *relayState) read(c readCall) (readReply, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rings[c.Topic]
	switch {
	case r == nil:
		return readReply{}, nil, false
	case c.From < 0:
		reply := readReply{End: r.end}
		for _, record := range r.newest {
			reply.Records = append(reply.Records, record)
		}
		return reply, nil, true
	case c.From < r.first:
		return readReply{Expired: true}, nil, true
	case c.From < r.end:
		return readReply{Records: slices.Clone(r.records[c.From-r.first:]), End: r.end}, nil, true
	}
	return readReply{}, r.wake, false
}

// keep takes what this process has read of a topic, to answer others with.
func (s *relayState) keep(topic port.Topic, whole bool, page port.TopicPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rings[topic]
	if whole || r == nil {
		if r != nil {
			close(r.wake)
		}
		r = &ring{first: page.End, end: page.End, newest: map[string]port.TopicRecord{}, wake: make(chan struct{})}
		s.rings[topic] = r
	}
	for _, record := range page.Records {
		if record.Removed() {
			delete(r.newest, record.Key)
		} else {
			r.newest[record.Key] = record
		}
		if !whole {
			r.records = append(r.records, record)
		}
	}
	r.end = page.End
	if drop := len(r.records) - ringMost; drop > 0 {
		r.records = slices.Clone(r.records[drop:])
	}
	r.first = r.end - int64(len(r.records))
	if len(page.Records) > 0 {
		close(r.wake)
		r.wake = make(chan struct{})
	}
}

// readRelayed reads a topic from the relay; ok is false when the store has to be
// read instead.
func (g *Gateway) readRelayed(topic port.Topic, from int64, wait time.Duration) (page port.TopicPage, err error, ok bool) {
	var reply readReply
	if !g.callRelay(methodRead, relayWait+relaySlack, readCall{topic, from, wait}, &reply) {
		return page, nil, false
	}
	if reply.Expired {
		return page, port.ErrStoreExpired, true
	}
	return port.TopicPage{Records: reply.Records, End: reply.End}, nil, true
}

// serveTell takes the report of a host of the zone.
func (g *Gateway) serveTell(_ context.Context, params json.RawMessage) (any, error) {
	now := time.Now()
	if !g.mayRelay(now) {
		return nil, errNoRelay
	}
	var r presence.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	g.relays.mu.Lock()
	defer g.relays.mu.Unlock()
	known := g.relays.told[r.Key()]
	g.relays.told[r.Key()] = toldReport{slices.Clone(params), now, known.passedOn}
	return struct{}{}, nil
}

// hasTold reports whether others have told this host their reports a moment ago.
func (s *relayState) hasTold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.told {
		if now.Sub(t.at) <= toldLifetime {
			return true
		}
	}
	return false
}

// toldReports returns the reports to pass on, and the keys of those that are passed
// on for the first time.
func (s *relayState) toldReports(now time.Time) (out []json.RawMessage, first []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, t := range s.told {
		if now.Sub(t.at) > toldLifetime {
			delete(s.told, key)
			continue
		}
		if !t.passedOn {
			t.passedOn = true
			s.told[key] = t
			first = append(first, key)
		}
		out = append(out, t.raw)
	}
	return out, first
}
