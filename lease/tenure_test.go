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
		steps        func(*Tenure)
		now          float64
		fencingToken int64
		held         bool
	}{
		"never acquired": {func(*Tenure) {}, 0, 0, false},
		"acquired":       {func(tenure *Tenure) { tenure.Acquired(at(0), 5) }, 1.9, 5, true},
		"expires a margin before the end of the TTL": {func(tenure *Tenure) { tenure.Acquired(at(0), 5) }, 2, 0, false},
		"renewed":                        {func(tenure *Tenure) { tenure.Acquired(at(0), 5); tenure.Renewed(at(1)) }, 2.9, 5, true},
		"renewed too late":               {func(tenure *Tenure) { tenure.Acquired(at(0), 5); tenure.Renewed(at(2)) }, 2.1, 0, false},
		"lost":                           {func(tenure *Tenure) { tenure.Acquired(at(0), 5); tenure.Lost() }, 0.1, 0, false},
		"renewed without being acquired": {func(tenure *Tenure) { tenure.Renewed(at(0)) }, 0.1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tenure := NewTenure(opts)
			tc.steps(tenure)
			fencingToken, held := tenure.Held(at(tc.now))
			is.Equal(held, tc.held)
			is.Equal(fencingToken, tc.fencingToken)
			is.Equal(tenure.Remaining(at(tc.now)) > 0, tc.held)
		})
	}
}
