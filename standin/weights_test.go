package standin_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/standin"
)

// TestWeightStoreIsShared guards against a rate limit that applies to each fetch instead of to all
// together: models that are loaded at the same time would take no longer than one alone. The last
// fetch guards against a fetch that ignores the end of its context.
func TestWeightStoreIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewWeightStore(10 << 20)
		begin := time.Now()
		var fetches sync.WaitGroup
		for range 2 {
			fetches.Go(func() { is.NoErr(store.Fetch(t.Context(), 50<<20)) })
		}
		fetches.Wait()
		took := time.Since(begin)
		is.True(took > 9*time.Second && took < 11*time.Second) // 100 MiB at 10 MiB/s, in simulated time

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(store.Fetch(ctx, 50<<20) != nil)
	})
}
