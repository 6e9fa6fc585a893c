package direct

import (
	"errors"
	"io"
	"net/http"

	"pistachioroad.dev/pistachioroad/internal/eventstream"
	"pistachioroad.dev/pistachioroad/internal/serverconn"
)

// Errors of streams that have been broken off. What the server may have run is not
// affected.
var (
	errWithinEvent   = errors.New("the stream ends within an event")
	errWithoutEvents = errors.New("the connection ended before the first event of the stream")
)

// replyBody is a response body that releases its connection at the end.
type replyBody struct {
	io.ReadCloser
	response *http.Response
	exchange *exchange
	received int64
}

// Read implements io.Reader.
func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.received += int64(n); b.received > largeBody && err == nil {
		b.exchange.expectLargeBody()
	}
	if err != io.EOF {
		return n, err
	}
	if err := serverconn.CheckTrailer(b.response.Trailer); err != nil {
		b.exchange.end(false)
		return n, err
	}
	b.exchange.end(true)
	return n, io.EOF
}

// expectLargeBody prepares the connection for more of a large body.
func (x *exchange) expectLargeBody() {
	if x.conn != nil {
		x.transport.receive.grow(x.conn)
	}
}

// Close closes the connection unless the body has been read to its end.
func (b *replyBody) Close() error {
	b.exchange.end(false)
	return nil
}

// newBody returns the body of a response.
func newBody(resp *http.Response) io.ReadCloser {
	header := resp.Header
	if !eventstream.IsContentType(header.Get("Content-Type")) || header.Get("Content-Encoding") != "" {
		return resp.Body
	}
	return &streamBody{ReadCloser: resp.Body, unframed: isUnframed(resp)}
}

// isUnframed reports whether the response's body is delimited only by the close of the
// connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// streamBody is the body of a stream of events. It fails if the stream ends within an
// event: a server that crashes ends an unframed body like a complete one.
type streamBody struct {
	io.ReadCloser
	unframed bool
	scanner  eventstream.Scanner
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.scanner.Scan(p[:n])
	if err == io.EOF {
		err = b.endOfStream()
	}
	return n, err
}

// endOfStream returns io.EOF if the stream may be complete.
func (b *streamBody) endOfStream() error {
	switch {
	case b.scanner.Within():
		return errWithinEvent
	case b.unframed && b.scanner.Events() == 0:
		return errWithoutEvents
	default:
		return io.EOF
	}
}
