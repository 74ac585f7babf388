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
	// heartbeatInterval is the time between heartbeat comments on an idle event
	// stream.
	heartbeatInterval = 5 * time.Second
	// writeTimeout bounds the time for which a caller may accept no bytes. Its
	// request continues after that, and the caller can attach to it again.
	writeTimeout = 10 * time.Second
	// deadlineUpdateInterval is the minimum time between two updates of the
	// write deadline.
	deadlineUpdateInterval = time.Second
)

// setWriteDeadline bounds the time to write a complete reply. Writers without
// support for deadlines are not bounded.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// eventWriter writes an answer as server-sent events. The id of an event is the
// index of its chunk. Chunks that are available together are written together.
type eventWriter struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	answer   *answer.Buffer
	encoder  *eventEncoder
	buf      []byte
	started  bool
	deadline time.Time
	// writeTimeout bounds the time for which the caller may accept no bytes.
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

// run writes the chunks from index from on. It returns when the answer ends, the
// caller disconnects, or the caller accepts no bytes within writeTimeout.
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
			o.buf = o.encoder.appendChunk(o.buf, &chunks[i])
		}
		read += len(chunks)
		if end != nil && end.Problem != nil && !o.started && read == from {
			writeProblem(o.w, end.Problem)
			return
		}
		if end != nil {
			o.buf = o.encoder.appendEnd(o.buf, end, read)
		}
		if o.send() != nil || end != nil {
			return
		}
	}
}

// send writes and flushes the buffer. An error means that the caller has
// disconnected or did not accept the bytes in time.
func (o *eventWriter) send() error {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	if now := time.Now(); now.Sub(o.deadline) > deadlineUpdateInterval-o.writeTimeout {
		o.deadline = now.Add(o.writeTimeout)
		_ = o.control.SetWriteDeadline(o.deadline) // not every ResponseWriter supports deadlines
	}
	if _, err := o.w.Write(o.buf); err != nil {
		return err
	}
	return o.control.Flush()
}

// eventEncoder encodes the events of one answer. The part that all of them have in
// common is encoded once.
type eventEncoder struct {
	chat bool
	// prefix is the text of an event up to the first member of its choice that
	// varies.
	prefix []byte
}

func newEventEncoder(r *request.Request) *eventEncoder {
	e := &eventEncoder{chat: r.API != port.APICompletion}
	id, object := "chatcmpl-", "chat.completion.chunk"
	if !e.chat {
		id, object = "cmpl-", "text_completion"
	}
	e.prefix = append(e.prefix, "data: {\"id\":"...)
	e.prefix = appendJSON(e.prefix, id+r.ID.String())
	e.prefix = append(e.prefix, ",\"object\":"...)
	e.prefix = appendJSON(e.prefix, object)
	e.prefix = append(e.prefix, ",\"created\":"...)
	e.prefix = strconv.AppendInt(e.prefix, r.Arrived.Unix(), 10)
	e.prefix = append(e.prefix, ",\"model\":"...)
	e.prefix = appendJSON(e.prefix, r.Model)
	e.prefix = append(e.prefix, ",\"choices\":[{\"index\":0,"...)
	return e
}

func (e *eventEncoder) appendID(buf []byte, index int) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	return append(buf, '\n')
}

// appendChunk appends the event of one chunk.
func (e *eventEncoder) appendChunk(buf []byte, c *answer.Chunk) []byte {
	buf = e.appendID(buf, c.Index)
	buf = append(buf, e.prefix...)
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

// appendEnd appends the event with the finish reason, or with the problem that
// ended the answer.
func (e *eventEncoder) appendEnd(buf []byte, end *answer.End, index int) []byte {
	buf = e.appendID(buf, index)
	if end.Problem != nil {
		return e.appendProblem(buf, end.Problem)
	}
	buf = append(buf, e.prefix...)
	if e.chat {
		buf = append(buf, "\"delta\":{},"...)
	} else {
		buf = append(buf, "\"text\":\"\","...)
	}
	buf = append(buf, "\"finish_reason\":"...)
	buf = appendJSON(buf, end.FinishReason)
	buf = append(buf, "}]"...)
	if usage, err := json.Marshal(newUsageBody(end.Usage)); err == nil && end.Usage != nil {
		buf = append(buf, ",\"usage\":"...)
		buf = append(buf, usage...)
	}
	return append(buf, "}\n\ndata: [DONE]\n\n"...)
}

func (e *eventEncoder) appendProblem(buf []byte, p *problem.Problem) []byte {
	raw, err := json.Marshal(newProblemBody(p))
	if err != nil {
		return buf // unreachable: a problem holds only strings and numbers
	}
	buf = append(buf, "data: "...)
	buf = append(buf, raw...)
	return append(buf, "\n\n"...)
}

// appendJSON appends text as a JSON string.
func appendJSON(buf []byte, text string) []byte {
	if !needsNoEscapes(text) {
		raw, err := json.Marshal(text)
		if err != nil {
			return append(buf, `""`...) // unreachable: a string always encodes
		}
		return append(buf, raw...)
	}
	buf = append(buf, '"')
	buf = append(buf, text...)
	return append(buf, '"')
}

// needsNoEscapes reports whether text equals its JSON encoding without the
// quotes. It returns false for some texts that need no escapes.
func needsNoEscapes(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
