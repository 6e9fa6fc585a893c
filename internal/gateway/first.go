package gateway

import "io"

// firstByte calls seen when the first byte has been read.
type firstByte struct {
	io.Reader
	seen func()
}

// Read implements io.Reader.
func (f *firstByte) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if n > 0 && f.seen != nil {
		f.seen()
		f.seen = nil
	}
	return n, err
}
