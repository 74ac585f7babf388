package gateway

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"testing"
)

// drawStream returns a random stream of events and comments, and where each of them ends.
func drawStream(rng *rand.Rand) (stream []byte, ends map[int]bool) {
	ends = map[int]bool{0: true}
	line := func(text string) {
		stream = append(stream, text...)
		if rng.IntN(3) == 0 {
			stream = append(stream, '\r')
		}
		stream = append(stream, '\n')
	}
	for id := range rng.IntN(6) {
		if rng.IntN(4) == 0 {
			line(": " + strconv.Itoa(id))
			ends[len(stream)] = true
		}
		if rng.IntN(4) > 0 {
			line("id: " + strconv.Itoa(id))
		}
		for range 1 + rng.IntN(2) {
			line("data: " + strconv.Itoa(rng.IntN(1000)))
		}
		line("")
		ends[len(stream)] = true
	}
	if rng.IntN(4) == 0 {
		line("")
		ends[len(stream)] = true
	}
	return stream, ends
}

// FuzzCutStream guards against a broken-off stream that looks complete (incident 0003): a stream is cut
// anywhere and read in pieces of any size. What is taken as complete ended where an event or a comment ends, and no byte
// of an event that is not whole is forwarded.
func FuzzCutStream(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		stream, ends := drawStream(rng)
		for cut := 0; cut <= len(stream); cut++ {
			var splitter eventSplitter
			var forwarded []byte
			for rest := stream[:cut]; len(rest) > 0; {
				n := 1 + rng.IntN(len(rest))
				forwarded = append(forwarded, splitter.add(rest[:n])...)
				rest = rest[n:]
				if !ends[len(forwarded)] {
					t.Fatalf("stream %q cut at %d: forwarded %q, want whole events", stream, cut, forwarded)
				}
			}
			if got := append(forwarded, splitter.rest()...); !bytes.Equal(got, stream[:cut]) {
				t.Fatalf("stream %q cut at %d: split into %q", stream, cut, got)
			}
			// A CR before the LF of a blank line may be missing: the event is not forwarded, but nothing of it is lost.
			if !endsInsideEvent(splitter.rest()) && !ends[cut] && !(stream[cut-1] == '\r' && ends[cut+1]) {
				t.Fatalf("stream %q cut at %d is taken as complete", stream, cut)
			}
		}
	})
}

// FuzzFirstEventLen: events that arrive together are told apart as they are when they arrive one by one.
func FuzzFirstEventLen(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		stream, ends := drawStream(rand.New(rand.NewPCG(seed, 2)))
		for at := 0; at < len(stream); {
			at += firstEventLen(stream[at:])
			if !ends[at] {
				t.Fatalf("stream %q: event ends at %d", stream, at)
			}
		}
	})
}
