package quarantine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/quarantine"
)

// TestIsolateIsExclusive checks that an endpoint is reserved for one request at a time.
func TestIsolateIsExclusive(t *testing.T) {
	is := is.New(t)
	f := quarantine.NewInFlight()
	is.True(f.Isolate("engine-1"))
	is.True(!f.Isolate("engine-1"))
	f.EndIsolation("engine-1")
	is.True(f.Isolate("engine-1"))
}
