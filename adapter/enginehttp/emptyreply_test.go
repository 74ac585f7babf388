package enginehttp

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestRepliesThatAreNone guards against replies that hold no document and are taken for an engine that is idle, has no
// events and has exported a cache.
func TestRepliesThatAreNone(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
	}{{404, "not found"}, {429, ""}, {204, ""}, {200, ""}, {200, "null"}, {200, "oops"}, {200, "{} oops"}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tc.status)
			_, _ = io.WriteString(w, tc.body) // a reply without a body refuses it
		}))
		t.Cleanup(server.Close)
		e, address := New(nil), strings.TrimPrefix(server.URL, "http://")
		if r, err := e.Load(t.Context(), address); err == nil {
			t.Errorf("%d %q: load: got %+v, want an error", tc.status, tc.body, r)
		}
		if r, err := e.CacheEvents(t.Context(), address, 0); err == nil && tc.body != "null" { // that is an empty list
			t.Errorf("%d %q: cache events: got %v, want an error", tc.status, tc.body, r)
		}
		if r, err := e.ExportKV(t.Context(), address, "a"); err == nil {
			t.Errorf("%d %q: export: got %+v, want an error", tc.status, tc.body, r)
		}
	}
}
