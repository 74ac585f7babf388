package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTenure(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	opts := Options{TTL: 3 * time.Second, Margin: time.Second}
	for name, tc := range map[string]struct {
		steps func(*Tenure)
		now   float64
		token int64
		held  bool
	}{
		"never taken":                   {func(*Tenure) {}, 0, 0, false},
		"taken":                         {func(x *Tenure) { x.Acquired(at(0), 5) }, 1.9, 5, true},
		"stops a margin before the TTL": {func(x *Tenure) { x.Acquired(at(0), 5) }, 2, 0, false},
		"renewed":                       {func(x *Tenure) { x.Acquired(at(0), 5); x.Renewed(at(1)) }, 2.9, 5, true},
		"renewed too late":              {func(x *Tenure) { x.Acquired(at(0), 5); x.Renewed(at(2)) }, 2.1, 0, false},
		"lost":                          {func(x *Tenure) { x.Acquired(at(0), 5); x.Lost() }, 0.1, 0, false},
		"renewed without being taken":   {func(x *Tenure) { x.Renewed(at(0)) }, 0.1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := NewTenure(opts)
			tc.steps(x)
			token, held := x.Held(at(tc.now))
			is.Equal(held, tc.held)
			is.Equal(token, tc.token)
		})
	}
}
