package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/member"
)

// TestReportsArePassedOnOnce guards against reports that are returned twice by
// one process, or lost when a caller presents a position that an earlier process
// issued.
func TestReportsArePassedOnOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newReportTable("p1")
	table.put(now, member.Report{By: "h1", Sequence: 1, Dead: []string{"h9"}})
	table.put(now, member.Report{By: "h2", Sequence: 1})
	first := table.since(now, ReportPosition{})
	is.Equal(len(first.Reports), 2)
	is.Equal(len(table.since(now, first.Position).Reports), 0) // nothing new
	table.put(now, member.Report{By: "h1", Sequence: 2})
	next := table.since(now, first.Position)
	is.Equal(len(next.Reports), 1)
	is.Equal(next.Reports[0].Sequence, int64(2))
	is.Equal(len(table.since(now, ReportPosition{Process: "p0", After: 99}).Reports), 2) // a position of another process
	is.Equal(len(table.since(now.Add(time.Minute), ReportPosition{}).Reports), 0)        // the reports have expired
}
