package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
)

// chunkedBody returns its chunks one by one, then io.EOF.
type chunkedBody struct{ chunks []string }

func (b *chunkedBody) Read(p []byte) (int, error) {
	if len(b.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.chunks[0])
	b.chunks = b.chunks[1:]
	return n, nil
}

func (b *chunkedBody) Close() error { return nil }

// BenchmarkForwardEvent measures what forwarding an event costs, in streams of 1,000 events.
func BenchmarkForwardEvent(b *testing.B) {
	const length = 1000
	for name, perRead := range map[string]int{"one a read": 1, "ten a read": 10} {
		b.Run(name, func(b *testing.B) {
			var chunks []string
			for id := 1; id <= length; id += perRead {
				var chunk strings.Builder
				for n := id; n < id+perRead; n++ {
					chunk.WriteString("id: " + strconv.Itoa(n) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\" of the same\"}}]}\n\n")
				}
				chunks = append(chunks, chunk.String())
			}
			g := &Gateway{metrics: newMetrics(), account: memory.NewAccount(0)}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n += length {
				// Its first event has come before, so that the beginning of a stream is left out.
				c := &call{g: g, req: &port.Request{}, out: &countingResponder{}, route: &catalog.Route{Kind: catalog.KindStreaming}, headSent: true, events: 1}
				a := &endpointAttempt{answered: true, continued: true}
				a.begunAt = a.begunAt.AddDate(9000, 0, 0)
				reply := &port.Reply{Status: http.StatusOK, Stream: true, Length: -1, Body: &chunkedBody{chunks}}
				if o, err := c.forwardStream(a, reply, &watchdog{}); o != outcomeComplete || c.events != length+1 {
					b.Fatalf("got %s, %v after %d events, want a complete stream", o, err, c.events)
				}
			}
		})
	}
}

// BenchmarkLongEvent measures what splitting an event of the greatest size costs that arrives byte by byte.
func BenchmarkLongEvent(b *testing.B) {
	event := []byte("id: 1\ndata: " + strings.Repeat("x", maxEventBytes-len("id: 1\ndata: \n\n")) + "\n\n")
	for b.Loop() {
		var splitter eventSplitter
		found := 0
		for i := range event {
			events, err := splitter.add(event[i : i+1])
			if err != nil {
				b.Fatal(err)
			}
			found += len(events)
		}
		if found != 1 {
			b.Fatalf("got %d events, want 1", found)
		}
	}
}
