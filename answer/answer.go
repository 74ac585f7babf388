// Package answer buffers the answer of one request while it is generated, so that any
// number of readers can follow it from any index.
//
// Invariant: chunks are appended in index order without gaps, and nothing is appended
// after the end.
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
	// ErrOutOfOrder is returned for a chunk that does not have the next index.
	ErrOutOfOrder = errors.New("chunk out of order")
	// ErrEnded is returned for a change to an answer that has ended.
	ErrEnded = errors.New("answer has ended")
)

// Chunk is one piece of an answer.
type Chunk struct {
	// Index starts at 0.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End is the end of an answer. Exactly one of FinishReason, Response and Problem is set.
type End struct {
	FinishReason string                `json:"finish_reason,omitempty"`
	Usage        *port.Usage           `json:"usage,omitempty"`
	Response     *port.ServiceResponse `json:"response,omitempty"`
	Problem      *problem.Problem      `json:"problem,omitempty"`
}

// Buffer is an answer that may still grow. It is safe for concurrent use.
type Buffer struct {
	mu        sync.Mutex
	chunks    []Chunk
	textBytes int
	end       *End
	// changed is closed and replaced on every change, to wake waiting readers.
	changed chan struct{}
}

// NewBuffer returns an empty answer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// Restore returns an answer with the chunks and the end received from another process;
// end is nil if the answer has not ended. It returns ErrOutOfOrder if chunks are out of
// order.
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

// Snapshot returns the chunks received so far and the end, which is nil if the answer has
// not ended. The caller must not modify them.
func (b *Buffer) Snapshot() ([]Chunk, *End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chunks, b.end
}

// Extend appends the chunks that are missing and finishes the answer if end is not nil.
// It returns ErrOutOfOrder if an index is skipped, and ErrEnded if the answer has
// ended and there is something to add.
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

// Append appends the next chunk. It returns ErrOutOfOrder for any other index and
// ErrEnded if the answer has ended.
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
	b.textBytes += len(c.Text)
	b.notifyReaders()
	return nil
}

// Finish ends the answer. It returns ErrEnded if the answer has already ended.
func (b *Buffer) Finish(end End) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return ErrEnded
	}
	b.end = &end
	b.notifyReaders()
	return nil
}

func (b *Buffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Len returns the number of chunks received so far.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.chunks)
}

// Text returns the text received so far.
func (b *Buffer) Text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]byte, 0, b.textBytes)
	for _, c := range b.chunks {
		out = append(out, c.Text...)
	}
	return string(out)
}

// End returns the end, or nil if the answer has not ended.
func (b *Buffer) End() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Next returns the chunks starting at index from, and the end if the answer has ended.
// It blocks until there is something to return or ctx is done. The caller must not
// modify the chunks.
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
