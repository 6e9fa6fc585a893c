package callerconn

import "net/http"

// Writer tells the caller not to reuse its connection if the process is shutting down when
// the head of the response is sent.
type Writer struct {
	http.ResponseWriter
	// Closing reports whether the process is shutting down.
	Closing func() bool
	// OnHead, if set, is called when the head of the response is sent.
	OnHead func()

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
	if !w.headSent && status >= http.StatusOK {
		w.headSent = true
		if w.OnHead != nil {
			w.OnHead()
		}
	}
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.headSent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
