package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	// heartbeatInterval is the time between comments on an idle event stream.
	heartbeatInterval = 5 * time.Second
	// writeTimeout is how long a caller may take no bytes. Its request goes
	// on and can be attached to again.
	writeTimeout = 10 * time.Second
	// deadlineStep is the least time between two changes of the deadline.
	deadlineStep = time.Second
)

// setWriteDeadline bounds the writing of a whole reply; writers that have no
// deadlines write without.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// eventWriter writes an answer as server-sent events. The id of an event is
// the index of its chunk. Chunks that are there together go out together.
type eventWriter struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	answer   *answer.Buffer
	encoder  *eventEncoder
	buf      []byte
	started  bool
	deadline time.Time
	// writeTimeout is how long the caller may take no bytes.
	writeTimeout time.Duration
}

func newEventWriter(w http.ResponseWriter, a *node.Accepted) *eventWriter {
	return &eventWriter{
		w:       w,
		control: http.NewResponseController(w),
		answer:  a.Answer,
		encoder: newEventEncoder(a.Request),

		writeTimeout: writeTimeout,
	}
}

// run writes from index from on until the answer ends, or the caller is gone
// or takes no bytes.
func (o *eventWriter) run(ctx context.Context, from int) {
	read := from
	for {
		waitCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		chunks, end, err := o.answer.Next(waitCtx, read)
		cancel()
		if ctx.Err() != nil {
			return
		}
		o.buf = o.buf[:0]
		if err != nil {
			o.buf = append(o.buf, ": heartbeat\n\n"...)
		}
		for i := range chunks {
			o.buf = o.encoder.chunk(o.buf, &chunks[i])
		}
		read += len(chunks)
		if end != nil && end.Problem != nil && !o.started && read == from {
			writeProblem(o.w, end.Problem)
			return
		}
		if end != nil {
			o.buf = o.encoder.end(o.buf, end, read)
		}
		if o.send() != nil || end != nil {
			return
		}
	}
}

// send writes the buffer and flushes; the error means that the caller is gone
// or takes no bytes.
func (o *eventWriter) send() error {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	if now := time.Now(); now.Sub(o.deadline) > deadlineStep-o.writeTimeout {
		o.deadline = now.Add(o.writeTimeout)
		_ = o.control.SetWriteDeadline(o.deadline) // writers that have no deadlines write without
	}
	if _, err := o.w.Write(o.buf); err != nil {
		return err
	}
	return o.control.Flush()
}

// eventEncoder makes the events of one answer. What all have in common is
// encoded once.
type eventEncoder struct {
	chat bool
	// head is the text of an event up to its choice's first member.
	head []byte
}

func newEventEncoder(r *request.Request) *eventEncoder {
	e := &eventEncoder{chat: r.API != port.APICompletion}
	id, object := "chatcmpl-", "chat.completion.chunk"
	if !e.chat {
		id, object = "cmpl-", "text_completion"
	}
	e.head = append(e.head, "data: {\"id\":"...)
	e.head = appendJSON(e.head, id+r.ID.String())
	e.head = append(e.head, ",\"object\":"...)
	e.head = appendJSON(e.head, object)
	e.head = append(e.head, ",\"created\":"...)
	e.head = strconv.AppendInt(e.head, r.Arrived.Unix(), 10)
	e.head = append(e.head, ",\"model\":"...)
	e.head = appendJSON(e.head, r.Model)
	e.head = append(e.head, ",\"choices\":[{\"index\":0,"...)
	return e
}

func (e *eventEncoder) id(buf []byte, index int) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	return append(buf, '\n')
}

// chunk appends the event of one chunk.
func (e *eventEncoder) chunk(buf []byte, c *answer.Chunk) []byte {
	buf = e.id(buf, c.Index)
	buf = append(buf, e.head...)
	switch {
	case !e.chat:
		buf = append(buf, "\"text\":"...)
	case c.Index == 0:
		buf = append(buf, "\"delta\":{\"role\":\"assistant\",\"content\":"...)
	default:
		buf = append(buf, "\"delta\":{\"content\":"...)
	}
	buf = appendJSON(buf, c.Text)
	if e.chat {
		buf = append(buf, '}')
	}
	return append(buf, ",\"finish_reason\":null}]}\n\n"...)
}

// end appends the event of the finish mark, or of the problem that ended the
// answer.
func (e *eventEncoder) end(buf []byte, end *answer.End, index int) []byte {
	buf = e.id(buf, index)
	if end.Problem != nil {
		return e.problem(buf, end.Problem)
	}
	buf = append(buf, e.head...)
	if e.chat {
		buf = append(buf, "\"delta\":{},"...)
	} else {
		buf = append(buf, "\"text\":\"\","...)
	}
	buf = append(buf, "\"finish_reason\":"...)
	buf = appendJSON(buf, end.FinishReason)
	buf = append(buf, "}]"...)
	if usage, err := json.Marshal(usageOf(end.Usage)); err == nil && end.Usage != nil {
		buf = append(buf, ",\"usage\":"...)
		buf = append(buf, usage...)
	}
	return append(buf, "}\n\ndata: [DONE]\n\n"...)
}

func (e *eventEncoder) problem(buf []byte, p *problem.Problem) []byte {
	raw, err := json.Marshal(body(p))
	if err != nil {
		return buf // strings and numbers always encode
	}
	buf = append(buf, "data: "...)
	buf = append(buf, raw...)
	return append(buf, "\n\n"...)
}

// appendJSON appends text as a JSON string.
func appendJSON(buf []byte, text string) []byte {
	if !plain(text) {
		raw, err := json.Marshal(text)
		if err != nil {
			return append(buf, `""`...) // strings always encode
		}
		return append(buf, raw...)
	}
	buf = append(buf, '"')
	buf = append(buf, text...)
	return append(buf, '"')
}

// plain reports whether text needs no escapes in JSON.
func plain(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
