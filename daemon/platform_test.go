package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// deployment is a stand-in for the platform and a host that uses it, with the host's
// real servers and clients.
type deployment struct {
	t         *testing.T
	store     *platformtest.Store
	cloud     *platformtest.Cloud
	host      *host
	front     string
	ready     string
	directory string
	metrics   string
	cancel    context.CancelFunc
	done      chan error
}

// listenerSet holds listeners by address, at ports that the system chose.
type listenerSet map[string]net.Listener

func (s listenerSet) add(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s[l.Addr().String()] = l
	return l.Addr().String()
}

func (s listenerSet) open(address string) (net.Listener, error) { return s[address], nil }

func deploy(t *testing.T) *deployment { return deployLogged(t, io.Discard) }

// deployLogged returns a deployment whose host writes its log to out.
func deployLogged(t *testing.T, out io.Writer) *deployment {
	t.Helper()
	d := &deployment{t: t, store: platformtest.NewStore(), cloud: platformtest.NewCloud(), done: make(chan error, 1)}
	t.Cleanup(d.store.Close)
	t.Cleanup(d.cloud.Close)
	sockets := listenerSet{}
	d.front, d.ready, d.directory = sockets.add(t), sockets.add(t), sockets.add(t)
	settings, err := platform.ParseSettings([]byte(strings.Join([]string{
		"node_name=h1", "ip=127.0.0.1", "zone=a", "region=r", "zones.a=r",
		"listen.front=" + d.front, "listen.ready=" + d.ready, "listen.directory=" + d.directory,
		"provider.address=" + d.store.Address(), "cloud.address=" + d.cloud.Address(), "cloud.duties=usage_report",
		"bounds.usage_window_s=1", "bounds.usage_late_s=10", "bounds.lease_ms=3000", "bounds.grace_s=8", "bounds.drain_ms=3000", "bounds.budget_slack=58",
		"bounds.exposure_share=0.1", "bounds.rollback_ms=5000",
	}, "\n")))
	is.New(t).NoErr(err)
	settings.MetricsAddress = sockets.add(t)
	d.metrics = settings.MetricsAddress
	d.host, err = startHost(settings, &log.Logger{Writer: &log.IOWriter{Writer: out}}, sockets.open)
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() { d.done <- d.host.run(ctx) }()
	return d
}

func (d *deployment) configure(version int, extra string) {
	d.store.Configure(version, extra)
}

// awaitReady waits until the host is ready and knows a number of endpoints.
func (d *deployment) awaitReady(endpoints int) {
	for len(d.host.gateway.State(time.Now()).Endpoints) < endpoints || d.get(d.ready, "/v1/ready") != http.StatusOK {
		time.Sleep(5 * time.Millisecond)
	}
}

func (d *deployment) get(address, path string) int {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (d *deployment) request(id, path, key string, stream bool) platformtest.Answer {
	return platformtest.SendRequest(d.front, id, path, key, stream)
}

// completeStream is the body of a stream of an endpoint whose software version is not set.
var completeStream = platformtest.CompleteStream("v1", 0)

// TestPlatformPath sends requests over real connections through a host to stand-ins
// of the platform and its endpoints, with faults of single requests only. It guards
// against a wrong response, a repeated non-idempotent request, a stream that is not
// resumed, and a planned stop that loses requests.
func TestPlatformPath(t *testing.T) {
	is := is.New(t)
	behaviour := func(attempt string, _ int) platformtest.Behaviour {
		switch {
		case strings.HasPrefix(attempt, "cut"):
			return platformtest.Disconnect
		case strings.HasPrefix(attempt, "decline"):
			return platformtest.Decline
		case strings.HasPrefix(attempt, "unsealed"):
			return platformtest.Unsealed
		}
		return platformtest.Serve
	}
	api := platformtest.NewEndpoint("i-api", behaviour)
	one, two := platformtest.NewEndpoint("i-1", behaviour), platformtest.NewEndpoint("i-2", nil)
	for _, w := range []*platformtest.Endpoint{api, one, two} {
		t.Cleanup(w.Close)
	}
	d := deploy(t)
	is.Equal(d.get(d.ready, "/v1/ready"), http.StatusServiceUnavailable) // no configuration yet
	d.configure(1, "")
	d.store.Register("i-api", api.Entry("api", "a", "ready"))
	d.store.Register("i-1", one.Entry("llm", "a", "ready"))
	d.store.Register("i-2", two.Entry("llm", "a", "ready"))
	d.store.Register("i-odd", []byte("not an entry"))
	d.awaitReady(3)

	r := d.request("a1", "/order/1", "secret", false)
	is.NoErr(r.Err)
	is.Equal(r.Status, 200)
	is.Equal(r.Body, "ran a1 at i-api")
	is.Equal(r.Seal, "i-api.a1")
	is.Equal(api.Runs()[0].Workspace, "w") // the workspace of the key, not the forged header
	is.Equal(api.Runs()[0].Key, "")        // the key is not forwarded

	is.Equal(d.request("a2", "/order/1", "wrong", false).Status, 401)
	is.Equal(d.request("a3", "/none/1", "secret", false).Status, 404)
	r = d.request("decline1", "/order/1", "secret", false)
	is.Equal(r.Status, 503)
	is.True(r.RetryAfter != "")
	is.Equal(d.request("cut1", "/order/1", "secret", false).Status, 502)      // it ran, so it is not retried
	is.Equal(d.request("unsealed1", "/order/1", "secret", false).Status, 502) // a response without a signature is not trusted
	is.Equal(len(api.Runs()), 3)

	r = d.request("s1", "/stream/1", "secret", true)
	is.Equal(r.Body, completeStream)
	for i := range 8 { // those that start at i-1 are cut and resume at i-2
		r = d.request(fmt.Sprintf("cut-s%d", i), fmt.Sprintf("/stream/%d", i), "secret", true)
		is.NoErr(r.Err)
		is.Equal(r.Body, completeStream)
	}
	resumed := 0
	for _, run := range two.Runs() {
		if run.After == "4" {
			resumed++
		}
	}
	is.Equal(resumed, len(one.Runs())-countPrefix(one.Runs(), "s"))

	resp, err := http.Get("http://" + d.directory + "/v1/resolve?name=x.example&region=r&zone=a")
	is.NoErr(err)
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
	_ = resp.Body.Close()
	is.Equal(answer.Addresses, []string{d.front})

	// During a planned stop the host is not ready, and still serves new requests.
	d.cancel()
	for d.get(d.ready, "/v1/ready") != http.StatusServiceUnavailable {
		time.Sleep(time.Millisecond)
	}
	r = d.request("last", "/get/1", "secret", false)
	is.Equal(r.Status, 200)
	is.NoErr(<-d.done)
	_, changed := d.cloud.Reports()
	is.True(!changed)
}

func countPrefix(runs []platformtest.Run, prefix string) int {
	n := 0
	for _, r := range runs {
		if strings.HasPrefix(r.Attempt, prefix) {
			n++
		}
	}
	return n
}

// TestConfigurationInForce guards against an older configuration replacing a newer
// one: a new route is served once its version is read, also after an older version
// is written to the store.
func TestConfigurationInForce(t *testing.T) {
	is := is.New(t)
	api := platformtest.NewEndpoint("i-api", nil)
	t.Cleanup(api.Close)
	d := deploy(t)
	d.configure(5, "")
	d.store.Register("i-api", api.Entry("api", "a", "ready"))
	d.awaitReady(1)
	is.Equal(d.request("a1", "/new/1", "secret", false).Status, 404)
	d.configure(9, "new")
	for n := 0; d.request(fmt.Sprint("b", n), "/new/1", "secret", false).Status != 200; n++ {
		time.Sleep(5 * time.Millisecond)
	}
	d.configure(7, "")
	late := platformtest.NewEndpoint("i-late", nil)
	t.Cleanup(late.Close)
	d.store.Register("i-late", late.Entry("api", "a", "ready"))
	d.awaitReady(2) // the host has read the store past the older version
	is.Equal(d.request("c1", "/new/1", "secret", false).Status, 200)
	d.cancel()
	is.NoErr(<-d.done)
}
