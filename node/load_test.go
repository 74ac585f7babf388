package node

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestNoLoadWithoutDocument checks that an endpoint is not polled before the document of
// its service is known: it may be a plain service, which would run a request to an
// engine's path as an ordinary call.
func TestNoLoadWithoutDocument(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Host: "entry-0"}, Ports{Engine: fakeEngine{}, Services: newFakeServices()})
	_, err := n.loadOf(t.Context(), port.Host{ID: "plain-1", Service: testService})
	is.True(errors.Is(err, errNoDocument))
}
