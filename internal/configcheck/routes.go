package configcheck

import (
	"strings"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/routes"
)

func (c *checker) checkRoutes() {
	all := c.doc.Routes
	if len(all) == 0 {
		c.add(Error, c.names.Routes, "has no entry, expected at least one route: no request would be served")
	}
	// Names of routes are used in logs and metrics only.
	c.checkNames(Warning, c.names.Routes, lo.Map(all, func(r Route, _ int) string { return r.Name }))
	first := make(map[[2]string]int)
	for i, r := range all {
		place := entry(c.names.Routes, i)
		c.checkMatch(place, r)
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		if earlier, ok := first[key]; ok {
			c.add(Error, place, "can never match: %s has the same host %q and prefix %q", entry(c.names.Routes, earlier), r.Host, r.Prefix)
		} else {
			first[key] = i
		}
		c.checkTargets(place, r)
		c.checkTimes(place, r)
		c.checkRepetition(place, r)
	}
}

// checkMatch checks the host and the prefix, which are compared with a request's literally.
func (c *checker) checkMatch(place string, r Route) {
	n := c.names.Route
	switch host := field(place, n.Host); {
	case r.Host == "":
		c.add(Error, host, "is missing or empty, expected a host name: requests have one")
	case strings.ContainsAny(r.Host, " \t/*@"):
		c.add(Error, host, "is %q, which can never match, expected one host name without scheme, path or wildcard", r.Host)
	}
	switch prefix := field(place, n.Prefix); {
	case r.Prefix == "":
		c.add(Warning, prefix, "is missing or empty and matches every path, expected / for that")
	case !strings.HasPrefix(r.Prefix, "/"):
		c.add(Error, prefix, "is %q, which can never match, expected a slash at the beginning and the end", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(Error, prefix, "is %q, which also matches %sx, expected a slash at the beginning and the end", r.Prefix, r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# "):
		c.add(Error, prefix, "is %q, which can never match, expected a path without query, fragment or space", r.Prefix)
	}
}

func (c *checker) checkTargets(place string, r Route) {
	n, total := c.names.Route, 0
	for i, t := range r.Targets {
		target := place
		if r.Split {
			target = entry(field(place, n.Split), i)
			if t.Weight < 0 {
				c.add(Error, field(target, n.Weight), "is negative, expected 0 or more")
			}
			total += max(0, t.Weight)
		}
		c.checkTarget(field(target, n.Service), r, t.Service)
	}
	if !r.Split {
		return
	}
	if total == 0 {
		c.add(Error, field(place, n.Split), "has weights that add up to 0, expected at least one of 0.001 or more")
	}
	if r.Service != "" {
		c.add(Warning, field(place, n.Service), "is %q, which %s replaces, expected only one of them", r.Service, n.Split)
	}
}

func (c *checker) checkTarget(place string, r Route, name string) {
	service, known := c.services[name]
	switch {
	case name == "":
		c.add(Error, place, "is missing or empty, expected the name of a service")
	case !known:
		c.add(Error, place, "is %q, expected a service of %s", name, c.names.Services)
	case r.Model && service.Engine == nil:
		c.add(Error, place, "is %q, which has no engines, expected a service with %s, as %s is set",
			name, c.names.Engine.Engine, c.names.Route.Model)
	}
}

func (c *checker) checkTimes(place string, r Route) {
	n := c.names.Route
	timeout, objective, interEvent := field(place, n.Timeout), field(place, n.Objective), field(place, n.InterEvent)
	switch {
	case r.Timeout < 0:
		c.add(Error, timeout, "is %v, expected more than 0", r.Timeout)
	case r.Timeout == 0:
		c.add(Warning, timeout, "is missing or 0, which sets no limit, expected more than 0")
	case r.LatencyObjective > r.Timeout:
		c.add(Warning, objective, "is %v, expected at most the time-out of the route, %v", r.LatencyObjective, r.Timeout)
	case r.InterEventObjective > 0 && r.LatencyObjective+r.InterEventObjective > r.Timeout:
		c.add(Warning, interEvent, "is %v, which leaves no time for a second event: expected at most %v, the time-out %v less the latency objective %v",
			r.InterEventObjective, r.Timeout-r.LatencyObjective, r.Timeout, r.LatencyObjective)
	}
	switch {
	case r.LatencyObjective < 0:
		c.add(Error, objective, "is %v, expected more than 0", r.LatencyObjective)
	case r.LatencyObjective == 0:
		c.add(Warning, objective, "is missing or 0, expected more than 0: every answer would be late")
	}
	switch {
	case r.InterEventObjective < 0:
		c.add(Error, interEvent, "is %v, expected 0 or more", r.InterEventObjective)
	case r.InterEventObjective > 0 && r.KnownType && r.Kind != routes.Stream:
		c.add(Warning, interEvent, "is %v, which has no effect: the route is no stream", r.InterEventObjective)
	}
}

func (c *checker) checkRepetition(place string, r Route) {
	n := c.names.Route
	if !r.KnownType {
		c.add(Error, field(place, n.Type), "is %q, expected %s", r.Type, n.KnownTypes)
	}
	attempts := field(place, n.Attempts)
	switch {
	case r.Attempts < 0:
		c.add(Error, attempts, "is %d, expected 1 or more", r.Attempts)
	case r.Attempts > 1 && r.KnownType && !r.Repeatable():
		c.add(Warning, attempts, "is %d, expected 1: requests of this type run at most once", r.Attempts)
	}
	if r.Resumable && r.KnownType && r.Kind != routes.Stream {
		c.add(Warning, field(place, n.Resumable), "is set, which has no effect: the route is no stream")
	}
}
