package request

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// Fingerprint identifies a request across its attempts, independent of its id and its caller,
// who may retry from several addresses: it is a cryptographic hash of method, host, target and
// body, so that no caller can forge a request with the fingerprint of another. Without a body
// the prompt's segments take its place.
type Fingerprint uint64

// Fingerprint returns the fingerprint of r.
func (r *Request) Fingerprint() Fingerprint {
	fields := []string{r.Method, r.Host, r.Target}
	if len(r.Body) == 0 {
		fields = append(fields, r.Prompt.Model)
		for _, s := range r.Prompt.Segments {
			fields = append(fields, strconv.FormatUint(s.ID, 16))
		}
	}
	h := sha256.New()
	for _, field := range fields {
		// The length prefix keeps different splits of the same text distinct.
		io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
	h.Write(r.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the fingerprint in hexadecimal, as used in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
