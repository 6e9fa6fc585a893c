package request

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// Fingerprint identifies a request across its attempts, independent of its id: it is a
// cryptographic hash of method, host, target and body, so that no caller can forge
// a request with the fingerprint of another.
type Fingerprint uint64

// Fingerprint returns the fingerprint of r. Without a body it includes the caller's IP
// address, as many callers request the same target. With a body it does not, as a
// caller may retry from several addresses.
func (r *Request) Fingerprint() Fingerprint {
	fields := []string{r.Method, r.Host, r.Target}
	if len(r.Body) == 0 {
		fields = append(fields, r.Caller)
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
