package scale_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/scale"
)

// TestSmall runs the measurement with three and six entry hosts: all figures that the
// extrapolation uses must be measured.
func TestSmall(t *testing.T) {
	is := is.New(t)
	opts := scale.Options{SettleDelay: 3 * time.Second, Window: time.Second, Publishes: 3, ChangesPerSecond: 20}
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

// TestOverLimitIsMarked checks that the table marks exactly the lines over the limit.
func TestOverLimitIsMarked(t *testing.T) {
	is := is.New(t)
	report := scale.Report{EntryWireBytes: 100, EndpointWireBytes: 100, Sizes: []scale.Size{
		{Hosts: 10, Zones: 3, Idle: scale.Rates{PeerBytes: 100}},
		{Hosts: 110, Zones: 3, Idle: scale.Rates{PeerBytes: 100}},
	}}
	lines := report.Extrapolate()
	is.Equal(lines[0].Value, 2480000.0) // 100 bytes for each of 12,400 rows, twice a second
	is.True(lines[0].Over())
	is.True(!lines[1].Over())
	var out bytes.Buffer
	is.NoErr(report.Table(&out))
	is.Equal(strings.Count(out.String(), "OVER THE LIMIT"), 1)
}
