// Package answer holds the answer of one request while it grows, so that any
// number of readers can follow it from any index.
//
// Invariant: chunks are appended in index order without gaps, and nothing
// follows the end.
package answer

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// Errors of this package.
var (
	// ErrOutOfOrder is returned for a chunk that is not the next in order.
	ErrOutOfOrder = errors.New("chunk out of order")
	// ErrEnded is returned for a change after the end.
	ErrEnded = errors.New("answer has ended")
)

// Chunk is one piece of an answer.
type Chunk struct {
	// Index counts from 0.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End closes an answer. Exactly one of FinishReason, Response and Problem is
// set.
type End struct {
	FinishReason string                `json:"finish_reason,omitempty"`
	Usage        *port.Usage           `json:"usage,omitempty"`
	Response     *port.ServiceResponse `json:"response,omitempty"`
	Problem      *problem.Problem      `json:"problem,omitempty"`
}

// Buffer is a growing answer. Safe for concurrent use.
type Buffer struct {
	mu     sync.Mutex
	chunks []Chunk
	text   int
	end    *End
	// changed is closed and replaced on every change.
	changed chan struct{}
}

// NewBuffer returns an empty answer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// Restore returns an answer with the chunks and the end that another process
// held; ErrOutOfOrder.
func Restore(chunks []Chunk, end *End) (*Buffer, error) {
	b := NewBuffer()
	for _, c := range chunks {
		if err := b.Append(c); err != nil {
			return nil, err
		}
	}
	b.end = end
	return b, nil
}

// Snapshot returns the chunks so far and the end, nil while the answer grows.
// The caller must not change them.
func (b *Buffer) Snapshot() ([]Chunk, *End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chunks, b.end
}

// Extend appends the chunks that are not there yet and finishes the answer
// when end is set; ErrOutOfOrder, ErrEnded.
func (b *Buffer) Extend(chunks []Chunk, end *End) error {
	for _, c := range chunks {
		if c.Index < b.Len() {
			continue
		}
		if err := b.Append(c); err != nil {
			return err
		}
	}
	if end == nil {
		return nil
	}
	return b.Finish(*end)
}

// Append adds the next chunk; ErrOutOfOrder, ErrEnded.
func (b *Buffer) Append(c Chunk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return ErrEnded
	}
	if c.Index != len(b.chunks) {
		return errors.Wrapf(ErrOutOfOrder, "got %d, want %d", c.Index, len(b.chunks))
	}
	b.chunks = append(b.chunks, c)
	b.text += len(c.Text)
	b.wake()
	return nil
}

// Finish closes the answer; ErrEnded if it is closed already.
func (b *Buffer) Finish(end End) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return ErrEnded
	}
	b.end = &end
	b.wake()
	return nil
}

func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Len returns the number of chunks so far.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.chunks)
}

// Text returns the text so far.
func (b *Buffer) Text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]byte, 0, b.text)
	for _, c := range b.chunks {
		out = append(out, c.Text...)
	}
	return string(out)
}

// Ended returns the end, or nil while the answer grows.
func (b *Buffer) Ended() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Next returns the chunks from index from on and the end if it is reached,
// waiting until there is something to return. The caller must not change the
// chunks.
func (b *Buffer) Next(ctx context.Context, from int) ([]Chunk, *End, error) {
	for {
		b.mu.Lock()
		chunks, end, changed := b.chunks, b.end, b.changed
		b.mu.Unlock()
		if from < len(chunks) {
			return chunks[from:], end, nil
		}
		if end != nil {
			return nil, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}
