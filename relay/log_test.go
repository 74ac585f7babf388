package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/relay"
	"github.com/cicadanotch/cicadanotch/standin"
)

type mode int

const (
	healthy     mode = iota
	unreachable      // connections cannot be opened
	paused           // accepts calls and answers none
	gaps             // omits the first record of a reply
)

// zone is an availability zone whose first two hosts are its relays.
type zone struct {
	log   *standin.Log
	fault *standin.Faults
	logs  []*relay.Log
	hosts []*relay.Server

	mu    sync.Mutex
	modes map[string]mode
}

func (z *zone) set(address string, m mode) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.modes[address] = m
}

func (z *zone) mode(address string) mode {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.modes[address]
}

// Call implements port.Peers within the process.
func (z *zone) Call(ctx context.Context, address, method string, params, result any) error {
	switch z.mode(address) {
	case unreachable:
		return port.ErrPeerUnreachable
	case paused:
		<-ctx.Done()
		return port.ErrPeerBroken
	}
	var server *relay.Server
	for i, s := range z.hosts {
		if fmt.Sprint("r", i) == address {
			server = s
		}
	}
	raw, _ := json.Marshal(params)
	reply, err := serve(ctx, server, method, raw)
	if read, ok := reply.(relay.ReadReply); ok && z.mode(address) == gaps && len(read.Page.Records) > 0 {
		read.Page.Records = read.Page.Records[1:]
		reply = read
	}
	if z.mode(address) == paused {
		<-ctx.Done()
	}
	out, _ := json.Marshal(reply)
	if err != nil || ctx.Err() != nil {
		return port.ErrPeerBroken
	}
	return json.Unmarshal(out, result)
}

func serve(ctx context.Context, s *relay.Server, method string, raw []byte) (any, error) {
	if method == relay.MethodRead {
		var call relay.ReadCall
		err := json.Unmarshal(raw, &call)
		return s.Read(ctx, call), err
	}
	var call relay.AppendCall
	err := json.Unmarshal(raw, &call)
	return s.Append(ctx, call), err
}

func newZone(ctx context.Context, hosts, window int) *zone {
	z := &zone{fault: standin.NewFaults(), modes: map[string]mode{}}
	z.log = standin.NewLog(standin.LogOptions{Faults: z.fault})
	for i := range hosts {
		server := relay.NewServer(ctx, z.log, fmt.Sprint("r", i), window)
		z.hosts = append(z.hosts, server)
		z.logs = append(z.logs, relay.NewLog(z.log, z, server, func() []relay.Peer { return relaysFor(i) }))
	}
	return z
}

func relaysFor(i int) []relay.Peer {
	peers := []relay.Peer{{ID: "r0", Address: "r0"}, {ID: "r1", Address: "r1"}}
	if i < 2 {
		peers[i].Address = ""
		return []relay.Peer{peers[i], peers[1-i]}
	}
	return peers
}

// reader follows the log and checks that no offset is omitted or repeated.
type reader struct {
	mu   sync.Mutex
	next int64
	// at is the time at which each offset was read.
	at map[int64]time.Time
	// broken is set if an offset was omitted or repeated.
	broken bool
}

func (r *reader) follow(ctx context.Context, l port.Log) {
	r.next = 1
	r.at = map[int64]time.Time{}
	for ctx.Err() == nil {
		page, err := l.Read(ctx, r.next, 100, 2*time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		for _, rec := range page.Records {
			r.broken = r.broken || rec.Offset != r.next
			r.at[rec.Offset] = time.Now()
			r.next = rec.Offset + 1
		}
		r.mu.Unlock()
	}
}

func (r *reader) latency(offset int64, since time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.at[offset]
	return at.Sub(since), ok && !r.broken
}

func envelope(is *is.I, n int) []byte {
	e, err := record.New(record.KindDocument, "t", n)
	is.NoErr(err)
	data, err := e.Encode()
	is.NoErr(err)
	return data
}

func bubble(t *testing.T, run func(ctx context.Context, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(ctx, is.New(t))
		cancel()
		time.Sleep(10 * time.Second) // every goroutine that waits sees the end of ctx
	})
}

// TestRelayFaults guards against records that are delayed or omitted when relays
// fail. A record is appended to the log right after the relay in use fails; it
// must be read in less than a second and in order.
func TestRelayFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second mode
	}{
		"no fault":               {healthy, healthy},
		"relay gone":             {unreachable, healthy},
		"relay pauses":           {paused, healthy},
		"relay omits records":    {gaps, healthy},
		"both gone":              {unreachable, unreachable},
		"one gone, one has gaps": {unreachable, gaps},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(ctx context.Context, is *is.I) {
				z := newZone(ctx, 5, 1<<20)
				r := &reader{}
				go r.follow(ctx, z.logs[4])
				for i := range 3 {
					_, err := z.log.Append(ctx, envelope(is, i))
					is.NoErr(err)
					time.Sleep(time.Second)
				}
				z.set("r0", tc.first)
				z.set("r1", tc.second)
				start := time.Now()
				offset, err := z.log.Append(ctx, envelope(is, 3))
				is.NoErr(err)
				time.Sleep(2 * time.Second)
				latency, ok := r.latency(offset, start)
				is.True(ok)
				is.True(latency < time.Second)
			})
		})
	}
}

// TestPauseOfBothRelaysIsNoticed guards against a reader that waits without limit
// for relays which accept calls and do not answer.
func TestPauseOfBothRelaysIsNoticed(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		z := newZone(ctx, 3, 1<<20)
		r := &reader{}
		go r.follow(ctx, z.logs[2])
		time.Sleep(time.Second)
		z.set("r0", paused)
		z.set("r1", paused)
		start := time.Now()
		offset, err := z.log.Append(ctx, envelope(is, 1))
		is.NoErr(err)
		time.Sleep(4 * time.Second)
		latency, ok := r.latency(offset, start)
		is.True(ok)
		is.True(latency < 2*time.Second) // one second for each relay
	})
}

// TestLogReadsGrowWithRelaysAndNotWithHosts guards against hosts reading from the
// log themselves while their relays work.
func TestLogReadsGrowWithRelaysAndNotWithHosts(t *testing.T) {
	reads := map[int]int{}
	for _, hosts := range []int{4, 40} {
		bubble(t, func(ctx context.Context, is *is.I) {
			z := newZone(ctx, hosts, 1<<20)
			for _, l := range z.logs {
				go (&reader{}).follow(ctx, l)
			}
			time.Sleep(5 * time.Second)
			_, before := z.log.Counts()
			time.Sleep(20 * time.Second)
			_, after := z.log.Counts()
			reads[hosts] = after - before
		})
	}
	is.New(t).True(reads[40] <= reads[4]+reads[4]/10)
}

// TestStaleRelayIsLeft guards against readers that continue to use a relay which
// answers but can no longer read the log.
func TestStaleRelayIsLeft(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		z := newZone(ctx, 3, 1<<20)
		readFaults := standin.NewFaults(standin.Fault{Point: standin.PointRead, Action: standin.ActionFail, From: 3 * time.Second})
		z.hosts[0] = relay.NewServer(ctx, unreadableLog{z.log, readFaults}, "r0", 1<<20)
		r := &reader{}
		go r.follow(ctx, z.logs[2])
		time.Sleep(10 * time.Second)
		start := time.Now()
		offset, err := z.log.Append(ctx, envelope(is, 1))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		latency, ok := r.latency(offset, start)
		is.True(ok)
		is.True(latency < time.Second)
	})
}

// unreadableLog is the log as seen by a relay whose reads fail.
type unreadableLog struct {
	port.Log
	faults *standin.Faults
}

func (l unreadableLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	if _, hit := l.faults.Check(standin.PointRead); hit {
		return port.Page{}, port.ErrLogUnavailable
	}
	return l.Log.Read(ctx, from, limit, wait)
}

// TestLogOutageIsNotAStampede guards against every process reading from the log at
// a high rate during an outage, when all relays are stale, and against a slow
// recovery after it.
func TestLogOutageIsNotAStampede(t *testing.T) {
	const hosts, outage = 40, 60
	bubble(t, func(ctx context.Context, is *is.I) {
		z := newZone(ctx, hosts, 1<<20)
		r := &reader{}
		go r.follow(ctx, z.logs[hosts-1])
		for _, l := range z.logs[:hosts-1] {
			go (&reader{}).follow(ctx, l)
		}
		time.Sleep(5 * time.Second)
		z.fault.Add(standin.Fault{Point: standin.PointRead, Action: standin.ActionFail})
		before := z.fault.Calls(standin.PointRead)
		time.Sleep(outage * time.Second)
		failed := z.fault.Calls(standin.PointRead) - before
		is.True(failed < outage*hosts) // less than one read per second and process
		z.fault.Remove(standin.PointRead)
		start := time.Now()
		offset, err := z.log.Append(ctx, envelope(is, 1))
		is.NoErr(err)
		time.Sleep(4 * time.Second)
		latency, ok := r.latency(offset, start)
		is.True(ok)
		is.True(latency < 3*time.Second)
	})
}

// TestSlowLogMakesProgress guards against reads that always time out if the log needs
// 2 s for each reply.
func TestSlowLogMakesProgress(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		z := newZone(ctx, 3, 1<<20)
		z.fault.Add(standin.Fault{Point: standin.PointRead, Action: standin.ActionDelay, Delay: 2 * time.Second})
		r := &reader{}
		go r.follow(ctx, z.logs[2])
		offset, err := z.log.Append(ctx, envelope(is, 1))
		is.NoErr(err)
		time.Sleep(30 * time.Second)
		_, ok := r.latency(offset, time.Now())
		is.True(ok)
	})
}

// TestNewcomerBehindTheWindow guards against a reader that never catches up because
// its offset is before the relay's window. It must read from the log and then
// return to the relay.
func TestNewcomerBehindTheWindow(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		z := newZone(ctx, 4, 2000) // the window caches only a few records
		first := &reader{}
		go first.follow(ctx, z.logs[2])
		var last int64
		for i := range 50 {
			var err error
			last, err = z.log.Append(ctx, envelope(is, i))
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(z.hosts[0].Counts().WindowBytes <= 2000)
		late := &reader{}
		go late.follow(ctx, z.logs[3])
		time.Sleep(3 * time.Second)
		_, ok := late.latency(last, time.Now())
		is.True(ok)
		uses, source := z.logs[3].Uses()
		is.True(uses[relay.SourceDirect] > 0)
		is.Equal(source, "r0") // the relay is used again
	})
}

// TestAppendsAreFannedIn guards against envelopes that are lost or renamed in
// batches, and against one append to the log per envelope.
func TestAppendsAreFannedIn(t *testing.T) {
	const hosts, each = 10, 20
	bubble(t, func(ctx context.Context, is *is.I) {
		z := newZone(ctx, hosts, 1<<20)
		z.fault.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionDelay, Delay: 10 * time.Millisecond})
		var wg sync.WaitGroup
		for _, l := range z.logs {
			for range each {
				wg.Go(func() {
					_, err := l.Append(ctx, envelope(is, 1))
					is.NoErr(err)
				})
			}
		}
		wg.Wait()
		page, err := z.log.Read(ctx, 1, 1000, 0)
		is.NoErr(err)
		ids := map[string]bool{}
		for _, rec := range page.Records {
			envelopes, err := record.Decode(rec.Data)
			is.NoErr(err)
			for _, e := range envelopes {
				ids[e.ID] = true
			}
		}
		is.Equal(len(ids), hosts*each)                // no envelope lost, record ids unchanged
		is.True(len(page.Records) <= hosts*each/10+8) // a tenth of the envelopes
	})
}

// TestAppendFaults guards against appends that hang or are duplicated when a relay or
// the log fails.
func TestAppendFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		mode     mode
		logFault *standin.Fault
		err      error
		maxTime  time.Duration
	}{
		"relay gone":   {unreachable, nil, nil, time.Second},
		"relay paused": {paused, nil, nil, time.Second},
		"rate limited": {healthy, &standin.Fault{Point: standin.PointAppend, Action: standin.ActionRefuse}, port.ErrLogRateLimited, time.Second},
		"log down":     {healthy, &standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail}, port.ErrLogUnavailable, time.Second},
		"reply lost":   {healthy, &standin.Fault{Point: standin.PointAppend, Action: standin.ActionLoseReply}, port.ErrLogUnavailable, time.Second},
		"log slow":     {healthy, &standin.Fault{Point: standin.PointAppend, Action: standin.ActionDelay, Delay: 2 * time.Second}, nil, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(ctx context.Context, is *is.I) {
				z := newZone(ctx, 3, 1<<20)
				go (&reader{}).follow(ctx, z.logs[2])
				time.Sleep(time.Second)
				z.set("r0", tc.mode)
				if tc.logFault != nil {
					z.fault.Add(*tc.logFault)
				}
				start := time.Now()
				_, err := z.logs[2].Append(ctx, envelope(is, 1))
				is.True(errors.Is(err, tc.err))
				is.True(time.Since(start) < tc.maxTime)
				appends, _ := z.log.Counts()
				is.True(appends <= 1) // the record is not appended twice to a slow log
			})
		})
	}
}

// TestMalformedDataGoesAlone guards against a batch that cannot be decoded because it
// contains data that does not parse, so that its other envelopes are lost.
func TestMalformedDataGoesAlone(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I) {
		z := newZone(ctx, 1, 1<<20)
		z.fault.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionDelay, Delay: 10 * time.Millisecond})
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				data := envelope(is, i)
				if i%3 == 0 {
					data = []byte("not an envelope")
				}
				_, err := z.logs[0].Append(ctx, data)
				is.NoErr(err)
			})
		}
		wg.Wait()
		page, err := z.log.Read(ctx, 1, 100, 0)
		is.NoErr(err)
		good, bad := 0, 0
		for _, rec := range page.Records {
			envelopes, err := record.Decode(rec.Data)
			if err != nil {
				bad++
			}
			good += len(envelopes)
		}
		is.Equal(good, 6)
		is.Equal(bad, 3)
	})
}
