package modelengine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the first tokens of the stand-in's answer to a prompt. Each
// token depends on the whole prompt and on its position, so that a test can
// detect another prompt's answer and missing or reordered tokens.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	seed := xxhash.Sum64String(prompt)
	for i := range tokens {
		text.WriteString(token(seed, i))
	}
	return text.String()
}

// token returns one output token: a space and eight hexadecimal digits.
func token(seed uint64, position int) string {
	sum := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(position))
	digits := strconv.FormatUint(sum|1<<63, 16)
	return " " + digits[:8]
}
