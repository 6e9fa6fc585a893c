package modelengine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the first tokens of the stand-in's answer to a prompt. Each
// token depends on the whole prompt and on its own place, so that an answer
// proves whose it is and that nothing is missing or has changed places.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	seed := xxhash.Sum64String(prompt)
	for i := range tokens {
		text.WriteString(token(seed, i))
	}
	return text.String()
}

// token returns one output token: a space and eight hexadecimal digits.
func token(seed uint64, place int) string {
	sum := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(place))
	digits := strconv.FormatUint(sum|1<<63, 16)
	return " " + digits[:8]
}
