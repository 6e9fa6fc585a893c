package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// setWriteDeadline limits how long the caller may take to read the next write.
func setWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// bufferedSink buffers the text and writes the response once it is complete.
type bufferedSink struct {
	w         http.ResponseWriter
	responses responseBuilder
	id        string
	text      strings.Builder

	writeTimeout time.Duration
}

// Deliver implements serve.Sink.
func (s *bufferedSink) Deliver(data []byte, _ uint32) error {
	s.text.Write(data)
	return nil
}

// Finish implements serve.Sink.
func (s *bufferedSink) Finish(f call.Finish) {
	s.w.Header().Set("Content-Type", jsonContentType)
	s.w.Header().Set(verdict.Header, verdict.Ran.String())
	setWriteDeadline(s.w, s.writeTimeout)
	_ = json.NewEncoder(s.w).Encode(s.responses.fullResponse(s.text.String(), f))
}

// Fail implements serve.Sink.
func (s *bufferedSink) Fail(err *verdict.Error) { writeError(s.w, s.id, err) }

// streamSink sends each chunk of the answer as a server-sent event.
type streamSink struct {
	w            http.ResponseWriter
	responses    responseBuilder
	id           string
	includeUsage bool

	writeTimeout time.Duration

	headersSent bool
	// mustAbort reports that the answer is incomplete and the connection has to be
	// aborted.
	mustAbort bool
}

// Deliver implements serve.Sink.
func (s *streamSink) Deliver(data []byte, _ uint32) error {
	first := !s.headersSent
	s.sendHeaders()
	return s.sendEvent("", s.responses.chunk(string(data), first, nil))
}

// sendHeaders sends the headers before the first event. Until then a failed
// request can still get an error status.
func (s *streamSink) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// sendEvent encodes body and writes it as one event.
func (s *streamSink) sendEvent(event string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	return s.writeEvent(event, data)
}

// writeEvent writes and flushes one event.
func (s *streamSink) writeEvent(event string, data []byte) error {
	buffer := make([]byte, 0, len(event)+len(data)+len("event: \ndata: \n\n"))
	if event != "" {
		buffer = append(buffer, "event: "+event+"\n"...)
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, "\n\n"...)
	setWriteDeadline(s.w, s.writeTimeout)
	if _, err := s.w.Write(buffer); err != nil {
		s.mustAbort = true
		return eris.Wrap(err, "write event")
	}
	return eris.Wrap(http.NewResponseController(s.w).Flush(), "flush event")
}

// Finish implements serve.Sink.
func (s *streamSink) Finish(f call.Finish) {
	first := !s.headersSent
	s.sendHeaders()
	reason := f.Final.GetFinishReason()
	if s.sendEvent("", s.responses.chunk("", first, &reason)) != nil {
		return
	}
	if s.includeUsage && s.sendEvent("", s.responses.usageChunk(f)) != nil {
		return
	}
	_ = s.writeEvent("", []byte("[DONE]"))
}

// Fail implements serve.Sink. If the headers have been sent, it sends an error
// event and has the connection aborted: a caller that ignores the event still
// detects that the answer is incomplete.
func (s *streamSink) Fail(err *verdict.Error) {
	if !s.headersSent {
		writeError(s.w, s.id, err)
		return
	}
	s.mustAbort = true
	_ = s.sendEvent("error", newErrorBody(s.id, err))
}
