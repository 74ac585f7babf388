package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/member"
)

func TestReportsArePassedOnOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newReportTable("p1")
	table.put(now, member.Report{By: "h1", Sequence: 1, Dead: []string{"h9"}})
	table.put(now, member.Report{By: "h2", Sequence: 1})
	first := table.after(now, ReportPlace{})
	is.Equal(len(first.Reports), 2)
	is.Equal(len(table.after(now, first.Place).Reports), 0) // nothing new
	table.put(now, member.Report{By: "h1", Sequence: 2})
	next := table.after(now, first.Place)
	is.Equal(len(next.Reports), 1)
	is.Equal(next.Reports[0].Sequence, int64(2))
	is.Equal(len(table.after(now, ReportPlace{Process: "p0", After: 99}).Reports), 2) // another process's place
	is.Equal(len(table.after(now.Add(time.Minute), ReportPlace{}).Reports), 0)        // too old
}
