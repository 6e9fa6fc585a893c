package request_test

import (
	"testing"

	"pistachioroad.dev/pistachioroad/internal/request"
)

// Guards against tries of one request that are not known as such, and against requests
// of others that are taken for them.
func TestFingerprintTellsRequestsApartByWhatTheyAskFor(t *testing.T) {
	one := request.Request{ID: "1", Method: "POST", Host: "h", Target: "/a/b", Caller: "10.0.0.1", Body: []byte("x")}
	again := one
	again.ID = "2"
	if one.Fingerprint() != again.Fingerprint() {
		t.Error("another id makes another fingerprint")
	}
	for name, change := range map[string]func(*request.Request){
		"method": func(r *request.Request) { r.Method = "PUT" },
		"host":   func(r *request.Request) { r.Host = "i" },
		"target": func(r *request.Request) { r.Target = "/a/c" },
		"caller": func(r *request.Request) { r.Caller = "10.0.0.2" },
		"body":   func(r *request.Request) { r.Body = []byte("y") },
		"border": func(r *request.Request) { r.Host, r.Target = "h/a", "/b" },
	} {
		other := one
		change(&other)
		if one.Fingerprint() == other.Fingerprint() {
			t.Errorf("another %s makes no other fingerprint", name)
		}
	}
}
