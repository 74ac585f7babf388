package jsonhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPoolLeavesOldConnectionsBehind guards against calls that continue to use a
// connection after MaxConnAge or Reset, when it may have failed without notice.
func TestPoolLeavesOldConnectionsBehind(t *testing.T) {
	for name, tc := range map[string]struct {
		beforeSecond func(p *Pool, address string, now *time.Time)
		dials        int64
	}{
		"reuse": {func(*Pool, string, *time.Time) {}, 1},
		"age":   {func(_ *Pool, _ string, now *time.Time) { *now = now.Add(MaxConnAge) }, 2},
		"reset": {func(p *Pool, address string, _ *time.Time) { p.Reset(address) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { Write(w, 200, 1) }))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			var dials atomic.Int64
			p := NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			})
			now := time.Unix(1_800_000_000, 0)
			p.now = func() time.Time { return now }
			call := func() {
				_, err := Call(t.Context(), p.Client(address), http.MethodGet, server.URL, MaxResultBytes, nil, nil)
				is.NoErr(err)
			}
			call()
			tc.beforeSecond(p, address, &now)
			call()
			call()
			is.Equal(dials.Load(), tc.dials)
		})
	}
}

func TestTraceSend(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	sent := 0
	ctx, trace := TraceSend(t.Context(), func() { sent++ })
	_, err := Call(ctx, http.DefaultClient, http.MethodGet, server.URL, MaxResultBytes, nil, nil)
	is.NoErr(err)
	is.True(trace.Connected())
	is.Equal(sent, 1)
	server.Close()
	http.DefaultClient.CloseIdleConnections()
	ctx, trace = TraceSend(t.Context(), func() { sent++ })
	_, err = Call(ctx, http.DefaultClient, http.MethodGet, server.URL, MaxResultBytes, nil, nil)
	is.True(err != nil)
	is.True(!trace.Connected()) // no connection: nothing was sent
	is.Equal(sent, 1)
}
