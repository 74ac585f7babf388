package jsonhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestLongReply: a reply beyond the bound of its call is an error, not a truncated document.
func TestLongReply(t *testing.T) {
	for name, tc := range map[string]struct{ limit, extra int }{
		"a page at the limit": {MaxReplyBytes, 0}, "a page beyond it": {MaxReplyBytes, 1},
		"a report at the limit": {MaxReportBytes, 0}, "a report beyond it": {MaxReportBytes, 1},
		"a result at the limit": {MaxResultBytes, 0}, "a result beyond it": {MaxResultBytes, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body := make([]byte, tc.limit+tc.extra)
				for i := range body {
					body[i] = ' '
				}
				body[0] = '1'
				_, _ = w.Write(body) // the client may have closed the connection
			}))
			defer server.Close()
			var out int
			_, err := Call(t.Context(), http.DefaultClient, http.MethodGet, server.URL, tc.limit, nil, &out)
			is.Equal(errors.Is(err, ErrReplyTooLong), tc.extra > 0)
			if tc.extra == 0 {
				is.NoErr(err)
				is.Equal(out, 1)
			}
		})
	}
}
