package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is how many bytes of prompt text count as one token where only
// the text is known.
const BytesPerToken = 4

// Pieces returns the hash chain of the prompt's whole pieces, each of
// PieceTokens tokens at BytesPerToken: two prompts with the same leading pieces
// have the same leading hashes.
func PrefixBlocks(prompt string) []uint64 {
	return PrefixBlocksOf(prompt, KVBlockTokens*BytesPerToken)
}

// PiecesOf is Pieces for pieces of the given number of bytes.
func PrefixBlocksOf(prompt string, pieceBytes int) []uint64 {
	var pieces []uint64
	var chain [8]byte
	digest := xxhash.New()
	for len(prompt) >= pieceBytes {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[:pieceBytes])
		piece := digest.Sum64()
		pieces = append(pieces, piece)
		binary.LittleEndian.PutUint64(chain[:], piece)
		prompt = prompt[pieceBytes:]
	}
	return pieces
}
