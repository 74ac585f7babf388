package jsonhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestLongReply: a reply beyond the limit is an error, not a truncated document.
func TestLongReply(t *testing.T) {
	for name, extra := range map[string]int{"at the limit": 0, "beyond it": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body := make([]byte, MaxReplyBytes+extra)
				for i := range body {
					body[i] = ' '
				}
				body[0] = '1'
				_, _ = w.Write(body) // the client may have closed the connection
			}))
			defer server.Close()
			var out int
			_, err := Call(t.Context(), http.DefaultClient, http.MethodGet, server.URL, nil, &out)
			is.Equal(errors.Is(err, ErrReplyTooLong), extra > 0)
			if extra == 0 {
				is.NoErr(err)
				is.Equal(out, 1)
			}
		})
	}
}
