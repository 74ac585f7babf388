package gateway

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// pausingBody is the body of a stream that pauses once.
type pausingBody struct {
	*streamBody
	before int // events before the pause
	long   time.Duration
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if b.before == 0 {
		select {
		case <-afterDelay(b.long):
		case <-b.ctx.Done():
			return 0, port.ErrBroken
		}
	}
	b.before--
	return b.streamBody.Read(p)
}

// TestSoundPauseDoesNotEndAStream guards against a host that gives a sound stream up because of a pause, for an endpoint
// that has no room: the stream is cut. A stream that is stuck must still go on elsewhere before its caller leaves.
func TestSoundPauseDoesNotEndAStream(t *testing.T) {
	t.Parallel()
	const (
		interval  = 100 * time.Millisecond
		callerGap = 2400 * time.Millisecond // of the route: eight times its longest pause
		forever   = time.Hour
		others    = 3
		count     = 15 // events
	)
	for name, tc := range map[string]struct {
		pause    time.Duration
		othersGo bool // other streams of the host at the endpoint make progress meanwhile
		full     bool // the other endpoint has no room
		attempts int
	}{
		"a pause of a second":                       {time.Second, false, true, 1},
		"a pause until shortly before callers go":   {1800 * time.Millisecond, false, true, 1},
		"a pause of more than a second":             {1300 * time.Millisecond, false, true, 1},
		"preempted for a second":                    {1200 * time.Millisecond, true, true, 1},
		"preempted until shortly before callers go": {1900 * time.Millisecond, true, true, 1},
		"a pause of a second, room elsewhere":       {time.Second, false, false, 1},
		"silent for good, room elsewhere":           {forever, false, false, 2},
		"silent for good for one, room elsewhere":   {forever, true, false, 2},
	} {
		for _, leaving := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", stopping: ", leaving), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					tp := newTestPlatform()
					tp.publish(withSlots(endpoint("1", "llm"), 64), withSlots(endpoint("2", "llm"), 64))
					var mu sync.Mutex
					home := "" // the endpoint of all first attempts
					tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
						mu.Lock()
						defer mu.Unlock()
						if f.ID == "req" && n == 1 {
							home = f.Endpoint
						}
						if f.Endpoint != home && (f.ID != "req" || tc.full) {
							return declinedReply(f), nil
						}
						after, _ := strconv.Atoi(f.After) // empty at the first attempt
						reply := streamReply(ctx, f, io.EOF, interval, events(after+1, count)...)
						if f.Endpoint == home && f.ID == "req" {
							reply.Body = &pausingBody{reply.Body.(*streamBody), 5, tc.pause}
						}
						return reply, nil
					}
					tp.endpoints.full = func(string) bool { return tc.full }
					g := tp.startHost(t, testOptions("h1"))
					time.Sleep(settleTime)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					r := &gapRecorder{}
					var all sync.WaitGroup
					served := func(id string, out Responder) {
						req := &port.Request{ID: id, Method: "GET", Host: "x", Path: "/resume/1", Key: "key", CallerTimeout: time.Minute, HasTokens: true, PromptTokens: 80, AnswerTokens: 180}
						g.Serve(ctx, time.Now(), req, out)
					}
					all.Go(func() { served("req", r) })
					time.Sleep(interval)
					if tc.othersGo {
						for n := range others {
							all.Go(func() { served(fmt.Sprint("other", n), &recorder{}) })
						}
					}
					if leaving {
						go g.Leave(ctx)
					}
					all.Wait()
					is.True(!r.aborted)
					is.Equal(r.body.String(), strings.Join(events(1, count), ""))
					is.Equal(len(tp.endpoints.attempts("req")), tc.attempts)
					is.True(slices.Max(r.gaps) < callerGap)
				})
			})
		}
	}
}

// gapRecorder records the pauses between the parts of an answer.
type gapRecorder struct {
	recorder
	gaps []time.Duration
	last time.Time
}

func (r *gapRecorder) Write(p []byte) error {
	now := time.Now()
	if !r.last.IsZero() {
		r.gaps = append(r.gaps, now.Sub(r.last))
	}
	r.last = now
	return r.recorder.Write(p)
}
