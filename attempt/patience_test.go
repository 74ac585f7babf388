package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatience(t *testing.T) {
	for name, tc := range map[string]struct {
		took     []time.Duration
		from, to time.Duration
	}{
		"nothing observed":         {nil, 0, 0},
		"one answer":               {[]time.Duration{100}, 300, 300},
		"all alike":                {repeat(30, 100), 30, 32},
		"now slower":               {append(repeat(30, 100), repeat(200, 40)...), 200, 300},
		"one far off among others": {append(repeat(30, 100), 900), 100, 1100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p Patience
			for _, ms := range tc.took {
				p.Observe(ms * time.Millisecond)
			}
			most := p.Most()
			is.True(most >= tc.from*time.Millisecond && most <= tc.to*time.Millisecond)
		})
	}
}

// repeat returns n times the same number of milliseconds.
func repeat(ms time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = ms
	}
	return out
}
