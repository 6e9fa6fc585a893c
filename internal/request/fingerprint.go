package request

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// Fingerprint is the same for all tries of one request: its method, host, target,
// caller and body, whatever its id. It is taken from a cryptographic hash, so that no
// caller can make a request of its own that has another's.
type Fingerprint uint64

// Fingerprint returns the request's.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.Target, r.Caller} {
		// The length keeps two fields from being taken for two others.
		io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
	h.Write(r.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the form used in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
