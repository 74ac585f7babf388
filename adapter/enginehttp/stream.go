package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// readBufferBytes is the initial size of the read buffer of a stream. Longer
	// lines grow it, up to maxLineBytes.
	readBufferBytes = 4 << 10
	// endTimeout bounds the wait for the end of the reply after the finish
	// reason.
	endTimeout = 500 * time.Millisecond
)

// stream reads the server-sent events of one attempt.
type stream struct {
	body     io.ReadCloser
	lines    *bufio.Scanner
	cancel   context.CancelFunc
	attempt  string
	event    event
	template eventTemplate
	// begun is set once the first line was read.
	begun bool
	done  bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, readBufferBytes), maxLineBytes)
	return &stream{body: body, lines: lines, cancel: cancel}
}

// event is the JSON of one server-sent event of an engine.
type event struct {
	Choices []eventChoice `json:"choices"`
	Usage   *eventUsage   `json:"usage"`
	// Error is set in an event that states a failure in place of a chunk.
	Error json.RawMessage `json:"error"`
}

type eventChoice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type eventUsage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

var (
	fieldID    = []byte("id:")
	fieldData  = []byte("data:")
	doneMarker = []byte("[DONE]")
	// byteOrderMark may precede the first line.
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// Recv implements port.Stream.
func (s *stream) Recv() (port.Chunk, error) {
	if s.done {
		return port.Chunk{}, io.EOF
	}
	index := -1
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if !s.begun {
			s.begun, line = true, bytes.TrimPrefix(line, byteOrderMark)
		}
		switch {
		case bytes.HasPrefix(line, fieldID):
			var err error
			if index, err = s.parseID(bytes.TrimSpace(line[len(fieldID):])); err != nil {
				return port.Chunk{}, err
			}
		case bytes.HasPrefix(line, fieldData):
			return s.parseChunk(index, bytes.TrimSpace(line[len(fieldData):]))
		case !isField(line):
			return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, "line of a stream is no field")
		}
	}
	if err := s.lines.Err(); err != nil {
		return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, err.Error())
	}
	return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, "stream truncated")
}

// isField reports whether a line may be part of an event stream: it is blank, a comment, or a field with a name.
func isField(line []byte) bool {
	if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
		return false
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if c <= ' ' || c >= utf8.RuneSelf || bytes.IndexByte([]byte(`"(),/;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return found || len(name) == 0
}

// parseID parses "attempt/index" and returns the index. The attempt id is stored and
// reused, so that events of one attempt do not allocate it again.
func (s *stream) parseID(id []byte) (int, error) {
	attempt, indexText, ok := bytes.Cut(id, []byte("/"))
	index, err := strconv.Atoi(string(indexText))
	if !ok || err != nil || index < 0 {
		return 0, errors.Wrapf(port.ErrEndpointBroken, "event id %.80q", id)
	}
	if s.attempt != string(attempt) {
		s.attempt = string(attempt)
	}
	return index, nil
}

func (s *stream) parseChunk(index int, data []byte) (port.Chunk, error) {
	if bytes.Equal(data, doneMarker) {
		return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, "end without finish mark")
	}
	if index < 0 {
		return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, "event without id")
	}
	c := port.Chunk{AttemptID: s.attempt, Index: index}
	if text, ok := s.template.match(data); ok {
		c.Text = string(text)
		return c, nil
	}
	if err := s.decode(data); err != nil {
		return port.Chunk{}, err
	}
	c.Text = s.event.text()
	if s.event.textOnly() {
		s.template.update(data, c.Text)
	}
	if len(s.event.Choices) > 0 {
		c.FinishReason = s.event.Choices[0].FinishReason
	}
	if u := s.event.Usage; u != nil {
		c.Usage = &port.Usage{
			PromptTokens:     u.PromptTokens,
			CompletionTokens: u.CompletionTokens,
			CachedTokens:     u.PromptTokensDetails.CachedTokens,
		}
	}
	s.done = c.FinishReason != ""
	return c, nil
}

func (s *stream) decode(data []byte) error {
	s.event = event{}
	if err := json.Unmarshal(data, &s.event); err != nil {
		return errors.Wrap(port.ErrEndpointBroken, err.Error())
	}
	if !utf8.Valid(data) || !bytes.HasPrefix(data, []byte("{")) || s.event.hasError() {
		return errors.Wrap(port.ErrEndpointBroken, "event without a chunk")
	}
	return nil
}

// Close implements port.Stream. The connection is reused only when the response was
// read to its end and nothing but the end marker followed the finish reason.
func (s *stream) Close() error {
	if s.done {
		stop := time.AfterFunc(endTimeout, s.cancel)
		s.readEnd()
		stop.Stop()
	}
	s.cancel()
	return s.body.Close()
}

func (s *stream) readEnd() {
	for s.lines.Scan() {
		line := bytes.TrimSpace(bytes.TrimPrefix(s.lines.Bytes(), fieldData))
		if len(line) > 0 && !bytes.Equal(line, doneMarker) {
			return // unexpected bytes: leave the body unread, so that the connection is closed
		}
	}
}
