package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStandbyHoldsWhatNobodyAsksFor guards against a zone without any share once its keeper has failed (incident 0020),
// and against a share that lies idle at a standby while the workspace is over its limit.
func TestStandbyHoldsWhatNobodyAsksFor(t *testing.T) {
	const limit = 1000.0
	for name, tc := range map[string]struct {
		demands  []float64 // of the keepers, units per second
		standbys int
		used     float64 // demand at the first standby, whose keeper is silent
		want     []Parts // of the keepers, then of the standbys
	}{
		"nobody asks":                  {[]float64{0}, 1, 0, []Parts{500_000, 500_000}},
		"a twentieth of the limit":     {[]float64{50}, 1, 0, []Parts{525_000, 475_000}},
		"half of the limit, two zones": {[]float64{250, 250}, 2, 0, []Parts{375_000, 375_000, 125_000, 125_000}},
		"near the limit":               {[]float64{900}, 1, 0, []Parts{Whole, 0}},
		"at the limit":                 {[]float64{1000}, 1, 0, []Parts{Whole, 0}},
		"over the limit, two zones":    {[]float64{3000, 1000}, 2, 0, []Parts{737_500, 262_500, 0, 0}},
		"a standby is asked":           {[]float64{250}, 2, 250, []Parts{416_667, 416_666, 166_667}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			l := NewLedger(now, 1, Before{})
			n := len(tc.demands) + tc.standbys
			held := make([]Parts, n)
			const rounds = 6
			for round := range int64(rounds) {
				for i := n - 1; i >= 0; i-- { // standbys first
					c := Call{Host: string(rune('a' + i)), Start: 1, Sequence: round + 1, Token: 1, Holds: true, Held: map[string]Parts{workspace: held[i]}}
					demand := 0.0
					switch {
					case i < len(tc.demands):
						demand = tc.demands[i]
					case i == len(tc.demands):
						demand = tc.used
						fallthrough
					default:
						c.Standby = true
					}
					c.Demand = map[string]float64{workspace: demand}
					reply, err := l.Answer(now, c, map[string]float64{workspace: limit})
					is.NoErr(err)
					held[i] = reply.Shares[workspace]
				}
			}
			sum := Parts(0)
			for i, p := range held {
				sum += p
				t.Logf("%d holds %d, target %d", i, p, tc.want[i])
				is.True(float64(p) <= (1+slackRatio)*float64(tc.want[i])+1)                       // a holder keeps some more than its target
				is.True(float64(p) >= float64(tc.want[i])-slackRatio*float64(Whole-tc.want[i])-1) // at the expense of the others
			}
			is.Equal(sum, Whole)
		})
	}
}
