package publish

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
)

// Host is one entry host to ask.
type Host struct {
	ID string
	// OperatorAddress is the ip:port of its operators' address.
	OperatorAddress string
}

// Status is what one entry host says of a service's document. It is the reply
// to GET /v1/config/{service} at the operators' address.
type Status struct {
	Host string `json:"host"`
	// Revision is the accepted revision that the host knows, 0 for none.
	Revision Revision `json:"revision"`
	// InForce is the revision that the host acts on.
	InForce Revision `json:"in_force"`
	// LogOffset is the next log offset that the host will fold.
	LogOffset int64 `json:"log_offset"`
	// Stale is set when the host knows that it cannot follow the log.
	Stale bool `json:"stale"`
}

// Force says on how many of the hosts asked a revision is in force.
type Force struct {
	InForce int
	Asked   int
	// Missing are the hosts that do not have it in force, or did not answer.
	Missing []Host
}

// Whole reports whether the revision is in force on every host asked.
func (f Force) Whole() bool { return f.InForce == f.Asked }

const (
	askPause   = 100 * time.Millisecond
	askTimeout = 2 * time.Second
)

// Wait asks the hosts until a revision of the service, or a later one, is in
// force on all of them, or ctx ends. It returns the last count; the error is
// that of ctx.
func Wait(ctx context.Context, client *http.Client, hosts []Host, service string, revision Revision) (Force, error) {
	missing := hosts
	for {
		missing = ask(ctx, client, missing, service, revision)
		force := Force{InForce: len(hosts) - len(missing), Asked: len(hosts), Missing: missing}
		if force.Whole() {
			return force, nil
		}
		if !sleep(ctx, askPause) {
			return force, ctx.Err()
		}
	}
}

// ask returns the hosts that do not have the revision in force.
func ask(ctx context.Context, client *http.Client, hosts []Host, service string, revision Revision) []Host {
	ok := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			status, err := Ask(ctx, client, h, service)
			ok[i] = err == nil && status.InForce >= revision
		})
	}
	wg.Wait()
	var missing []Host
	for i, h := range hosts {
		if !ok[i] {
			missing = append(missing, h)
		}
	}
	return missing
}

// Ask asks one host for its status of a service.
func Ask(ctx context.Context, client *http.Client, h Host, service string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var status Status
	address := "http://" + h.OperatorAddress + "/v1/config/" + url.PathEscape(service)
	code, err := jsonhttp.Call(ctx, client, http.MethodGet, address, nil, &status)
	if err == nil && code != http.StatusOK {
		err = ErrNotFound
	}
	return status, err
}
