package cutserver

import (
	"fmt"
	"strings"
)

// Malformed returns answers whose heads are malformed, or so long that only a bound ends them, by
// what is wrong. status and body are those of the answer without it.
func Malformed(status int, body string) map[string]string {
	whole, _ := Answer(status, Length, body)
	chunked, _ := Answer(status, Chunks, body)
	line := fmt.Sprintf("HTTP/1.1 %d", status)
	const end = "\r\n\r\n"
	answers := map[string]string{
		"HTTP/2.0":            strings.Replace(whole, "HTTP/1.1", "HTTP/2.0", 1),
		"reason":              strings.Replace(whole, line, line+" \x00", 1),
		"blank in a length":   strings.Replace(whole, "Content-Length:", "Content-Length :", 1),
		"blank in chunks":     strings.Replace(chunked, "Transfer-Encoding:", "Transfer-Encoding :", 1),
		"chunks of HTTP/1.0":  strings.Replace(chunked, "HTTP/1.1", "HTTP/1.0", 1),
		"length and chunks":   strings.Replace(chunked, end, "\r\nContent-Length: 1"+end, 1),
		"field of an interim": "HTTP/1.1 100 Continue\r\nA : b" + end + whole,
		"a long head":         strings.Replace(whole, end, "\r\nA: "+strings.Repeat("x", 1<<20)+end, 1),
	}
	for _, text := range []string{"000", "099", "101", "600", "999", "+20"} {
		answers["status "+text] = strings.Replace(whole, line, "HTTP/1.1 "+text, 1)
		answers["interim "+text] = "HTTP/1.1 " + text + " X" + end + whole
	}
	for _, field := range []string{"A : b", "A B: c", " A: b", "A\x00: b", "A: b\x00", ": b", "no colon"} {
		answers[fmt.Sprintf("field %q", field)] = strings.Replace(whole, end, "\r\n"+field+end, 1)
	}
	return answers
}
