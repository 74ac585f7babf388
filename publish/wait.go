package publish

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
)

// Host is an entry host to query.
type Host struct {
	ID string
	// OperatorAddress is the ip:port at which it serves operators.
	OperatorAddress string
}

// Status is one entry host's view of a service's document. It is the reply to GET
// /v1/config/{service} at the operators' address.
type Status struct {
	Host string `json:"host"`
	// Revision is the accepted revision that the host knows; 0 for none.
	Revision Revision `json:"revision"`
	// InForce is the revision that the host applies.
	InForce Revision `json:"in_force"`
	// LogOffset is the next log offset that the host will fold.
	LogOffset int64 `json:"log_offset"`
	// Stale is set if the host knows that it is behind the log.
	Stale bool `json:"stale"`
}

// Rollout states on how many of the queried hosts a revision is in force.
type Rollout struct {
	InForce int
	Queried int
	// Missing holds the hosts on which it is not in force or that did not answer.
	Missing []Host
}

// Complete reports whether the revision is in force on every host queried.
func (r Rollout) Complete() bool { return r.InForce == r.Queried }

const (
	statusPollInterval = 100 * time.Millisecond
	statusTimeout      = 2 * time.Second
)

// Wait polls the hosts until a revision of the service, or a later one, is in force
// on all of them or ctx ends. It returns the last rollout; the error is that of
// ctx.
func Wait(ctx context.Context, client *http.Client, hosts []Host, service string, revision Revision) (Rollout, error) {
	missing := hosts
	for {
		missing = withoutRevision(ctx, client, missing, service, revision)
		rollout := Rollout{InForce: len(hosts) - len(missing), Queried: len(hosts), Missing: missing}
		if rollout.Complete() {
			return rollout, nil
		}
		if !sleep(ctx, statusPollInterval) {
			return rollout, ctx.Err()
		}
	}
}

// withoutRevision queries the hosts and returns those on which the revision is not
// in force.
func withoutRevision(
	ctx context.Context, client *http.Client, hosts []Host, service string, revision Revision,
) []Host {
	inForce := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			status, err := FetchStatus(ctx, client, h, service)
			inForce[i] = err == nil && status.InForce >= revision
		})
	}
	wg.Wait()
	var missing []Host
	for i, h := range hosts {
		if !inForce[i] {
			missing = append(missing, h)
		}
	}
	return missing
}

// FetchStatus returns one host's status of a service.
func FetchStatus(ctx context.Context, client *http.Client, h Host, service string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status Status
	address := "http://" + h.OperatorAddress + "/v1/config/" + url.PathEscape(service)
	code, err := jsonhttp.Call(ctx, client, http.MethodGet, address, jsonhttp.MaxReportBytes, nil, &status)
	if err == nil && code != http.StatusOK {
		err = ErrNotFound
	}
	return status, err
}
