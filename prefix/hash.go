// Package prefix estimates which endpoints have cached which prompt prefixes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens in one block.
	BlockTokens = 64
	// BytesPerToken is the assumed mean length of a token in prompt text.
	BytesPerToken = 4
	blockBytes    = BlockTokens * BytesPerToken
)

// Blocks returns the chained hashes of the complete blocks of a prompt. The hash of a
// block also covers the model and all text before it, so that equal hashes mean equal
// prefixes.
func Blocks(model, text string) []uint64 {
	n := len(text) / blockBytes
	out := make([]uint64, n)
	parent := xxhash.Sum64String(model)
	var chained [8 + blockBytes]byte
	for i := range n {
		binary.LittleEndian.PutUint64(chained[:8], parent)
		copy(chained[8:], text[i*blockBytes:(i+1)*blockBytes])
		parent = xxhash.Sum64(chained[:])
		out[i] = parent
	}
	return out
}

// Tokens estimates the number of tokens in text, rounded up.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
