package node

import (
	"testing"

	"github.com/matryer/is"
)

func TestIsolateIsExclusive(t *testing.T) {
	is := is.New(t)
	f := newFlights()
	is.True(f.isolate("engine-1"))
	is.True(!f.isolate("engine-1"))
	f.share("engine-1")
	is.True(f.isolate("engine-1"))
}
