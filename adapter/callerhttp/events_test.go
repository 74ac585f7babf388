package callerhttp

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// chatRequest returns a request for the given API, chat or completion.
func chatRequest(api port.GenerateAPI) *request.Request {
	return &request.Request{API: api, Model: `m "quoted"`, Arrived: time.Unix(1_800_000_000, 0)}
}

// streamEvent is an event as a client of the OpenAI API decodes it.
type streamEvent struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Index int `json:"index"`
		Delta *struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		Text         *string `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usageBody `json:"usage"`
	Error *apiError  `json:"error"`
}

// decodeEvent returns the server-sent event id of the first event in text and its
// decoded data.
func decodeEvent(t *testing.T, text string) (eventID string, ev streamEvent) {
	t.Helper()
	is := is.New(t)
	lines := strings.Split(text, "\n")
	eventID, ok := strings.CutPrefix(lines[0], "id: ")
	is.True(ok)
	data, ok := strings.CutPrefix(lines[1], "data: ")
	is.True(ok)
	is.Equal(lines[2], "") // an empty line terminates the event
	is.NoErr(json.Unmarshal([]byte(data), &ev))
	return eventID, ev
}

// TestEventTexts guards against a text that breaks its event: the encoder assembles the
// JSON itself, and a quote, a line break or a control character that is not escaped
// would end the string or the event early. It also guards against a wrong event id and
// against a role in any chunk but the first.
func TestEventTexts(t *testing.T) {
	for _, api := range []port.GenerateAPI{port.APIChat, port.APICompletion} {
		e := newEventEncoder(chatRequest(api))
		for i, text := range []string{" plain", "", `"quoted" \ back`, "line\nbreak", "data: x\n\ndata: [DONE]", "é 漢 \u2028", "<&>", "\x00\x1f"} {
			is := is.New(t)
			eventID, ev := decodeEvent(t, string(e.appendChunk(nil, &answer.Chunk{Index: i, Text: text})))
			is.Equal(eventID, string(rune('0'+i)))
			is.Equal(ev.Model, `m "quoted"`)
			is.Equal(ev.Created, int64(1_800_000_000))
			is.True(ev.Choices[0].FinishReason == nil)
			if api == port.APIChat {
				is.Equal(ev.Object, "chat.completion.chunk")
				is.Equal(ev.Choices[0].Delta.Content, text)
				is.Equal(ev.Choices[0].Delta.Role == "assistant", i == 0)
				continue
			}
			is.Equal(ev.Object, "text_completion")
			is.Equal(*ev.Choices[0].Text, text)
		}
	}
}

// TestEventEnd guards against a last event without the finish reason, the usage or the
// [DONE] line, and against a failed answer that ends with [DONE] and looks complete.
func TestEventEnd(t *testing.T) {
	is := is.New(t)
	e := newEventEncoder(chatRequest(port.APIChat))
	text := string(e.appendEnd(nil, &answer.End{FinishReason: "stop", Usage: &port.Usage{PromptTokens: 7, CompletionTokens: 2, CachedTokens: 5}}, 9))
	is.True(strings.HasSuffix(text, "\n\ndata: [DONE]\n\n"))
	eventID, ev := decodeEvent(t, text)
	is.Equal(eventID, "9")
	is.Equal(*ev.Choices[0].FinishReason, "stop")
	is.Equal(ev.Usage.TotalTokens, 9)
	is.Equal(ev.Usage.Details.CachedTokens, 5)

	text = string(e.appendEnd(nil, &answer.End{Problem: problem.Unknown(503, problem.TypeUnavailable, "gone")}, 3))
	is.True(!strings.Contains(text, "[DONE]")) // a failed answer must not look complete
	_, ev = decodeEvent(t, text)
	is.Equal(ev.Error.Type, string(problem.TypeUnavailable))
}

// BenchmarkEvent appends one chunk to an answer and encodes the caller's event.
// For comparison, the sub-benchmark json encodes a chunk of the same text from structs
// with encoding/json. It uses a message instead of a delta and no answer buffer.
func BenchmarkEvent(b *testing.B) {
	ctx := context.Background()
	b.Run("event", func(b *testing.B) {
		b.ReportAllocs()
		e := newEventEncoder(chatRequest(port.APIChat))
		buffer := answer.NewBuffer()
		var out []byte
		for i := range b.N {
			if err := buffer.Append(answer.Chunk{Index: i, Text: " token"}); err != nil {
				b.Fatal(err)
			}
			chunks, _, err := buffer.Next(ctx, i)
			if err != nil {
				b.Fatal(err)
			}
			out = e.appendChunk(out[:0], &chunks[0])
		}
	})
	b.Run("json", func(b *testing.B) {
		b.ReportAllocs()
		r := chatRequest(port.APIChat)
		for range b.N {
			body := completionBody{ID: "chatcmpl-" + r.ID.String(), Object: "chat.completion.chunk", Created: 1, Model: r.Model}
			body.Choices = []completionChoice{{Message: &message{Content: " token"}}}
			if _, err := json.Marshal(body); err != nil {
				b.Fatal(err)
			}
		}
	})
}
