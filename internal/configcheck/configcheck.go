// Package configcheck checks the operators' configuration before it is sent and compares it
// with the version in force. It handles no load: it runs in the operators' tool only. It is
// pure code; the adapter of the platform decodes the document and passes the names of its
// fields.
package configcheck

import (
	"fmt"
	"slices"

	"pistachioroad.dev/pistachioroad/internal/accounts"
	"pistachioroad.dev/pistachioroad/internal/routes"
)

// Severity is the severity of a finding.
type Severity string

const (
	// Error is the severity of a document that gateways would reject, of an entry that can
	// serve nobody, and of a value that has no meaning.
	Error Severity = "error"
	// Warning is the severity of what gateways accept but is probably not intended.
	Warning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is a path in the document, such as routes[3].name.
	Place string `json:"place"`
	// Text says what was found and what was expected. It contains no API key.
	Text string `json:"text"`
}

// Document is a decoded configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Services []routes.Service
	// Accounts is nil if callers need no API key.
	Accounts []accounts.Account
	Limits   routes.Limits
	Names    Names
}

// Route is a route as it was written.
type Route struct {
	routes.Route
	// Type is the type as written. Kind is valid only if KnownType is set.
	Type      string
	KnownType bool
	// Attempts is the maximum number of attempts as written, 0 if absent.
	Attempts int
	// Split is set if the targets come from a list with weights.
	Split bool
	// Service is the service named beside that list.
	Service string
}

// Names are the names of the document's sections and fields.
type Names struct {
	Version, Routes, Services, Accounts, Limits string
	// Name is the field with the name of a route, service or account.
	Name                  string
	Route                 RouteNames
	HealthPath, MaxConns  string
	Engine                EngineNames
	Keys, AccountPriority string
	Limit                 LimitNames
}

// RouteNames are the names of a route's fields.
type RouteNames struct {
	Host, Prefix, Type, Timeout, Objective, InterEvent, Priority, Service, Split, Weight string
	Attempts, Model, Resumable, Keyless                                                  string
	// KnownTypes lists the known types.
	KnownTypes string
}

// EngineNames are the names of the fields that describe the engines of a service.
type EngineNames struct {
	Engine, Slots, KVTokens, KVTokenBytes, LinkMbps, HandleTTL, SwitchTime string
}

// LimitNames are the names of the limits' fields.
type LimitNames struct {
	HeaderBytes, BodyBytes, HeaderTimeout, IdleTimeout string
}

// Check returns what is wrong with d, in the order of the document's sections.
func Check(d Document) []Finding {
	c := &checker{doc: d, names: d.Names, services: make(map[string]routes.Service)}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	return c.findings
}

type checker struct {
	doc      Document
	names    Names
	services map[string]routes.Service
	findings []Finding
}

func (c *checker) add(severity Severity, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Place: place, Text: fmt.Sprintf(format, args...)})
}

// entry returns the place of entry i of a section.
func entry(section string, i int) string { return fmt.Sprintf("%s[%d]", section, i) }

// field returns the place of a field of an entry.
func field(place, name string) string { return place + "." + name }

// checkNames reports entries without a name and those with the name of an earlier one.
func (c *checker) checkNames(severity Severity, section string, names []string) {
	for i, name := range names {
		place := field(entry(section, i), c.names.Name)
		first := slices.Index(names, name)
		switch {
		case name == "":
			c.add(severity, place, "is missing or empty, expected a name")
		case first < i:
			c.add(severity, place, "is %q like %s, expected a name of its own", name, entry(section, first))
		}
	}
}

// used reports whether a route leads to the service.
func (d Document) used(service string) bool {
	return slices.ContainsFunc(d.Routes, func(r Route) bool { return r.leadsTo(service) })
}

func (r Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t routes.Target) bool { return t.Service == service })
}
