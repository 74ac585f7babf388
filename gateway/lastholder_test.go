package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// TestStreamsGoOnAfterTheLossOfMostHosts guards against streams of two software versions that are refused at the hosts that
// are left, as their records were held by hosts that were lost with the one that began them (incident 0023).
func TestStreamsGoOnAfterTheLossOfMostHosts(t *testing.T) {
	t.Parallel()
	const streams = 60
	for name, tc := range map[string]struct {
		hosts, lost int
		wentOn      int // at least
	}{
		"3 of 4":   {4, 3, streams},
		"8 of 9":   {9, 8, streams},
		"15 of 16": {16, 15, streams},
		"10 of 20": {20, 10, streams / 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startContinuation(t, tc.hosts, "11", "12", "21", "22")
				rng := rand.New(rand.NewPCG(1, 1))
				rng.Shuffle(len(c.hosts), func(i, j int) { c.hosts[i], c.hosts[j] = c.hosts[j], c.hosts[i] })
				lost, left := c.hosts[:tc.lost], c.hosts[tc.lost:]
				var ids []string
				for n := range streams {
					ids = append(ids, c.begin(t.Context(), lost[n%tc.lost], 1)...)
				}
				time.Sleep(200 * time.Millisecond)
				c.failAll(t, lost)
				wentOn := 0
				for n, id := range ids {
					on, refused := c.resume(t, left[n%len(left)], []string{id})
					wentOn += on
					for _, p := range refused {
						is.Equal(p.Run, problem.RunNot)
						is.Equal(p.Status, 503)
					}
				}
				is.True(wentOn >= tc.wentOn)
			})
		})
	}
}

// TestStreamsGoOnAfterASecondLoss guards against streams that were taken up at the only host that knew where they began, and
// are refused when that one is lost too: the hosts that have started again since hold no records (incident 0023).
func TestStreamsGoOnAfterASecondLoss(t *testing.T) {
	t.Parallel()
	const streams = 24
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startContinuation(t, 5, "11", "12", "21", "22")
		ids := c.begin(t.Context(), c.hosts[0], streams)
		time.Sleep(200 * time.Millisecond)
		c.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
			return streamReply(ctx, f, io.EOF, 100*time.Millisecond, events(position(f)+1, 9)...), nil
		}
		left := c.hosts[4]
		c.failAll(t, c.hosts[:4])
		late := c.startLate(t, "late")
		time.Sleep(settleTime)
		wentOn, _ := c.resume(t, left, ids)
		is.Equal(wentOn, streams)
		time.Sleep(200 * time.Millisecond)
		c.fail(t, left)
		wentOn, _ = c.resume(t, late, ids)
		is.Equal(wentOn, streams)
	})
}

// TestRefusedTakeUpTellsWhoWasAsked: the log tells whom a host asked where a stream began, and what each said.
func TestRefusedTakeUpTellsWhoWasAsked(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startContinuation(t, 3, "11", "12", "21", "22")
		c.fail(t, c.hosts[0])
		wentOn, _ := c.resume(t, c.hosts[1], []string{"lost"})
		is.Equal(wentOn, 0)
		for _, part := range []string{`"origin":"lost"`, `"llm v1"`, `"llm v2"`, `"h2: no record"`, `"h0: `} {
			is.True(hasEvent(c.log(), "origin_unknown", part))
		}
	})
}

// failAll makes hosts unreachable for the others at the same moment, and ends their processes.
func (c *continuation) failAll(t *testing.T, hosts []*Gateway) {
	var all sync.WaitGroup
	for _, g := range hosts {
		all.Go(func() { c.fail(t, g) })
	}
	all.Wait()
}

func hasEvent(log, event, part string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, fmt.Sprintf("%q", event)) && strings.Contains(line, part) {
			return true
		}
	}
	return false
}
