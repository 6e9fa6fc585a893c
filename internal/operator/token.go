package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Paths that need no token, because balancers and supervisors request them.
const (
	pathHealth = "/healthz"
	pathReady  = "/readyz"
)

const bearerPrefix = "Bearer "

// requireToken rejects requests without the token, except for health and
// readiness. Both tokens are hashed before the comparison, so that its duration
// reveals neither the content nor the length of the token.
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
