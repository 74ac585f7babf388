package node

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Before the document is known, an endpoint may be a plain service, to which
// an engine's path is a call like any other.
func TestNoLoadWithoutDocument(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Host: "entry-0"}, Ports{Engine: fakeEngine{}, Services: newFakeServices()})
	_, err := n.loadOf(t.Context(), port.Host{ID: "plain-1", Service: testService})
	is.True(errors.Is(err, errNoDocument))
}
