package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// Paths of generate calls.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// maxLineBytes bounds one line of an event stream, in bytes.
const maxLineBytes = 1 << 20

// Generate is a generate call.
type Generate struct {
	// Path is PathChat or PathCompletion; empty means PathChat.
	Path string
	// Body is the JSON body; the client sets its member "stream" to true.
	Body []byte
	// ID is the request id; the zero value means that the client makes a new one.
	ID request.ID
	// OnChunk, if not nil, is called once with each chunk, in order.
	OnChunk func(index int, text string)
}

// Answer is the answer of a generate call.
type Answer struct {
	ID           request.ID
	Text         string
	Chunks       int
	FinishReason string
	// Streams counts the connections over which the answer was received.
	Streams int
}

// Generate runs a generate call and returns its complete answer: each chunk once, in
// order, up to the finish reason. On ErrLost, ErrDisconnected or a *problem.Problem it
// also returns the part that was received.
func (c *Client) Generate(ctx context.Context, g Generate) (Answer, error) {
	body, err := streamBody(g.Body)
	if err != nil {
		return Answer{}, err
	}
	if g.ID == (request.ID{}) {
		g.ID = request.NewID()
	}
	if g.Path == "" {
		g.Path = PathChat
	}
	r := &streamReader{onChunk: g.OnChunk}
	out := outgoingRequest{id: g.ID, method: http.MethodPost, path: g.Path, headers: http.Header{"Content-Type": {"application/json"}}, body: body}
	err = c.do(ctx, out, r)
	return Answer{ID: g.ID, Text: r.text.String(), Chunks: r.chunks, FinishReason: r.finish, Streams: r.streams}, err
}

func streamBody(body []byte) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, errors.Wrap(err, "generate body")
	}
	members["stream"] = json.RawMessage("true")
	out, err := json.Marshal(members)
	return out, errors.Wrap(err, "encode generate body")
}

// streamReader assembles an answer from the events of one or more streams.
type streamReader struct {
	onChunk func(index int, text string)
	text    strings.Builder
	chunks  int
	finish  string
	streams int
}

// streamEvent is the JSON of one event.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct{} `json:"error"`
}

func (r *streamReader) lastIndex() int { return r.chunks - 1 }

// read reads events up to the finish reason and the end marker after it.
func (r *streamReader) read(resp *http.Response) error {
	r.streams++
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	index := -1
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "id":
			n, err := strconv.Atoi(value)
			if err != nil {
				return errors.Wrapf(ErrBadEvent, "id %q, want an integer", value)
			}
			index = n
		case name == "data" && value == "[DONE]" && r.finish != "":
			return nil
		case name == "data":
			if err := r.handleEvent(index, []byte(value)); err != nil {
				return err
			}
		}
	}
	if r.finish != "" {
		return nil // the answer is complete; only the end marker is missing
	}
	return errors.Wrap(ErrDisconnected, "stream ended without a finish reason")
}

func (r *streamReader) handleEvent(index int, data []byte) error {
	var ev streamEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return errors.Wrap(ErrBadEvent, err.Error())
	}
	if ev.Error != nil {
		return permanentProblem(data)
	}
	if len(ev.Choices) == 0 || index < r.chunks {
		return nil // a repeated chunk, or an event without text
	}
	if index > r.chunks {
		return errors.Wrapf(ErrBadEvent, "index %d, want %d", index, r.chunks)
	}
	choice := ev.Choices[0]
	if choice.FinishReason != "" {
		r.finish = choice.FinishReason
		return nil
	}
	text := choice.Delta.Content + choice.Text
	r.text.WriteString(text)
	r.chunks++
	if r.onChunk != nil {
		r.onChunk(index, text)
	}
	return nil
}

// permanentError is an error after which a further try cannot succeed.
type permanentError struct{ error }

// Is makes a permanentError match errPermanent.
func (e permanentError) Is(target error) bool { return target == errPermanent }

// Unwrap returns the underlying error.
func (e permanentError) Unwrap() error { return e.error }

func permanentProblem(data []byte) error {
	p := &problem.Problem{}
	if err := json.Unmarshal(data, p); err != nil {
		return errors.Wrap(ErrBadEvent, err.Error())
	}
	return permanentError{p}
}
