package request

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// Fingerprint is the same for all tries of one request, whatever its id: its method,
// host, target and body. It is taken from a cryptographic hash, so that no caller can
// make a request of its own that has another's.
type Fingerprint uint64

// Fingerprint returns the request's. A request without a body also has its caller's IP
// number in it: many callers ask for the same target. With a body it has not, as one
// caller's tries may come from several addresses.
func (r *Request) Fingerprint() Fingerprint {
	fields := []string{r.Method, r.Host, r.Target}
	if len(r.Body) == 0 {
		fields = append(fields, r.Caller)
	}
	h := sha256.New()
	for _, field := range fields {
		// The length keeps two fields from being taken for two others.
		io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
	h.Write(r.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the form used in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
