package direct

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"pistachioroad.dev/pistachioroad/internal/serverconn"
)

// errCutInHead is the error of a response whose connection ended within its head.
var errCutInHead = errors.New("the connection ended within the head of the response")

// protocolName is the beginning of each response.
const protocolName = "HTTP/"

// readHead reads the head of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	// What does not begin like a response is not the beginning of one, wherever it ends.
	start, err := c.reader.Peek(len(protocolName))
	if !strings.HasPrefix(protocolName, string(start)) {
		return nil, fmt.Errorf("malformed response %q", start)
	}
	if err != nil {
		return nil, c.headError(err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, c.headError(err)
	}
	return resp, nil
}

// headError returns the error of a head that could not be parsed.
func (c *conn) headError(err error) error {
	switch ended := c.source.err; {
	case errors.Is(ended, serverconn.ErrMalformed), errors.Is(ended, serverconn.ErrNoMemory):
		return ended
	case ended == nil, isGarbled(err) && c.source.last == '\n':
		return err
	case c.source.remaining == maxHeadBytes && errors.Is(ended, io.EOF):
		return io.ErrUnexpectedEOF
	case c.source.remaining == maxHeadBytes, errors.Is(ended, ErrEndless):
		return ended
	case errors.Is(ended, os.ErrDeadlineExceeded), errors.Is(ended, net.ErrClosed):
		return fmt.Errorf("within the head of the response: %w", ended)
	default:
		return fmt.Errorf("%w: %w", errCutInHead, ended)
	}
}

// isGarbled reports whether an error of reading a response is due to the bytes that were
// received, and not to the connection.
func isGarbled(err error) bool {
	var network net.Error
	return !errors.Is(err, serverconn.ErrNoMemory) && !errors.As(err, &network) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed)
}
