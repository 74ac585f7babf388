package endpointhttp

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleTime: a connection is pooled for as long as the endpoint states, less a margin, up to a maximum;
// for a shorter time if it states none, and not at all if it closes it or states nonsense.
func TestIdleTime(t *testing.T) {
	for name, tc := range map[string]struct {
		header string
		close  bool
		want   time.Duration
	}{
		"stated":          {"timeout=9", false, 9*time.Second - keepAliveMargin},
		"among others":    {"max=5, timeout=7", false, 7*time.Second - keepAliveMargin},
		"not stated":      {"", false, unstatedIdleTime},
		"not a number":    {"timeout=long", false, 0},
		"zero":            {"timeout=0", false, 0},
		"closed":          {"timeout=9", true, 0},
		"longer than any": {"timeout=600", false, 600*time.Second - keepAliveMargin},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp := &http.Response{Header: http.Header{}, Close: tc.close}
			if tc.header != "" {
				resp.Header.Set("Keep-Alive", tc.header)
			}
			got := allowedIdleTime(resp)
			is.Equal(got, tc.want)
		})
	}
}
