package direct

import (
	"errors"
	"io"
	"net"
)

// isGarbled reports whether an error of reading a response is due to the bytes that were
// received, and not to the connection.
func isGarbled(err error) bool {
	var network net.Error
	return !errors.As(err, &network) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed)
}
