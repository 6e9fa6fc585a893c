package serverconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// maxHeadBytes limits the head of a response. The default of net/http is 10 MB.
const maxHeadBytes = 64 << 10

// Transport is an http.Transport whose connections are Conns.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of t, which must not be used otherwise. They
// may not be for TLS.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c, nil), nil
	}
	t.MaxResponseHeaderBytes = maxHeadBytes
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: expectResponse}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// expectResponse is called before a request is written on a connection.
func expectResponse(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		// Nothing has been received, so that there is no error.
		_ = c.ExpectResponse(nil)
	}
}
