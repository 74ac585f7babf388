package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// probeTimeout bounds the probe of an endpoint after a connection to it broke: a round trip between regions, and
// a host that has used up its share of the processor for a tenth of a second.
const probeTimeout = 200 * time.Millisecond

// probeResult is what a probe tells of an endpoint.
type probeResult string

const (
	probeListening probeResult = "listening"
	// probeRefused means that the endpoint's process has ended.
	probeRefused probeResult = "refused"
	probeUnknown probeResult = "unknown"
)

// probe finds out whether an endpoint to which a connection broke has ended.
func (g *Gateway) probe(address string) probeResult {
	ctx, cancel := context.WithTimeout(g.context(), probeTimeout)
	defer cancel()
	result := probeListening
	if err := g.ports.Endpoints.Probe(ctx, address); errors.Is(err, port.ErrNotListening) {
		result = probeRefused
	} else if err != nil {
		result = probeUnknown
	}
	g.metrics.probes.WithLabelValues(string(result)).Inc()
	return result
}
