package callerconn

import "net/http"

// Writer tells the caller not to reuse its connection if the process is shutting down when
// the head of the response is sent.
type Writer struct {
	http.ResponseWriter
	// Closing reports whether the process is shutting down.
	Closing func() bool

	headSent bool
}

// HeadSent reports whether the head of the response has been sent.
func (w *Writer) HeadSent() bool { return w.headSent }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if w.Closing() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
	w.headSent = true
}

// Unwrap returns the writer for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
