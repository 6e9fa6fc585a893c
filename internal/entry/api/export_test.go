package api

import "time"

// SetWriteTimeout sets how long a caller may take to read.
func SetWriteTimeout(a *API, d time.Duration) { a.writeTimeout = d }
