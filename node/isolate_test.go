package node

import (
	"testing"

	"github.com/matryer/is"
)

// TestIsolateIsExclusive checks that an endpoint is reserved for one request at a time.
func TestIsolateIsExclusive(t *testing.T) {
	is := is.New(t)
	f := newInFlightTable()
	is.True(f.isolate("engine-1"))
	is.True(!f.isolate("engine-1"))
	f.endIsolation("engine-1")
	is.True(f.isolate("engine-1"))
}
