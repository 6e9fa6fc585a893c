package operator

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"pistachioroad.dev/pistachioroad/internal/explain"
)

// Explanation lists the decisions of a process about a subject.
type Explanation struct {
	Process string           `json:"process"`
	Records []explain.Record `json:"records"`
}

type textOutput struct {
	ContentType string `header:"Content-Type"`
	Status      int
	Body        []byte
}

type dumpOutput struct{ Body Dump }

type explainInput struct {
	Subject string `query:"subject" doc:"A request id or the name of a backend server; empty: all"`
}

type explainOutput struct{ Body Explanation }

const plainText = "text/plain; charset=utf-8"

// registerProcess registers the operations that every process serves.
func (s *Server) registerProcess(api huma.API) {
	huma.Get(api, pathHealth, s.health, summary("Liveness; needs no token"))
	huma.Get(api, pathReady, s.ready, summary("Readiness; needs no token"))
	huma.Get(api, "/metrics", s.metrics, summary("Metrics in the Prometheus text format"))
	huma.Get(api, "/dump", s.dump, summary("State of each duty of this process"))
	huma.Get(api, "/explain", s.explain, summary("Decisions of this process"))
}

func summary(text string) func(*huma.Operation) {
	return func(o *huma.Operation) { o.Summary = text }
}

func (s *Server) health(context.Context, *struct{}) (*textOutput, error) {
	return &textOutput{ContentType: plainText, Status: http.StatusOK, Body: []byte("ok\n")}, nil
}

func (s *Server) ready(context.Context, *struct{}) (*textOutput, error) {
	if err := s.sources.Ready(); err != nil {
		body := []byte("not ready: " + err.Error() + "\n")
		return &textOutput{ContentType: plainText, Status: http.StatusServiceUnavailable, Body: body}, nil
	}
	return &textOutput{ContentType: plainText, Status: http.StatusOK, Body: []byte("ready\n")}, nil
}

func (s *Server) metrics(context.Context, *struct{}) (*textOutput, error) {
	var body bytes.Buffer
	writeMetrics(&body, s.sources.Metrics)
	return &textOutput{ContentType: metricsContentType, Status: http.StatusOK, Body: body.Bytes()}, nil
}

func (s *Server) dump(ctx context.Context, _ *struct{}) (*dumpOutput, error) {
	return &dumpOutput{Body: Dump{
		Process: s.sources.Process,
		At:      time.Now().UTC(),
		Duties:  s.dumper.states(ctx),
	}}, nil
}

func (s *Server) explain(_ context.Context, in *explainInput) (*explainOutput, error) {
	return &explainOutput{Body: s.explanation(in.Subject)}, nil
}

func (s *Server) explanation(subject string) Explanation {
	found := Explanation{Process: s.sources.Process, Records: []explain.Record{}}
	if s.sources.Explain != nil {
		found.Records = s.sources.Explain.RecordsFor(subject)
	}
	return found
}
