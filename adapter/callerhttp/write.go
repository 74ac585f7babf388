package callerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// problemBody is a problem document. Clients of the OpenAI API read the member
// "error".
type problemBody struct {
	*problem.Problem
	Error apiError `json:"error"`
}

type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// newProblemBody returns the body of p. The code of its member "error" states whether the
// request ran at an endpoint.
func newProblemBody(p *problem.Problem) problemBody {
	return problemBody{p, apiError{Message: p.Title + ": " + p.Detail, Type: string(p.Type), Code: string(p.Run)}}
}

func writeProblem(w http.ResponseWriter, p *problem.Problem) {
	raw, err := json.Marshal(newProblemBody(p))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	setWriteDeadline(w)
	w.Header().Set("Content-Type", problem.ContentType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(raw) // an error means that the caller cannot be reached
}

// writeComplete waits for the end of the answer and writes it as one response.
func writeComplete(ctx context.Context, w http.ResponseWriter, a *node.Accepted) {
	var text strings.Builder
	read := 0
	for {
		chunks, end, err := a.Answer.Next(ctx, read)
		if err != nil {
			return // the caller has disconnected
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
	setWriteDeadline(w)
	switch {
	case end.Problem != nil:
		writeProblem(w, end.Problem)
	case end.Response != nil && !isFinal(end.Response.Status):
		writeProblem(w, problem.Unknown(http.StatusBadGateway, problem.TypeOutcomeUnknown, fmt.Sprintf("the endpoint's answer has the status %03d", end.Response.Status)))
	case end.Response != nil:
		if end.Response.ContentType != "" {
			w.Header().Set("Content-Type", end.Response.ContentType)
		}
		w.WriteHeader(end.Response.Status)
		_, _ = w.Write(end.Response.Body) // an error means that the caller cannot be reached
	default:
		jsonhttp.Write(w, http.StatusOK, newCompletion(a, text, end))
	}
}

// isFinal reports whether a status is one of a final answer. Hosts of older builds have recorded others.
func isFinal(status int) bool {
	return status >= http.StatusOK && jsonhttp.CheckStatus(status) == nil
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

func newUsageBody(u *port.Usage) *usageBody {
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
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// newCompletion returns the body of a complete answer.
func newCompletion(a *node.Accepted, text string, end *answer.End) completionBody {
	c := newEmptyCompletion(a)
	choice := completionChoice{FinishReason: &end.FinishReason}
	if a.Request.API == port.APIChat {
		choice.Message = &message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	c.Choices = []completionChoice{choice}
	c.Usage = newUsageBody(end.Usage)
	return c
}

// newEmptyCompletion returns a body without choices and usage.
func newEmptyCompletion(a *node.Accepted) completionBody {
	c := completionBody{Created: a.Request.Arrived.Unix(), Model: a.Request.Model}
	if a.Request.API == port.APICompletion {
		c.ID, c.Object = "cmpl-"+a.Request.ID.String(), "text_completion"
	} else {
		c.ID, c.Object = "chatcmpl-"+a.Request.ID.String(), "chat.completion"
	}
	return c
}
