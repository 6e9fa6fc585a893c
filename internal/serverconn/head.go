package serverconn

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/samber/lo"
	"golang.org/x/net/http/httpguts"

	"pistachioroad.dev/pistachioroad/internal/membudget"
)

// ErrMalformed is the error of a response whose head is malformed. Neither its status nor the
// end of its body can be relied on.
var ErrMalformed = errors.New("malformed head of a response")

// ErrNoMemory is the error of a response for whose head, and those of interim responses before it,
// there is no memory.
var ErrNoMemory = errors.New("no memory for the head of a response")

func malformed(what string, line []byte) error {
	const maxShown = 80
	return fmt.Errorf("%w: %s %q", ErrMalformed, what, line[:min(len(line), maxShown)])
}

// headPart is the part of a head that is received next.
type headPart uint8

const (
	noHead headPart = iota
	statusLine
	fieldLines
)

// headChecker checks the head of a response, and those of the interim responses before it, as
// it is received. The parser of net/http accepts heads that RFC 9112 does not allow.
type headChecker struct {
	next headPart
	// line is the received part of a line that has not ended.
	line []byte
	// final is set if the head is not that of an interim response.
	final bool
	// version is the minor version of HTTP/1, a digit. hasLength and hasEncoding tell which
	// fields the head has.
	version                byte
	hasLength, hasEncoding bool
	// memory is reserved from budget, unless that is nil.
	memory membudget.Head
	budget *membudget.Budget
	err    error
}

// expect starts the check of the next response.
func (h *headChecker) expect() {
	h.next, h.line = statusLine, h.line[:0]
}

// keptLine is the largest buffer for the beginning of a line that is kept for the next one.
const keptLine = 1 << 10

// check checks received bytes. Those after the head are not checked.
func (h *headChecker) check(p []byte) error {
	for len(p) > 0 && h.next != noHead && h.err == nil {
		part, rest, ended := bytes.Cut(p, []byte{'\n'})
		p = rest
		if !h.memory.Add(len(part), lo.Ternary(ended, 1, 0), h.budget) {
			h.err = ErrNoMemory
			break
		}
		if !ended {
			h.line = append(h.line, part...)
			break
		}
		if len(h.line) > 0 {
			h.line = append(h.line, part...)
			part = h.line
		}
		h.err = h.checkLine(bytes.TrimSuffix(part, []byte{'\r'}))
		h.line = h.line[:0]
		if cap(h.line) > keptLine {
			h.line = nil
		}
	}
	return h.err
}

func (h *headChecker) checkLine(line []byte) error {
	switch {
	case h.next == statusLine:
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	case h.hasEncoding && h.hasLength:
		return malformed("framing:", []byte("both a length and a transfer encoding"))
	case h.hasEncoding && h.version == '0':
		return malformed("framing:", []byte("a transfer encoding of HTTP/1.0"))
	case h.final:
		h.next = noHead
	default:
		h.next = statusLine
	}
	return nil
}

// versionPrefix begins the status line of each response of HTTP/1. A digit follows.
const versionPrefix = "HTTP/1."

// maxStatus is the largest status: its first digit is the class, of which there are five.
const maxStatus = 599

func (h *headChecker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	if !bytes.HasPrefix(version, []byte(versionPrefix)) || !isDigits(version[len(versionPrefix):], 1) {
		return malformed("version of", line)
	}
	if !isDigits(code, 3) || !isFieldValue(reason) {
		return malformed("status line", line)
	}
	status, err := strconv.Atoi(string(code))
	// Switching protocols was not requested.
	if err != nil || status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return malformed("status", line)
	}
	h.final, h.version = status >= http.StatusOK, version[len(versionPrefix)]
	h.hasLength, h.hasEncoding = false, false
	h.next = fieldLines
	return nil
}

// checkField checks a line with a field. A line that begins with a blank is none: a folded value
// cannot be told from a name with a blank, and RFC 9112, section 5.2, allows to reject both.
func (h *headChecker) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return malformed("field name", line)
	}
	if !isFieldValue(value) {
		return malformed("field value", line)
	}
	h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	h.hasEncoding = h.hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}

// isToken reports whether text may be the name of a field.
func isToken(text []byte) bool {
	return len(text) > 0 && !bytes.ContainsFunc(text, func(r rune) bool { return !httpguts.IsTokenRune(r) })
}

func isDigits(text []byte, n int) bool {
	return len(text) == n && len(bytes.Trim(text, "0123456789")) == 0
}

// isFieldValue reports whether text may be the value of a field or a reason phrase: it has no
// control bytes but tabs.
func isFieldValue(text []byte) bool {
	const del = 0x7f
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == del })
}

// CheckTrailer returns an ErrMalformed if a parsed trailer has a malformed name.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken([]byte(name)) {
			return malformed("field name in a trailer", []byte(name))
		}
	}
	return nil
}
