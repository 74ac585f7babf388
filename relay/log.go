package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Methods that peers call at a relay.
const (
	MethodRead   = "log.read"
	MethodAppend = "log.append"
)

const (
	// avoidFirst and avoidMax bound how long a source that failed is passed
	// over; the time doubles with each failure in a row. A relay that answers
	// that it is stale is passed over for avoidFirst.
	avoidFirst = time.Second
	avoidMax   = 8 * time.Second
	// appendWait is how long an append may stay without a sign of life from
	// the relay, looked at every appendCheck; appendMax bounds it in all.
	appendWait  = pollWait + replyGrace
	appendCheck = 50 * time.Millisecond
	appendMax   = 3 * time.Second
)

// Peer is one relay.
type Peer struct {
	ID string
	// Address is the ip:port for peers; empty for the process itself.
	Address string
}

// Log is a port.Log that goes through the relays. Safe for concurrent use.
type Log struct {
	direct port.Log
	peers  port.Peers
	server *Server
	// relays returns the relays to use, the preferred one first.
	relays func() []Peer

	mu      sync.Mutex
	avoided map[string]avoidance
	// heard is when a relay last answered a read.
	heard map[string]time.Time
	uses  map[Source]int64
	last  string
}

// Source names the way that a call took.
type Source string

// Sources.
const (
	SourceSelf   Source = "self"
	SourceRelay  Source = "relay"
	SourceDirect Source = "log"
)

type avoidance struct {
	until time.Time
	pause time.Duration
}

var _ port.Log = (*Log)(nil)

// NewLog returns a Log. server is the process's own relay side, used when
// relays names the process itself.
func NewLog(direct port.Log, peers port.Peers, server *Server, relays func() []Peer) *Log {
	return &Log{
		direct:  direct,
		peers:   peers,
		server:  server,
		relays:  relays,
		avoided: map[string]avoidance{},
		heard:   map[string]time.Time{},
		uses:    map[Source]int64{},
	}
}

// Uses returns how many calls each source answered, and the source of the last
// read: a host id, or "log".
func (l *Log) Uses() (uses map[Source]int64, last string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	uses = map[Source]int64{}
	for s, n := range l.uses {
		uses[s] = n
	}
	return uses, l.last
}

// Read implements port.Log. A wait longer than one poll is made of several, so
// that a relay that goes silent is noticed in less than a second.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	end := time.Now().Add(wait)
	for {
		page, err := l.poll(ctx, from, limit, min(max(time.Until(end), 0), pollWait))
		if err != nil || len(page.Records) > 0 || !time.Now().Before(end) {
			return page, err
		}
		if ctx.Err() != nil {
			return page, errors.Wrap(port.ErrLogUnavailable, ctx.Err().Error())
		}
	}
}

// poll makes one poll at the first source that answers.
func (l *Log) poll(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	relays := l.relays()
	for _, p := range l.candidates(relays) {
		reply, err := l.readAt(ctx, p, ReadCall{From: from, Limit: limit, WaitMS: milliseconds(wait)})
		if ctx.Err() != nil {
			return port.Page{}, errors.Wrap(port.ErrLogUnavailable, ctx.Err().Error())
		}
		switch {
		case err != nil || !follows(from, reply.Page):
			l.avoid(p.ID, avoidMax)
			continue
		case reply.Status == StatusOK:
			l.answered(p)
			return reply.Page, nil
		case reply.Status == StatusOutside:
			l.answered(p)
			return l.readDirect(ctx, from, limit, wait)
		}
		l.avoid(p.ID, avoidFirst)
	}
	if len(relays) > 0 && l.passedOver(string(SourceDirect)) {
		sleep(ctx, min(wait, retryPause))
		return port.Page{}, errors.Wrap(port.ErrLogUnavailable, "no relay is fresh and the log failed a moment ago")
	}
	return l.readDirect(ctx, from, limit, wait)
}

// follows reports whether a page goes on at from and leaves nothing out.
func follows(from int64, page port.Page) bool {
	for i, r := range page.Records {
		if r.Offset != from+int64(i) {
			return false
		}
	}
	return len(page.Records) > 0 || page.End <= from
}

// milliseconds rounds up, so that no wait becomes a busy loop.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func (l *Log) readAt(ctx context.Context, p Peer, call ReadCall) (ReadReply, error) {
	if p.Address == "" {
		return l.server.Read(ctx, call), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.WaitMS)*time.Millisecond+replyGrace)
	defer cancel()
	var reply ReadReply
	err := l.peers.Call(ctx, p.Address, MethodRead, call, &reply)
	return reply, err
}

// readDirect reads at the log. Its failures are remembered, so that an outage
// does not bring every process to the log.
func (l *Log) readDirect(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	l.used(SourceDirect, string(SourceDirect))
	page, err := l.server.readDirect(ctx, from, limit, wait)
	if err == nil || errors.Is(err, port.ErrLogExpired) {
		l.forgive(string(SourceDirect))
	} else {
		l.avoid(string(SourceDirect), avoidMax)
	}
	return page, err
}

// Append implements port.Log. When a relay does not confirm in time the same
// data goes another way: its record id lets readers fold it once.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	for _, p := range l.candidates(l.relays()) {
		reply, err := l.appendAt(ctx, p, data)
		switch {
		case err != nil:
			l.avoid(p.ID, avoidMax)
		case reply.Status == StatusOK:
			return reply.Offset, nil
		case reply.Status == StatusRateLimited:
			return 0, port.ErrLogRateLimited
		default:
			return 0, port.ErrLogUnavailable
		}
		if ctx.Err() != nil {
			return 0, errors.Wrap(port.ErrLogUnavailable, ctx.Err().Error())
		}
	}
	l.server.counts.appends.Add(1)
	return l.direct.Append(ctx, data)
}

// appendAt appends by way of a relay. It gives up when the relay shows no sign
// of life; a relay that answers reads is waited for, since then the log is slow
// and another way would only append once more.
func (l *Log) appendAt(ctx context.Context, p Peer, data []byte) (AppendReply, error) {
	ctx, cancel := context.WithTimeout(ctx, appendMax)
	defer cancel()
	if p.Address == "" {
		return l.server.Append(ctx, AppendCall{Data: data}), nil
	}
	go l.cancelWhenSilent(ctx, p.ID, cancel)
	var reply AppendReply
	err := l.peers.Call(ctx, p.Address, MethodAppend, AppendCall{Data: data}, &reply)
	return reply, err
}

// cancelWhenSilent cancels a call when its relay has shown no sign of life for
// appendWait; it returns when the call has ended.
func (l *Log) cancelWhenSilent(ctx context.Context, id string, cancel func()) {
	start := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, appendCheck)
		if time.Since(start) >= appendWait && time.Since(l.lastHeard(id)) >= appendWait {
			cancel()
		}
	}
}

func (l *Log) lastHeard(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard[id]
}

// candidates returns the relays that are not passed over.
func (l *Log) candidates(relays []Peer) []Peer {
	var out []Peer
	for _, p := range relays {
		if !l.passedOver(p.ID) {
			out = append(out, p)
		}
	}
	return out
}

func (l *Log) passedOver(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.avoided[id].until)
}

// avoid passes a source over for a time that doubles up to limit.
func (l *Log) avoid(id string, limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.avoided[id]
	a.pause = min(max(2*a.pause, avoidFirst), limit)
	a.until = time.Now().Add(a.pause)
	l.avoided[id] = a
}

func (l *Log) forgive(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.avoided, id)
}

func (l *Log) answered(p Peer) {
	source := SourceRelay
	if p.Address == "" {
		source = SourceSelf
	}
	l.used(source, p.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.avoided, p.ID)
	l.heard[p.ID] = time.Now()
}

func (l *Log) used(s Source, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses[s]++
	l.last = by
}
