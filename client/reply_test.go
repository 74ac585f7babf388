package client

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLongAnswer: an answer beyond the limit is an error, not a truncated answer.
func TestLongAnswer(t *testing.T) {
	is := is.New(t)
	answer := func(n int64) error {
		r := &responseReader{}
		return r.read(&http.Response{StatusCode: 200, Body: io.NopCloser(io.LimitReader(zeros{}, n))})
	}
	is.NoErr(answer(maxResponseBytes))
	err := answer(maxResponseBytes + 1)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "exceeds"))
}

// zeros reads as zeros without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
