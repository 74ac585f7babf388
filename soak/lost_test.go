package soak

import (
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestLostRequestsAreFound guards against a check of planned stops that always passes, or counts what is excused.
func TestLostRequestsAreFound(t *testing.T) {
	stop := time.Now()
	for name, tc := range map[string]struct {
		sent, ended time.Duration // since SIGTERM
		ran         bool
		err         error
		other       time.Duration // when the host had another fault; zero for none
		want        int
	}{
		"sent before SIGTERM, cut in the grace period":  {-time.Second, 2 * time.Second, true, io.EOF, 0, 1},
		"sent after SIGTERM, cut in the grace period":   {time.Second, 2 * time.Second, true, io.EOF, 0, 1},
		"late, cut at its end":                          {4 * time.Second, 7900 * time.Millisecond, true, io.EOF, 0, 1},
		"late, not passed on but read":                  {4 * time.Second, 5 * time.Second, false, io.EOF, 0, 1},
		"answered":                                      {time.Second, 2 * time.Second, true, nil, 0, 0},
		"early, its endpoint works until the end":       {2 * time.Second, 7900 * time.Millisecond, true, io.EOF, 0, 0},
		"crosses the end of the process":                {7900 * time.Millisecond, 7950 * time.Millisecond, false, io.EOF, 0, 0},
		"finds no process":                              {8500 * time.Millisecond, 9 * time.Second, false, fmt.Errorf("dial: %w", syscall.ECONNREFUSED), 0, 0},
		"ended before SIGTERM":                          {-2 * time.Second, -time.Second, true, io.EOF, 0, 0},
		"long after the stop":                           {time.Minute, time.Minute + time.Second, true, io.EOF, 0, 0},
		"another fault of the host":                     {time.Second, 2 * time.Second, true, io.EOF, time.Second, 0},
		"another fault of the host a while before that": {2 * time.Second, 3 * time.Second, true, io.EOF, -10 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := &host{Host: platformtest.Host{Name: "h0"}, stops: []time.Time{stop}, faultTimes: []time.Time{stop}}
			if tc.other != 0 {
				h.faultTimes = append(h.faultTimes, stop.Add(tc.other))
			}
			q := &request{id: "r", host: "h0", sent: stop.Add(tc.sent), ended: stop.Add(tc.ended), answer: platformtest.Answer{Err: tc.err}}
			runs := map[string][]platformtest.Run{}
			if tc.ran {
				runs[q.id] = []platformtest.Run{{Attempt: q.id}}
			}
			tr, r := &testRun{opts: Options{Sound: true}, hosts: []*host{h}, requests: []*request{q}}, &Report{}
			tr.checkLost(r, runs)
			is.New(t).Equal(len(r.Violations), tc.want)
		})
	}
}
