package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed number of bytes per token of prompt text, used
// where the number of tokens is not known.
const BytesPerToken = 4

// PrefixBlocks returns the hash chain of the prompt's full KV blocks, each of
// KVBlockTokens tokens of BytesPerToken bytes. Prompts that share their leading
// blocks share the leading hashes.
func PrefixBlocks(prompt string) []uint64 {
	return PrefixBlocksOf(prompt, KVBlockTokens*BytesPerToken)
}

// PrefixBlocksOf is PrefixBlocks for blocks of the given number of bytes.
func PrefixBlocksOf(prompt string, blockBytes int) []uint64 {
	var blocks []uint64
	var chain [8]byte
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[:blockBytes])
		block := digest.Sum64()
		blocks = append(blocks, block)
		binary.LittleEndian.PutUint64(chain[:], block)
		prompt = prompt[blockBytes:]
	}
	return blocks
}
