package request_test

import (
	"testing"

	"pistachioroad.dev/pistachioroad/internal/request"
)

// Guards against counting one caller's retries from several addresses as different
// requests, so that a query of death is not quarantined, with a body and without one, and
// against counting prompts without a body as one request.
func TestFingerprintIsTheSameFromAnyAddress(t *testing.T) {
	post := request.Request{Method: "POST", Target: "/a", Caller: "10.0.0.1", Body: []byte("x")}
	get := request.Request{Method: "GET", Target: "/a", Caller: "10.0.0.1"}
	prompt := get
	prompt.Prompt.Segments = []request.Segment{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 20}}
	for _, r := range []request.Request{post, get, prompt} {
		other := r
		other.Caller = "10.0.0.2"
		if r.Fingerprint() != other.Fingerprint() {
			t.Errorf("%v from another address has another fingerprint", r)
		}
	}
	other := prompt
	other.Prompt.Segments = []request.Segment{{ID: 1, Tokens: 10}, {ID: 3, Tokens: 20}}
	if prompt.Fingerprint() == other.Fingerprint() || prompt.Fingerprint() == get.Fingerprint() {
		t.Error("prompts without a body have the same fingerprint")
	}
}

// Guards against retries that are not recognised as the same request, and against
// different requests that are mistaken for a retry.
func TestFingerprintDependsOnContentOnly(t *testing.T) {
	one := request.Request{ID: "1", Method: "POST", Host: "h", Target: "/a/b", Caller: "10.0.0.1", Body: []byte("x")}
	again := one
	again.ID = "2"
	if one.Fingerprint() != again.Fingerprint() {
		t.Error("fingerprint depends on the request id")
	}
	for name, change := range map[string]func(*request.Request){
		"method": func(r *request.Request) { r.Method = "PUT" },
		"host":   func(r *request.Request) { r.Host = "i" },
		"target": func(r *request.Request) { r.Target = "/a/c" },
		"body":   func(r *request.Request) { r.Body = []byte("y") },
		"border": func(r *request.Request) { r.Host, r.Target = "h/a", "/b" },
	} {
		other := one
		change(&other)
		if one.Fingerprint() == other.Fingerprint() {
			t.Errorf("fingerprint does not depend on the %s", name)
		}
	}
}
