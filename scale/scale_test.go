package scale_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/scale"
)

// TestSmall runs the measurement at a small size.
func TestSmall(t *testing.T) {
	is := is.New(t)
	opts := scale.Options{Settle: 3 * time.Second, Window: time.Second, Publishes: 3, ChangesPerSecond: 20}
	report, err := scale.Measure(t.Context(), []int{3, 6}, opts)
	is.NoErr(err)
	is.Equal(len(report.Sizes), 2)
	for _, s := range report.Sizes {
		is.True(s.Delay.P50 > 0)
		is.True(s.Idle.LogReads > 0)
		is.True(s.Loaded.LogAppends > 0)
		is.True(s.Idle.PeerBytes > 0)
	}
	var out bytes.Buffer
	is.NoErr(report.Table(&out))
	is.True(strings.Contains(out.String(), "2400 entry hosts"))
}

// TestOverTheLimitIsSaid checks that the table names lines over the limit.
func TestOverTheLimitIsSaid(t *testing.T) {
	is := is.New(t)
	report := scale.Report{Sizes: []scale.Size{
		{Hosts: 10, Zones: 3, Idle: scale.Rates{CloudBytes: 1000, PeerBytes: 100}},
		{Hosts: 110, Zones: 3, Idle: scale.Rates{CloudBytes: 11000, PeerBytes: 100}},
	}}
	lines := report.Extrapolate()
	is.Equal(lines[0].Value, 1240000.0) // 100 B/s for each of 12,400 rows
	is.True(lines[0].Over())
	is.True(!lines[1].Over())
	var out bytes.Buffer
	is.NoErr(report.Table(&out))
	is.Equal(strings.Count(out.String(), "OVER THE LIMIT"), 1)
}

// TestFigures prints the figures at 7, 50 and 200 entry hosts. It takes a few
// minutes and runs when SCALE_FIGURES is set.
func TestFigures(t *testing.T) {
	if os.Getenv("SCALE_FIGURES") == "" {
		t.Skip("set SCALE_FIGURES to measure")
	}
	is := is.New(t)
	report, err := scale.Measure(t.Context(), []int{7, 50, 200}, scale.DefaultOptions())
	is.NoErr(err)
	is.NoErr(report.Table(os.Stdout))
}
