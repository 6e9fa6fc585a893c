package platform

import "net/http"

// SetTransport replaces the connections of c, for tests in virtual time.
func SetTransport(c *Client, t http.RoundTripper) { c.http.Transport = t }
