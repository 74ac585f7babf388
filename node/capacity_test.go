package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/publish"
)

// fakeHostMarket is the part of the fake cloud API that prices and starts
// hosts.
type fakeHostMarket struct {
	// fail holds the errors of the next starts. With loseReply the starts that
	// fail take effect nevertheless.
	fail      []error
	loseReply bool
	calls     int
	tokens    map[string]int
}

func (c *fakeCloud) Prices(context.Context) ([]port.Price, error) {
	return []port.Price{{Region: "plateau", Zone: "jos-a", Class: "l4", PricePerHour: 1}}, nil
}

// Start implements port.Cloud. The same token returns the same host.
func (c *fakeCloud) Start(_ context.Context, req port.StartRequest) (port.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.market.calls++
	var err error
	if len(c.market.fail) > 0 {
		err = c.market.fail[0]
		c.market.fail = c.market.fail[1:]
		if !c.market.loseReply {
			return port.Host{}, err
		}
	}
	for _, h := range c.hosts {
		if h.StartToken == req.Token {
			return h, err
		}
	}
	if c.market.tokens == nil {
		c.market.tokens = map[string]int{}
	}
	c.market.tokens[req.Token]++
	h := port.Host{
		ID: fmt.Sprintf("started-%d", len(c.market.tokens)), Role: port.RoleEndpoint, Region: req.Region, Zone: req.Zone,
		Class: req.Class, Service: req.Service, State: port.HostLive, EndpointAddress: "127.0.0.1:1", StartToken: req.Token,
	}
	c.hosts = append(c.hosts, h)
	return h, err
}

// started returns the ids of the listed hosts that capacity started.
func (c *fakeCloud) started() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, h := range c.hosts {
		if h.StartToken != "" {
			out = append(out, h.ID)
		}
	}
	return out
}

// wantHosts publishes the test document with n as both bounds of the number of
// hosts.
func (c *cluster) wantHosts(n int) {
	is := is.New(c.t)
	current, err := publish.Get(c.t.Context(), c.log, testService)
	is.NoErr(err)
	bounds := fmt.Sprintf(`"machine_classes": ["l4"], "min_hosts": %d, "max_hosts": %d`, n, n)
	text := strings.Replace(testDocument(), `"machine_classes": ["l4"]`, bounds, 1)
	_, err = publish.Publish(c.t.Context(), c.log, testService, current.Offset, text)
	is.NoErr(err)
}

// TestCapacityStarts guards against starts that are lost when the cloud API
// refuses or fails, and against hosts started twice when only the reply was
// lost.
func TestCapacityStarts(t *testing.T) {
	for name, tc := range map[string]struct {
		fail      []error
		loseReply bool
		calls     int
	}{
		"plain":            {calls: 2},
		"start refused":    {fail: []error{port.ErrStartRefused, port.ErrStartRefused}, calls: 3},
		"API down":         {fail: []error{port.ErrCloudUnavailable, port.ErrCloudUnavailable}, calls: 4},
		"start reply lost": {fail: []error{port.ErrCloudUnavailable, port.ErrCloudUnavailable}, loseReply: true, calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3)
				c.cloud.mu.Lock()
				c.cloud.market = fakeHostMarket{fail: tc.fail, loseReply: tc.loseReply}
				c.cloud.mu.Unlock()
				c.wantHosts(3) // one is listed already
				time.Sleep(time.Minute)
				synctest.Wait()
				is.Equal(len(c.cloud.started()), 2)       // as many as the document requires
				is.Equal(len(c.cloud.market.tokens), 2)   // and none was started twice
				is.True(c.cloud.market.calls >= tc.calls) // failed starts were requested again
			})
		})
	}
}

// TestCapacityReplacesLostHost guards against a lost host that is not replaced,
// or is replaced twice, when the holder of the capacity lease is killed at the
// same time. The replacement runs under a new generation of the slot.
func TestCapacityReplacesLostHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.wantHosts(2)
		time.Sleep(time.Minute)
		is.Equal(c.cloud.started(), []string{"started-1"})
		holderIndex, _ := c.holder(capacityLease(testService))
		c.cloud.remove("started-1")
		c.kill(holderIndex)
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		is.Equal(len(c.cloud.started()), 1) // replaced once
		time.Sleep(5 * time.Minute)
		is.Equal(len(c.cloud.started()), 1) // and it remains
	})
}
