package gateway

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/port"
)

func TestPack(t *testing.T) {
	report := []byte(`{"h":"front-jos-a-1","i":"8d579e25","l":{"i-e4e4846303":{"n":1,"p":0,"c":12000}}},`)
	for name, raw := range map[string][]byte{
		"one report":     report,
		"a zone's":       append([]byte("["), bytes.Repeat(report, 100)...),
		"not compressed": []byte(`[{"h":"a"}]`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			packed, err := pack(raw)
			is.NoErr(err)
			is.True(len(packed) <= len(raw))
			got, err := unpack(packed)
			is.NoErr(err)
			is.Equal(got, raw)
		})
	}
}

func TestUnpackRefuses(t *testing.T) {
	is := is.New(t)
	packed, err := pack(bytes.Repeat([]byte("x"), maxUnpackedBytes+1))
	is.NoErr(err)
	for name, record := range map[string][]byte{
		"cut short": packed[:len(packed)/2],
		"no gzip":   append(bytes.Clone(gzipMagic), "something else"...),
		"too long":  packed,
	} {
		_, err := unpack(record)
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestUnreadableReports: a record that is no report, or is empty after decompression, is skipped
// and does not end the process.
func TestUnreadableReports(t *testing.T) {
	is := is.New(t)
	var empty bytes.Buffer
	is.NoErr(gzip.NewWriter(&empty).Close())
	tp := newTestPlatform()
	g := New(testOptions("h1"), Ports{Logger: &log.Logger{Writer: &log.IOWriter{Writer: tp}}})
	for _, value := range [][]byte{empty.Bytes(), []byte("?"), gzipMagic} {
		g.receiveReports(time.Now(), []port.TopicRecord{{Key: "k", Value: value}}, false)
	}
	is.Equal(strings.Count(tp.log(), "report_unreadable"), 3)
}

// TestReportsBesideOnesWithoutHost: in a list that a relay forwards, the reports that name no host are skipped and
// logged, and the others are received.
func TestReportsBesideOnesWithoutHost(t *testing.T) {
	const sound = `{"h":"h2","i":"1","q":1}`
	for value, tc := range map[string]struct {
		heard, unreadable int
	}{
		sound:                      {1, 0},
		"[]":                       {0, 0},
		"[{}," + sound + "]":       {1, 1},
		"[" + sound + ",null,{}]":  {1, 1},
		"null":                     {0, 1},
		`{"i":"1"}`:                {0, 1},
		`[{"h":7},` + sound + "]":  {0, 1},
		`[{"h":""},{"h":""},null]`: {0, 1},
	} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			tp := newTestPlatform()
			g := New(testOptions("h1"), Ports{Logger: &log.Logger{Writer: &log.IOWriter{Writer: tp}}})
			g.receiveReports(time.Now(), []port.TopicRecord{{Key: "k", Value: []byte(value)}}, false)
			is.Equal(len(g.presence.Live()), tc.heard)
			is.Equal(strings.Count(tp.log(), "report_unreadable"), tc.unreadable)
		})
	}
}
