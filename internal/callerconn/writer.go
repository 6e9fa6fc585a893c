package callerconn

import (
	"net/http"
	"time"

	"github.com/apex/log"
)

const (
	// rejectedBodyTimeout is how long the rest of a rejected body may take to come, so that its
	// connection can be used again, and keptBody the largest body for which that is tried.
	rejectedBodyTimeout = time.Second
	keptBody            = 64 << 10
)

// Writer tells the caller not to reuse its connection if the process is shutting down when
// the head of the response is sent. It also limits what is read of the body of a request that is
// answered before its body has been read.
type Writer struct {
	http.ResponseWriter
	// Closing reports whether the process is shutting down.
	Closing func() bool
	// OnHead, if set, is called when the head of the response is sent.
	OnHead func()
	// Request is the request that is answered. Without it, its body is not limited.
	Request *http.Request

	bodyRead bool

	headSent bool
}

// HeadSent reports whether the head of the response has been sent.
func (w *Writer) HeadSent() bool { return w.headSent }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if w.Closing() {
		w.Header().Set("Connection", "close")
	}
	if r := w.Request; r != nil && r.ContentLength != 0 && !w.bodyRead && !w.headSent && status >= http.StatusOK {
		w.rejectBody()
	}
	w.ResponseWriter.WriteHeader(status)
	if !w.headSent && status >= http.StatusOK {
		w.headSent = true
		if w.OnHead != nil {
			w.OnHead()
		}
	}
}

// BodyRead records that the whole body of the request has been read.
func (w *Writer) BodyRead() { w.bodyRead = true }

// rejectBody limits what net/http reads of the body of a request that is answered before it has
// been read. Of a short body net/http awaits the rest before it sends the response, so that the
// connection can be used again; after a long one it sends the response at once and closes the
// connection.
func (w *Writer) rejectBody() {
	RejectBody(w.Request.Context())
	if w.Request.ContentLength > keptBody {
		w.Header().Set("Connection", "close")
	}
	if err := http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(rejectedBodyTimeout)); err != nil {
		log.WithField("error", err.Error()).Debug("the read of a rejected body is not limited")
		w.Header().Set("Connection", "close")
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
