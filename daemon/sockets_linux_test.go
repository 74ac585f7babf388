package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/port"
)

// socketOptions are the options of a connection that decide when the kernel gives it up.
type socketOptions struct {
	keepAlive int // 1 if probes are sent
	// idle and interval are in seconds: the silence before the first probe, and between two.
	idle, interval, count int
	// userTimeout is in ms; zero if none is set. If one is set, the kernel gives the connection up when probes, or
	// bytes sent, have had no answer for so long, whatever the count of probes.
	userTimeout int
}

// defaultOptions are those that package net sets.
var defaultOptions = socketOptions{keepAlive: 1, idle: 15, interval: 15, count: 9}

// TestSocketOptions opens a connection of each kind by the code that a host runs, and prints and checks its options: a
// timeout that a library sets would defeat the probes.
func TestSocketOptions(t *testing.T) {
	is := is.New(t)
	endpoint := platformtest.NewEndpoint("i-api", nil)
	t.Cleanup(endpoint.Close)
	d := deploy(t)
	t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
	d.configure(1, "")
	d.store.Register("i-api", endpoint.Entry("api", "a", "ready"))
	d.awaitReady(1)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	is.NoErr(err)
	t.Cleanup(func() { _ = silent.Close() })
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = peers.Close() })
	server := peerrpc.NewServer()
	server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	go func() { _ = server.Serve(t.Context(), peers) }() // ends with the listener
	t.Cleanup(server.Close)

	is.Equal(d.request("a", "/order/1", "secret", false).Status, http.StatusOK) // opens one to the endpoint
	var echoed string
	client := peerrpc.NewClient(nil)
	t.Cleanup(client.Close)
	is.NoErr(client.Call(t.Context(), peers.Addr().String(), "echo", "a", &echoed))
	cloud := platform.NewCloud(d.cloud.Address(), nil)
	is.NoErr(cloud.ReportUsage(t.Context(), port.Tenure{Leader: "h9", FencingToken: 1 << 40}, 1, map[string]int{}))
	store := platform.NewStore(d.store.Address(), nil, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	_, err = store.Newest(t.Context(), port.TopicConfiguration)
	is.NoErr(err)
	go func() { // fails when the test ends
		_, _ = platform.NewEndpoints(nil).MoveStream(t.Context(), silent.Addr().String(), port.StreamMove{RequestID: "a", Target: "127.0.0.1:1"})
	}()

	for _, kind := range []struct {
		name, address string
		accepted      bool
	}{
		{"to endpoints, requests", endpoint.Address(), false},
		{"to endpoints, commands", silent.Addr().String(), false},
		{"to the store", d.store.Address(), false},
		{"to the cloud API", d.cloud.Address(), false},
		{"to peers", peers.Addr().String(), false},
		{"from peers", peers.Addr().String(), true},
		{"from callers", d.front, true},
		{"from callers, directory", d.directory, true},
		{"from the platform, readiness", d.ready, true},
		{"from the platform, metrics", d.metrics, true},
	} {
		if kind.accepted && kind.address != peers.Addr().String() {
			c, err := net.Dial("tcp", kind.address)
			is.NoErr(err)
			t.Cleanup(func() { _ = c.Close() })
		}
		found := awaitSockets(t, kind.address, kind.accepted)
		for _, got := range found {
			is.Equal(got, defaultOptions)
		}
		t.Logf("%-30s keepalive %d, idle %d s, interval %d s, count %d, user timeout %d ms", kind.name,
			found[0].keepAlive, found[0].idle, found[0].interval, found[0].count, found[0].userTimeout)
	}
}

// awaitSockets returns the options of this process's connections to an address, or of those accepted at it; at least one.
// Package net sets them once a connection is open, so that they are awaited for a while.
func awaitSockets(t *testing.T, address string, accepted bool) []socketOptions {
	t.Helper()
	const settleTime = 5 * time.Second
	for end := time.Now().Add(settleTime); ; time.Sleep(time.Millisecond) {
		found := sockets(t, address, accepted)
		settled := !slices.ContainsFunc(found, func(o socketOptions) bool { return o != defaultOptions })
		if len(found) > 0 && (settled || time.Now().After(end)) {
			return found
		}
	}
}

func sockets(t *testing.T, address string, accepted bool) []socketOptions {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	is.New(t).NoErr(err)
	var found []socketOptions
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		remote, err := unix.Getpeername(fd) // fails for what is no connection
		if err != nil {
			continue
		}
		local, err := unix.Getsockname(fd)
		if err != nil {
			continue // closed meanwhile
		}
		if accepted && socketAddress(local) != address || !accepted && socketAddress(remote) != address {
			continue
		}
		if options, err := readSocketOptions(fd); err == nil { // an error means that it was closed meanwhile
			found = append(found, options)
		}
	}
	return found
}

// socketAddress returns ip:port of an address of IPv4, also of one that is mapped to IPv6; empty for others.
func socketAddress(address unix.Sockaddr) string {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return fmt.Sprintf("%s:%d", net.IP(a.Addr[:]), a.Port)
	case *unix.SockaddrInet6:
		return fmt.Sprintf("%s:%d", net.IP(a.Addr[:]), a.Port)
	}
	return ""
}

func readSocketOptions(fd int) (o socketOptions, err error) {
	for _, option := range []struct {
		level, name int
		into        *int
	}{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, &o.keepAlive},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, &o.idle},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, &o.interval},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, &o.count},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, &o.userTimeout},
	} {
		if *option.into, err = unix.GetsockoptInt(fd, option.level, option.name); err != nil {
			return o, err
		}
	}
	return o, nil
}
