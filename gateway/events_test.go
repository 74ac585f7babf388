package gateway

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
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
		line("id: " + strconv.Itoa(id))
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
				found, err := splitter.add(rest[:n])
				if err != nil {
					t.Fatalf("stream %q cut at %d: %v", stream, cut, err)
				}
				forwarded = append(forwarded, joinEvents(found)...)
				rest = rest[n:]
				if !ends[len(forwarded)] {
					t.Fatalf("stream %q cut at %d: forwarded %q, want whole events", stream, cut, forwarded)
				}
			}
			if got := append(forwarded, splitter.rest()...); !bytes.Equal(got, stream[:cut]) {
				t.Fatalf("stream %q cut at %d: split into %q", stream, cut, got)
			}
			// A CR before the LF of a blank line may be missing: the event is not forwarded, but nothing of it is lost.
			if !splitter.insideEvent() && !ends[cut] && !(stream[cut-1] == '\r' && ends[cut+1]) {
				t.Fatalf("stream %q cut at %d is taken as complete", stream, cut)
			}
		}
	})
}

// joinEvents returns the bytes of events.
func joinEvents(events []event) []byte {
	var out []byte
	for _, e := range events {
		out = append(out, e.bytes...)
	}
	return out
}

// FuzzEventsInOneRead: events that arrive together are told apart as they are when they arrive one by one.
func FuzzEventsInOneRead(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		stream, ends := drawStream(rand.New(rand.NewPCG(seed, 2)))
		var splitter eventSplitter
		found, err := splitter.add(stream)
		if err != nil {
			t.Fatalf("stream %q: %v", stream, err)
		}
		at := 0
		for id, e := range found {
			if at += len(e.bytes); !ends[at] {
				t.Fatalf("stream %q: event ends at %d", stream, at)
			}
			if string(e.id) != strconv.Itoa(id) {
				t.Fatalf("stream %q: event %d has the id %q", stream, id, e.id)
			}
		}
		if at += len(splitter.rest()); at != len(stream) || splitter.insideEvent() {
			t.Fatalf("stream %q: %q is left of it", stream, splitter.rest())
		}
	})
}

// FuzzGarbageInStream guards against bytes that are no event and are forwarded: garbage is put where an event or a comment
// of a stream ends, and the stream is read in pieces of any size. The events before the garbage are forwarded, no byte behind
// them is, and it is found once its lines are read.
func FuzzGarbageInStream(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	forms := slices.Sorted(maps.Keys(garbage))
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 3))
		stream, ends := drawStream(rng)
		places := slices.Sorted(maps.Keys(ends))
		before := stream[:places[rng.IntN(len(places))]]
		form := forms[rng.IntN(len(forms))]
		var sound eventSplitter
		want, err := sound.add(append(slices.Clone(before), soundBeginning(form)...))
		if err != nil {
			t.Fatal(err)
		}
		var splitter eventSplitter
		var forwarded []byte
		for rest := append(append(slices.Clone(before), garbage[form]...), stream[len(before):]...); len(rest) > 0; {
			n := 1 + rng.IntN(len(rest))
			var found []event
			if found, err = splitter.add(rest[:n]); err != nil {
				rest = nil
			} else {
				rest = rest[n:]
			}
			forwarded = append(forwarded, joinEvents(found)...)
		}
		if !errors.Is(err, port.ErrGarbage) {
			t.Fatalf("%s behind %q: got error %v, want garbage", form, before, err)
		}
		if !bytes.Equal(forwarded, joinEvents(want)) {
			t.Fatalf("%s behind %q: forwarded %q, want %q", form, before, forwarded, joinEvents(want))
		}
	})
}

// FuzzSplitBytes: whatever an endpoint sends, what is taken for events is valid text, each with one id, and the result does
// not depend on the reads in which the bytes arrive.
func FuzzSplitBytes(f *testing.F) {
	for _, form := range slices.Sorted(maps.Keys(garbage)) {
		f.Add([]byte(strings.Join(events(1, 3), "") + garbage[form]))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		var whole, single eventSplitter
		found, err := whole.add(stream)
		for _, e := range found {
			if !utf8.Valid(e.bytes) || bytes.IndexByte(e.bytes, 0) >= 0 || !isDecimal(e.id) || bytes.Count(e.bytes, e.id) == 0 {
				t.Fatalf("stream %q: %q with the id %q is taken for an event", stream, e.bytes, e.id)
			}
		}
		var forwarded []byte
		var singleErr error
		for i := 0; i < len(stream) && singleErr == nil; i++ {
			var next []event
			next, singleErr = single.add(stream[i : i+1])
			forwarded = append(forwarded, joinEvents(next)...)
		}
		if !bytes.Equal(forwarded, joinEvents(found)) || (err == nil) != (singleErr == nil) {
			t.Fatalf("stream %q: got %q, %v in one read and %q, %v byte by byte", stream, joinEvents(found), err, forwarded, singleErr)
		}
	})
}
