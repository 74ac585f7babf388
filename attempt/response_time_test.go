package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestResponseTimeEstimator(t *testing.T) {
	for name, tc := range map[string]struct {
		samplesMS []time.Duration
		min, max  time.Duration // milliseconds
	}{
		"nothing observed": {nil, 0, 0},
		"one sample":       {[]time.Duration{100}, 300, 300},
		"constant":         {repeated(30, 100), 30, 32},
		"becomes slower":   {append(repeated(30, 100), repeated(200, 40)...), 200, 300},
		"one outlier":      {append(repeated(30, 100), 900), 100, 1100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var e ResponseTimeEstimator
			for _, ms := range tc.samplesMS {
				e.Observe(ms * time.Millisecond)
			}
			bound := e.Estimate()
			is.True(bound >= tc.min*time.Millisecond && bound <= tc.max*time.Millisecond)
		})
	}
}

// repeated returns n samples of ms milliseconds.
func repeated(ms time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = ms
	}
	return out
}
