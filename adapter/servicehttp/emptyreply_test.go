package servicehttp

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestLoadRepliesThatAreNone guards against replies that hold no document and are taken for a service that is idle.
func TestLoadRepliesThatAreNone(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
	}{{404, "not found"}, {204, ""}, {200, ""}, {200, "null"}, {200, "oops"}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tc.status)
			_, _ = io.WriteString(w, tc.body) // a reply without a body refuses it
		}))
		t.Cleanup(server.Close)
		if r, err := New(nil).Load(t.Context(), strings.TrimPrefix(server.URL, "http://")); err == nil {
			t.Errorf("%d %q: got %+v, want an error", tc.status, tc.body, r)
		}
	}
}
