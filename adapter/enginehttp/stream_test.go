package enginehttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

func newTestStream(text string) *stream {
	return newStream(io.NopCloser(strings.NewReader(text)), func() {})
}

// chunkEvent returns one event in the form that an engine sends.
func chunkEvent(attempt string, index int, text string) string {
	return fmt.Sprintf("id: %s/%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", attempt, index, text)
}

const finishEvent = "id: a/2\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\ndata: [DONE]\n\n"

func TestRecv(t *testing.T) {
	complete := chunkEvent("a", 0, "x") + chunkEvent("a", 1, "y") + finishEvent
	for name, tc := range map[string]struct {
		text   string
		chunks int
		broken bool
	}{
		"complete":                         {complete, 3, false},
		"comments between":                 {": hello\n\n" + complete, 3, false},
		"CRLF lines":                       {strings.ReplaceAll(complete, "\n", "\r\n"), 3, false},
		"truncated in an event":            {complete[:60], 0, true},
		"truncated between events":         {chunkEvent("a", 0, "x"), 1, true},
		"end marker without finish reason": {chunkEvent("a", 0, "x") + "data: [DONE]\n\n", 1, true},
		"no id":                            {"data: {}\n\n", 0, true},
		"id without index":                 {"id: a\ndata: {}\n\n", 0, true},
		"id with a bad index":              {"id: a/-1\ndata: {}\n\n", 0, true},
		"broken JSON":                      {"id: a/0\ndata: {\n\n", 0, true},
		"line too long":                    {"id: a/0\ndata: " + strings.Repeat("x", maxLineBytes+1), 0, true},
		"a line of text between":           {chunkEvent("a", 0, "x") + "no event\n\n" + chunkEvent("a", 1, "y") + finishEvent, 1, true},
		"a line of text in an event":       {chunkEvent("a", 0, "x") + "id: a/1\nno field\ndata: {\"choices\":[{}]}\n\n" + finishEvent, 1, true},
		"a head of a response between":     {chunkEvent("a", 0, "x") + "HTTP/1.1 500 Internal Server Error\r\n\r\n" + finishEvent, 1, true},
		"JSON without a field":             {chunkEvent("a", 0, "x") + "{\"error\":{\"message\":\"oops\"}}\n\n" + finishEvent, 1, true},
		"an error in an event":             {chunkEvent("a", 0, "x") + "id: a/1\ndata: {\"error\":{\"message\":\"oops\"}}\n\n" + finishEvent, 1, true},
		"JSON that is no object":           {chunkEvent("a", 0, "x") + "id: a/1\ndata: \"oops\"\n\n" + finishEvent, 1, true},
		"JSON null":                        {chunkEvent("a", 0, "x") + "id: a/1\ndata: null\n\n" + finishEvent, 1, true},
		"bytes between":                    {chunkEvent("a", 0, "x") + "\x8b\x00\n\xfe\n\n" + finishEvent, 1, true},
		"invalid UTF-8 in the text":        {chunkEvent("a", 0, "x") + "id: a/1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\xff\"},\"finish_reason\":null}]}\n\n" + finishEvent, 1, true},
		"NUL in the text":                  {chunkEvent("a", 0, "x") + "id: a/1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\x00\"},\"finish_reason\":null}]}\n\n" + finishEvent, 1, true},
		"a second data line":               {chunkEvent("a", 0, "x") + "id: a/1\ndata: {\"choices\":[{}]}\ndata: {\"choices\":[{}]}\n\n" + finishEvent, 2, true},
		"a time to retry after":            {"retry: 100\n\n" + complete, 3, false},
		"an event type":                    {"event: chunk\n" + complete, 3, false},
		"a further field":                  {"weight-versions: 3\n" + complete, 3, false},
		"a byte order mark":                {"\xef\xbb\xbf" + complete, 3, false},
		"id of the previous event only":    {chunkEvent("a", 0, "x") + "data: {}\n\n", 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStream(tc.text)
			count := 0
			for {
				c, err := s.Recv()
				if err == nil {
					is.Equal(c.Index, count)
					count++
					continue
				}
				is.Equal(errors.Is(err, port.ErrEndpointBroken), tc.broken)
				is.Equal(errors.Is(err, io.EOF), !tc.broken)
				break
			}
			is.Equal(count, tc.chunks)
		})
	}
}

// TestNothingOfOneEventIsLeftInTheNext guards against values of one event that
// remain in the reused decoding buffer: it sends events that lack members of the
// event before.
func TestNothingOfOneEventIsLeftInTheNext(t *testing.T) {
	is := is.New(t)
	s := newTestStream(chunkEvent("a", 0, "x") + "id: a/1\ndata: {\"choices\":[{}]}\n\n" + "id: b/2\ndata: {}\n\n")
	for i, want := range []port.Chunk{{AttemptID: "a", Index: 0, Text: "x"}, {AttemptID: "a", Index: 1}, {AttemptID: "b", Index: 2}} {
		c, err := s.Recv()
		is.NoErr(err)
		is.Equal(c, want) // chunk
		is.Equal(c.Index, i)
	}
}

// TestConnectionReuse checks that a connection is reused only after a response that
// was read to its end. On any other connection the next call could read bytes that
// belong to an earlier response.
func TestConnectionReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		// keepOpen leaves the reply open after the body.
		keepOpen bool
		read     int
		conns    int64
	}{
		"read to its end":                   {chunkEvent("a", 0, "x") + finishEvent, false, 3, 1},
		"left unread":                       {chunkEvent("a", 0, "x"), true, 1, 2},
		"bytes after the finish":            {finishEvent + chunkEvent("b", 3, "of another"), true, 2, 2},
		"reply stays open after the finish": {finishEvent, true, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var conns atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, tc.body) // the client may have disconnected
				if tc.keepOpen {
					_ = http.NewResponseController(w).Flush() // as above
					<-r.Context().Done()
				}
			}))
			server.Config.ConnState = countNew(&conns)
			server.Start()
			defer server.Close()
			e := New(nil)
			for range 2 {
				st, err := e.Generate(t.Context(), strings.TrimPrefix(server.URL, "http://"), port.GenerateRequest{AttemptID: "a", Body: []byte("{}")})
				is.NoErr(err)
				for range tc.read {
					_, _ = st.Recv() // an error is expected in some cases
				}
				is.NoErr(st.Close())
			}
			is.Equal(conns.Load(), tc.conns)
		})
	}
}

func countNew(n *atomic.Int64) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			n.Add(1)
		}
	}
}

func TestRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		status  int
		headers map[string]string
		want    error
		not     error
	}{
		"declined by id":     {503, map[string]string{HeaderAttempt: "a", HeaderAttemptRun: RunNot}, port.ErrDeclined, nil},
		"not stated":         {503, nil, port.ErrEndpointRefused, port.ErrDeclined},
		"of another attempt": {503, map[string]string{HeaderAttempt: "b", HeaderAttemptRun: RunNot}, port.ErrEndpointRefused, port.ErrDeclined},
		"too many requests":  {429, nil, port.ErrEndpointRefused, port.ErrDeclined},
		"failure":            {500, nil, port.ErrEndpointBroken, port.ErrEndpointRefused},
		"invalid request":    {400, nil, port.ErrRequestInvalid, port.ErrEndpointBroken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for k, v := range tc.headers {
					w.Header().Set(k, v)
				}
				w.WriteHeader(tc.status)
			}))
			defer server.Close()
			sent := 0
			_, err := New(nil).Generate(t.Context(), strings.TrimPrefix(server.URL, "http://"), port.GenerateRequest{AttemptID: "a", Body: []byte("{}"), OnSend: func() { sent++ }})
			is.True(errors.Is(err, tc.want))
			is.True(tc.not == nil || !errors.Is(err, tc.not))
			is.Equal(sent, 1)
		})
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := New(nil).Generate(t.Context(), address, port.GenerateRequest{AttemptID: "a", Body: []byte("{}"), OnSend: func() { t.Error("nothing was sent") }})
	is.True(errors.Is(err, port.ErrEndpointUnreachable))
}

// TestEventTemplate checks that a chunk extracted with a template equals the decoded
// one. A wrong template would return text of another member, or drop a finish
// reason.
func TestEventTemplate(t *testing.T) {
	before := `{"choices":[{"delta":{"content":"`
	for name, tc := range map[string]struct{ first, second string }{
		"plain":                      {before + `x"}}]}`, before + `y"}}]}`},
		"escapes":                    {before + `x"}}]}`, before + `a\"b\n"}}]}`},
		"not UTF-8":                  {before + `x"}}]}`, before + "\xff" + `"}}]}`},
		"empty":                      {before + `x"}}]}`, before + `"}}]}`},
		"finish":                     {before + `x"}}]}`, before + `y"},"finish_reason":"stop"}]}`},
		"injected members":           {before + `x"}}]}`, before + `y"},"text":"z"}}]}`},
		"text in another member too": {`{"model":"x","choices":[{"delta":{"content":"x"}}]}`, `{"model":"y","choices":[{"delta":{"content":"x"}}]}`},
		"text in escapes":            {`{"model":"x","choices":[{"delta":{"content":"\u0078"}}]}`, `{"model":"y","choices":[{"delta":{"content":"\u0078"}}]}`},
		"two texts":                  {`{"choices":[{"delta":{"content":"x"},"text":"x"}]}`, `{"choices":[{"delta":{"content":"y"},"text":"x"}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			templated := newTestStream("id: a/0\ndata: " + tc.first + "\n\nid: a/1\ndata: " + tc.second + "\n\n")
			_, err := templated.Recv()
			is.NoErr(err)
			got, gotErr := templated.Recv()
			want, wantErr := newTestStream("id: a/1\ndata: " + tc.second + "\n\n").Recv()
			is.Equal(gotErr == nil, wantErr == nil)
			is.Equal(got, want)
		})
	}
}

func FuzzRecv(f *testing.F) {
	f.Add([]byte(chunkEvent("a", 0, "x") + finishEvent))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte("id: a/0\ndata: {\"choices\":[{\"text\":\"\\u0000\"}]}\n"))
	f.Add([]byte("id: /\ndata:"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newStream(io.NopCloser(bytes.NewReader(data)), func() {})
		for range len(data) + 1 {
			c, err := s.Recv()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, port.ErrEndpointBroken) {
					t.Fatalf("error is %v, want io.EOF or ErrEndpointBroken", err)
				}
				return
			}
			if c.Index < 0 {
				t.Fatalf("chunk index is %d, want at least 0", c.Index)
			}
		}
		t.Fatal("more chunks than bytes")
	})
}

// BenchmarkRecv reads one chunk of an engine's stream. The sub-benchmark json only
// decodes the JSON of the event with encoding/json, for comparison.
func BenchmarkRecv(b *testing.B) {
	event := chunkEvent("0123456789abcdef0123456789abcdef", 7, " token")
	b.Run("recv", func(b *testing.B) {
		b.ReportAllocs()
		s := newStream(io.NopCloser(&repeatReader{text: []byte(event)}), func() {})
		for range b.N {
			if _, err := s.Recv(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("json", func(b *testing.B) {
		b.ReportAllocs()
		data := []byte(strings.TrimSpace(event[strings.Index(event, "{"):]))
		for range b.N {
			var ev struct{ Choices []eventChoice }
			if err := json.Unmarshal(data, &ev); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// repeatReader returns the same text over and over.
type repeatReader struct {
	text   []byte
	offset int
}

// Read implements io.Reader.
func (r *repeatReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	return n, nil
}

// TestCutAtEveryByte guards against a stream that was broken off and looks complete: wherever it is cut, it
// ends without an error only if the finish reason has arrived, and no chunk is returned of half an event.
func TestCutAtEveryByte(t *testing.T) {
	is := is.New(t)
	texts := []string{"abc", "12", ""}
	complete := chunkEvent("a", 0, texts[0]) + chunkEvent("a", 1, texts[1]) + finishEvent
	finishedAt := strings.Index(complete, "\n\ndata: [DONE]")
	for cut := range len(complete) + 1 {
		s := newTestStream(complete[:cut])
		for n := 0; ; n++ {
			c, err := s.Recv()
			if err != nil {
				is.Equal(errors.Is(err, io.EOF), cut >= finishedAt) // complete only with the finish reason
				break
			}
			is.Equal(c.Index, n)
			is.Equal(c.Text, texts[n])
		}
	}
}
