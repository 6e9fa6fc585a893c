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

// limitWrite gives the caller a limited time to read what is written next.
func limitWrite(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// plainSink answers once the text is whole.
type plainSink struct {
	w     http.ResponseWriter
	shape shape
	id    string
	text  strings.Builder

	writeTimeout time.Duration
}

// Deliver implements serve.Sink.
func (s *plainSink) Deliver(data []byte, _ uint32) error {
	s.text.Write(data)
	return nil
}

// Finish implements serve.Sink.
func (s *plainSink) Finish(f call.Finish) {
	s.w.Header().Set("Content-Type", jsonType)
	s.w.Header().Set(verdict.Header, verdict.Ran.String())
	limitWrite(s.w, s.writeTimeout)
	_ = json.NewEncoder(s.w).Encode(s.shape.whole(s.text.String(), f))
}

// Fail implements serve.Sink.
func (s *plainSink) Fail(err *verdict.Error) { writeError(s.w, s.id, err) }

// streamSink sends each piece as a server-sent event.
type streamSink struct {
	w     http.ResponseWriter
	shape shape
	id    string
	usage bool

	writeTimeout time.Duration

	begun bool
	// broken says that the transfer must be aborted.
	broken bool
}

// Deliver implements serve.Sink.
func (s *streamSink) Deliver(data []byte, _ uint32) error {
	first := !s.begun
	s.begin()
	return s.send("", s.shape.piece(string(data), first, nil))
}

// begin sends the headers. They wait for the first piece, so that a request
// that is refused before gets a status of its own.
func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// send writes one event at once.
func (s *streamSink) send(event string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	return s.write(event, data)
}

func (s *streamSink) write(event string, data []byte) error {
	buffer := make([]byte, 0, len(event)+len(data)+len("event: \ndata: \n\n"))
	if event != "" {
		buffer = append(buffer, "event: "+event+"\n"...)
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, "\n\n"...)
	limitWrite(s.w, s.writeTimeout)
	if _, err := s.w.Write(buffer); err != nil {
		s.broken = true
		return eris.Wrap(err, "write event")
	}
	return eris.Wrap(http.NewResponseController(s.w).Flush(), "flush event")
}

// Finish implements serve.Sink.
func (s *streamSink) Finish(f call.Finish) {
	first := !s.begun
	s.begin()
	reason := f.Final.GetFinishReason()
	if s.send("", s.shape.piece("", first, &reason)) != nil {
		return
	}
	if s.usage && s.send("", s.shape.usageOnly(f)) != nil {
		return
	}
	_ = s.write("", []byte("[DONE]"))
}

// Fail implements serve.Sink. A stream that has begun ends with an error event
// and an aborted transfer: a caller that ignores the event still sees that the
// answer is not whole.
func (s *streamSink) Fail(err *verdict.Error) {
	if !s.begun {
		writeError(s.w, s.id, err)
		return
	}
	s.broken = true
	_ = s.send("error", bodyOf(s.id, err))
}
