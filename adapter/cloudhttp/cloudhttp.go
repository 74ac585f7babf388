// Package cloudhttp implements port.Cloud over the platform's HTTP API.
package cloudhttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// callTimeout bounds one call, in addition to the time that the API is asked to wait
// for notices.
const callTimeout = 3 * time.Second

// Cloud is a client of the platform's cloud API.
type Cloud struct {
	base   string
	client *http.Client
}

var _ port.Cloud = (*Cloud)(nil)

// New returns a client for the API at base, such as "http://10.0.0.1:80".
func New(base string, dial jsonhttp.DialFunc) *Cloud {
	return &Cloud{base: base, client: jsonhttp.NewClient(jsonhttp.NewTransport(dial))}
}

func (c *Cloud) call(ctx context.Context, method, path string, wait time.Duration, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	status, err := jsonhttp.Call(ctx, c.client, method, c.base+path, jsonhttp.MaxReportBytes, body, out)
	switch {
	case err != nil:
		return errors.Wrap(port.ErrCloudUnavailable, err.Error())
	case status == http.StatusConflict:
		return port.ErrStartRefused
	case status != http.StatusOK:
		return errors.Wrapf(port.ErrCloudUnavailable, "%s: status %d", path, status)
	}
	return nil
}

// Hosts implements port.Cloud.
func (c *Cloud) Hosts(ctx context.Context) ([]port.Host, error) {
	var hosts []port.Host
	err := c.call(ctx, http.MethodGet, "/hosts", 0, nil, &hosts)
	return hosts, err
}

// Notices implements port.Cloud.
func (c *Cloud) Notices(ctx context.Context, after int64, wait time.Duration) ([]port.Notice, error) {
	q := url.Values{}
	q.Set("after", strconv.FormatInt(after, 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var notices []port.Notice
	err := c.call(ctx, http.MethodGet, "/notices?"+q.Encode(), wait, nil, &notices)
	return notices, err
}

// Start implements port.Cloud.
func (c *Cloud) Start(ctx context.Context, req port.StartRequest) (port.Host, error) {
	var host port.Host
	err := c.call(ctx, http.MethodPost, "/hosts", 0, req, &host)
	return host, err
}

// Stop implements port.Cloud.
func (c *Cloud) Stop(ctx context.Context, hostID string) error {
	return c.call(ctx, http.MethodDelete, "/hosts/"+url.PathEscape(hostID), 0, nil, nil)
}

// Prices implements port.Cloud.
func (c *Cloud) Prices(ctx context.Context) ([]port.Price, error) {
	var prices []port.Price
	err := c.call(ctx, http.MethodGet, "/prices", 0, nil, &prices)
	return prices, err
}
