package callerhttp

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// heartbeatInterval is the time between comments on an idle event stream.
const heartbeatInterval = 5 * time.Second

// problemBody is a problem document; the error member is for clients of the
// OpenAI API.
type problemBody struct {
	*problem.Problem
	Error apiError `json:"error"`
}

type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func body(p *problem.Problem) problemBody {
	return problemBody{p, apiError{Message: p.Title + ": " + p.Detail, Type: string(p.Type), Code: string(p.Run)}}
}

func writeProblem(w http.ResponseWriter, p *problem.Problem) {
	raw, err := json.Marshal(body(p))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", problem.ContentType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(raw) // a caller that is gone needs no reply
}

// writeWhole waits for the end and writes the answer in one piece.
func writeWhole(ctx context.Context, w http.ResponseWriter, a *node.Accepted) {
	var text strings.Builder
	read := 0
	for {
		chunks, end, err := a.Answer.Next(ctx, read)
		if err != nil {
			return // the caller is gone
		}
		for _, c := range chunks {
			text.WriteString(c.Text)
		}
		read += len(chunks)
		if end != nil {
			writeEnd(w, a, text.String(), end)
			return
		}
	}
}

func writeEnd(w http.ResponseWriter, a *node.Accepted, text string, end *answer.End) {
	switch {
	case end.Problem != nil:
		writeProblem(w, end.Problem)
	case end.Response != nil:
		if end.Response.ContentType != "" {
			w.Header().Set("Content-Type", end.Response.ContentType)
		}
		w.WriteHeader(end.Response.Status)
		_, _ = w.Write(end.Response.Body) // a caller that is gone needs no answer
	default:
		jsonhttp.Write(w, http.StatusOK, completion(a, text, end))
	}
}

// usageBody is the usage member of the OpenAI API.
type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func usageOf(u *port.Usage) *usageBody {
	if u == nil {
		return nil
	}
	out := &usageBody{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.PromptTokens + u.CompletionTokens}
	out.Details.CachedTokens = u.CachedTokens
	return out
}

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usageBody         `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func completion(a *node.Accepted, text string, end *answer.End) completionBody {
	c := newBody(a, false)
	choice := completionChoice{FinishReason: &end.FinishReason}
	if a.Request.API == port.APIChat {
		choice.Message = &message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	c.Choices = []completionChoice{choice}
	c.Usage = usageOf(end.Usage)
	return c
}

func newBody(a *node.Accepted, stream bool) completionBody {
	c := completionBody{Created: a.Request.Arrived.Unix(), Model: a.Request.Model}
	switch {
	case a.Request.API == port.APICompletion:
		c.ID, c.Object = "cmpl-"+a.Request.ID.String(), "text_completion"
	case stream:
		c.ID, c.Object = "chatcmpl-"+a.Request.ID.String(), "chat.completion.chunk"
	default:
		c.ID, c.Object = "chatcmpl-"+a.Request.ID.String(), "chat.completion"
	}
	return c
}

// eventWriter writes an answer as server-sent events. The id of an event is
// the index of its chunk.
type eventWriter struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	a       *node.Accepted
	body    completionBody
	started bool
}

func newEventWriter(w http.ResponseWriter, a *node.Accepted) *eventWriter {
	return &eventWriter{w: w, flush: http.NewResponseController(w), a: a, body: newBody(a, true)}
}

// run writes from index from on until the answer ends or the caller is gone.
func (o *eventWriter) run(ctx context.Context, from int) {
	read := from
	for {
		waitCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		chunks, end, err := o.a.Answer.Next(waitCtx, read)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			o.start()
			o.write(": heartbeat\n\n")
			continue
		}
		for _, c := range chunks {
			o.chunk(c)
		}
		read += len(chunks)
		if end != nil {
			o.end(end, read)
			return
		}
		_ = o.flush.Flush() // fails only when the caller is gone
	}
}

func (o *eventWriter) start() {
	if o.started {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}

func (o *eventWriter) write(text string) {
	_, _ = io.WriteString(o.w, text) // fails only when the caller is gone
	if text == ": heartbeat\n\n" {
		_ = o.flush.Flush()
	}
}

func (o *eventWriter) chunk(c answer.Chunk) {
	choice := completionChoice{}
	if o.a.Request.API == port.APIChat {
		choice.Delta = &message{Content: c.Text}
		if c.Index == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &c.Text
	}
	o.body.Choices = []completionChoice{choice}
	o.event(c.Index, o.body)
}

func (o *eventWriter) event(index int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		return // strings and numbers always encode
	}
	o.start()
	o.write("id: " + strconv.Itoa(index) + "\ndata: ")
	_, _ = o.w.Write(raw) // fails only when the caller is gone
	o.write("\n\n")
}

// end writes the finish mark, or the problem that ended the answer.
func (o *eventWriter) end(end *answer.End, index int) {
	if end.Problem != nil {
		if !o.started {
			writeProblem(o.w, end.Problem)
			return
		}
		o.event(index, body(end.Problem))
		return
	}
	choice := completionChoice{FinishReason: &end.FinishReason}
	if o.a.Request.API == port.APIChat {
		choice.Delta = &message{}
	} else {
		empty := ""
		choice.Text = &empty
	}
	o.body.Choices = []completionChoice{choice}
	o.body.Usage = usageOf(end.Usage)
	o.event(index, o.body)
	o.write("data: [DONE]\n\n")
}
