package standin

import (
	"context"

	"golang.org/x/time/rate"
)

// weightPiece is how many bytes a fetch takes at a time, so that several
// fetches share the store.
const weightPiece = 1 << 20

// WeightStore is the platform's weight store: engines that load a model share
// its rate.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewWeightStore returns a store that serves that many bytes a second in all.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightPiece)}
}

// Fetch waits until the store has served that many bytes; the error is that of
// ctx.
func (s *WeightStore) Fetch(ctx context.Context, bytes int64) error {
	for bytes > 0 {
		piece := min(bytes, weightPiece)
		if err := s.limiter.WaitN(ctx, int(piece)); err != nil {
			return err
		}
		bytes -= piece
	}
	return nil
}
