package api

import "time"

// SetWriteTimeout sets how long a caller may take to read.
func SetWriteTimeout(a *API, d time.Duration) { a.writeTimeout = d }

// ExpectedDuration returns how long requests of a route are expected to take at most.
func ExpectedDuration(a *API, route string) time.Duration { return a.durations.Long(route) }
