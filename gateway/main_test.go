package gateway

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the heap grow further between collections: simulations of many hosts allocate much and keep little.
func TestMain(m *testing.M) {
	const gcPercent = 400
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
