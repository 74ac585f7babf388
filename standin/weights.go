package standin

import (
	"context"

	"golang.org/x/time/rate"
)

// fetchChunkBytes is the size of one step of a fetch; small steps let concurrent fetches share the
// rate.
const fetchChunkBytes = 1 << 20

// WeightStore is the platform's store of model weights. Engines that load models at the same time
// share its rate.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewWeightStore returns a store with a total rate in bytes per second.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), fetchChunkBytes)}
}

// Fetch waits until the store has served the given number of bytes. It fails only if ctx ends.
func (s *WeightStore) Fetch(ctx context.Context, bytes int64) error {
	for bytes > 0 {
		chunk := min(bytes, fetchChunkBytes)
		if err := s.limiter.WaitN(ctx, int(chunk)); err != nil {
			return err
		}
		bytes -= chunk
	}
	return nil
}
