package gateway

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/accounts"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// authResult is the result of the authentication of a request, as used in logs and metrics.
type authResult string

const (
	// authNone means that the configuration has no client accounts.
	authNone authResult = "none"
	// authAnonymous means that the route needs no key and the request has no known one.
	authAnonymous authResult = "anonymous"
	authKnown     authResult = "known"
	// authMissing means that the request has no key, more than one, or another scheme.
	authMissing authResult = "missing"
	authUnknown authResult = "unknown"
	// authUncertain means that the key is unknown, but may have been added since.
	authUncertain authResult = "uncertain"
)

// authenticate sets the client account of the request. If the caller may not use the
// route, it sends an error response and returns false. The account of a request stays the
// same for all of its attempts, also if the key is removed meanwhile.
func (c *call) authenticate(r *http.Request) bool {
	table := c.view.Table.Accounts
	if table == nil {
		c.auth = authNone
		c.gateway.codec.RestoreAuthorization(c.request.Header, r.Header)
		return true
	}
	account, known := accounts.Account{}, false
	if c.request.Credential.Present {
		account, known = table.Lookup(c.request.Credential.Digest)
	}
	c.auth = c.decideAuth(known)
	metrics.GetOrRegisterCounter("gateway.auth_"+string(c.auth), nil).Inc(1)
	switch c.auth {
	case authMissing:
		c.rejectUnauthenticated("an API key is required")
		return false
	case authUnknown:
		c.rejectUnauthenticated("unknown API key")
		return false
	case authUncertain:
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeStoreUnavailable, "unknown API key in a configuration that may be old", defaultRetryAfter))
		return false
	}
	c.request.Account = account.Name
	if account.HasPriority {
		c.route.Priority = account.Priority
	}
	return true
}

// decideAuth decides on a request whose key is known or not. An unknown key may have been
// added if the configuration is not surely current. Callers retry a 503, but not a 401.
func (c *call) decideAuth(known bool) authResult {
	switch {
	case known:
		return authKnown
	case c.route.Keyless:
		return authAnonymous
	case !c.request.Credential.Present:
		return authMissing
	case !c.view.Current(c.received, c.gateway.configApplyTime()):
		return authUncertain
	default:
		return authUnknown
	}
}

func (c *call) rejectUnauthenticated(message string) {
	c.writer.Header().Set("WWW-Authenticate", "Bearer")
	c.respondError(http.StatusUnauthorized, verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, message))
}
