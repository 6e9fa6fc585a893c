package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// The paths that need no token: balancers and supervisors ask them.
const (
	pathHealth = "/healthz"
	pathReady  = "/readyz"
)

const bearerPrefix = "Bearer "

// requireToken refuses requests without the token, but for health and
// readiness. Both sides are hashed before they are compared, so that the time
// taken tells neither the token's text nor its length.
func requireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathHealth || r.URL.Path == pathReady {
			next.ServeHTTP(w, r)
			return
		}
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(given))
		if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operator token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
