package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Methods of a relay that peers call.
const (
	MethodRead   = "log.read"
	MethodAppend = "log.append"
)

const (
	// minBackoff and maxBackoff bound how long a source is not used after a
	// failure; the time doubles with each consecutive failure. After a reply
	// that the relay is stale it is not used for minBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// unresponsiveTimeout is how long an append waits for a relay that answers
	// neither the append nor any read, checked every unresponsiveCheckInterval.
	// appendTimeout is the timeout of every append through a relay.
	unresponsiveTimeout       = longPollTimeout + replyGrace
	unresponsiveCheckInterval = 50 * time.Millisecond
	appendTimeout             = 3 * time.Second
)

// Peer is a relay.
type Peer struct {
	ID string
	// Address is the ip:port that peers connect to; empty for the process itself.
	Address string
}

// Log is a port.Log that reads and appends through relays and falls back to the
// log itself. It is safe for concurrent use.
type Log struct {
	direct port.Log
	peers  port.Peers
	server *Server
	// relays returns the relays to use, in order of preference.
	relays func() []Peer

	mu       sync.Mutex
	backoffs map[string]backoff
	// lastReplies is the time at which each relay last answered a read.
	lastReplies map[string]time.Time
	uses        map[Source]int64
	last        string
}

// Source is where a read was answered: by the process's own relay, by another
// relay or by the log.
type Source string

// Sources.
const (
	SourceSelf   Source = "self"
	SourceRelay  Source = "relay"
	SourceDirect Source = "log"
)

type backoff struct {
	until time.Time
	delay time.Duration
}

var _ port.Log = (*Log)(nil)

// NewLog returns a Log. server is the process's own relay, used if relays returns
// the process itself.
func NewLog(direct port.Log, peers port.Peers, server *Server, relays func() []Peer) *Log {
	return &Log{
		direct:      direct,
		peers:       peers,
		server:      server,
		relays:      relays,
		backoffs:    map[string]backoff{},
		lastReplies: map[string]time.Time{},
		uses:        map[Source]int64{},
	}
}

// Uses returns the number of reads by source, and the source of the last read: a
// host id, or "log". Reads at the log count even if they fail.
func (l *Log) Uses() (uses map[Source]int64, last string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	uses = map[Source]int64{}
	for s, n := range l.uses {
		uses[s] = n
	}
	return uses, l.last
}

// Read implements port.Log. A wait longer than one long poll is split into
// several, so that an unresponsive relay is noticed in less than a second.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	end := time.Now().Add(wait)
	for {
		page, err := l.poll(ctx, from, limit, min(max(time.Until(end), 0), longPollTimeout))
		if err != nil || len(page.Records) > 0 || !time.Now().Before(end) {
			return page, err
		}
		if ctx.Err() != nil {
			return page, errors.Wrap(port.ErrLogUnavailable, ctx.Err().Error())
		}
	}
}

// poll makes one long poll, at the first source that answers.
func (l *Log) poll(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	relays := l.relays()
	for _, p := range l.candidates(relays) {
		reply, err := l.readAt(ctx, p, ReadCall{From: from, Limit: limit, WaitMS: milliseconds(wait)})
		if ctx.Err() != nil {
			return port.Page{}, errors.Wrap(port.ErrLogUnavailable, ctx.Err().Error())
		}
		switch {
		case err != nil || !contiguous(from, reply.Page):
			l.startBackoff(p.ID, maxBackoff)
			continue
		case reply.Status == StatusOK:
			l.recordReply(p)
			return reply.Page, nil
		case reply.Status == StatusOutside:
			l.recordReply(p)
			return l.readDirect(ctx, from, limit, wait)
		}
		l.startBackoff(p.ID, minBackoff)
	}
	if len(relays) > 0 && l.inBackoff(string(SourceDirect)) {
		sleep(ctx, min(wait, retryInterval))
		return port.Page{}, errors.Wrap(port.ErrLogUnavailable, "no relay is up to date and the log is in backoff")
	}
	return l.readDirect(ctx, from, limit, wait)
}

// contiguous reports whether a page starts at offset from and has no gaps.
func contiguous(from int64, page port.Page) bool {
	for i, r := range page.Records {
		if r.Offset != from+int64(i) {
			return false
		}
	}
	return len(page.Records) > 0 || page.End <= from
}

// milliseconds rounds d up to whole milliseconds: a wait rounded down to 0 would
// become a busy loop.
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

// readDirect reads from the log. After a failure the log is in backoff, so that
// processes do not all continue to read from it during an outage.
func (l *Log) readDirect(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	l.recordUse(SourceDirect, string(SourceDirect))
	page, err := l.server.readDirect(ctx, from, limit, wait)
	if err == nil || errors.Is(err, port.ErrLogExpired) {
		l.resetBackoff(string(SourceDirect))
	} else {
		l.startBackoff(string(SourceDirect), maxBackoff)
	}
	return page, err
}

// Append implements port.Log. If a relay does not confirm in time, the same data
// is appended through another one or at the log; by the record id readers fold
// it only once.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	for _, p := range l.candidates(l.relays()) {
		reply, err := l.appendAt(ctx, p, data)
		switch {
		case err != nil:
			l.startBackoff(p.ID, maxBackoff)
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

// appendAt appends through a relay. It fails early if the relay is unresponsive.
// It waits for a relay that answers reads: in that case the log is slow, and
// another attempt would only append the data a second time.
func (l *Log) appendAt(ctx context.Context, p Peer, data []byte) (AppendReply, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if p.Address == "" {
		return l.server.Append(ctx, AppendCall{Data: data}), nil
	}
	go l.cancelWhenUnresponsive(ctx, p.ID, cancel)
	var reply AppendReply
	err := l.peers.Call(ctx, p.Address, MethodAppend, AppendCall{Data: data}, &reply)
	return reply, err
}

// cancelWhenUnresponsive cancels a call to a relay that has answered no read for
// unresponsiveTimeout. It returns when the call has ended.
func (l *Log) cancelWhenUnresponsive(ctx context.Context, id string, cancel func()) {
	start := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, unresponsiveCheckInterval)
		if time.Since(start) >= unresponsiveTimeout && time.Since(l.lastReply(id)) >= unresponsiveTimeout {
			cancel()
		}
	}
}

func (l *Log) lastReply(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReplies[id]
}

// candidates returns the relays that are not in backoff.
func (l *Log) candidates(relays []Peer) []Peer {
	var out []Peer
	for _, p := range relays {
		if !l.inBackoff(p.ID) {
			out = append(out, p)
		}
	}
	return out
}

func (l *Log) inBackoff(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.backoffs[id].until)
}

// startBackoff puts a source into backoff. The delay doubles with each
// consecutive failure, up to limit.
func (l *Log) startBackoff(id string, limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.backoffs[id]
	b.delay = min(max(2*b.delay, minBackoff), limit)
	b.until = time.Now().Add(b.delay)
	l.backoffs[id] = b
}

func (l *Log) resetBackoff(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.backoffs, id)
}

func (l *Log) recordReply(p Peer) {
	source := SourceRelay
	if p.Address == "" {
		source = SourceSelf
	}
	l.recordUse(source, p.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.backoffs, p.ID)
	l.lastReplies[p.ID] = time.Now()
}

func (l *Log) recordUse(s Source, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses[s]++
	l.last = by
}
