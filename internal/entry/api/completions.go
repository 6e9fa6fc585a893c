package api

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/callerbody"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// defaultMaxTokens is the output limit of a request that sets none.
const defaultMaxTokens = 256

// generationParams holds the parameters common to completions and chat
// completions.
type generationParams struct {
	model        string
	prompt       string
	maxTokens    int
	stream       bool
	includeUsage bool
	chat         bool
}

func (a *API) completion(w http.ResponseWriter, r *http.Request, id uuid.UUID) {
	body, err := a.readBody(w, r)
	defer body.Release()
	if err != nil {
		rejectRequest(w, id, err)
		return
	}
	parsed, err := a.completions.parse(body.Bytes)
	if err != nil {
		rejectRequest(w, id, err)
		return
	}
	a.generate(w, r, id, generationParams{
		model:        parsed.Model,
		prompt:       parsed.Prompt,
		maxTokens:    outputLimit(parsed.MaxTokens),
		stream:       parsed.Stream,
		includeUsage: parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage,
	})
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, id uuid.UUID) {
	body, err := a.readBody(w, r)
	defer body.Release()
	if err != nil {
		rejectRequest(w, id, err)
		return
	}
	parsed, err := a.chats.parse(body.Bytes)
	if err != nil {
		rejectRequest(w, id, err)
		return
	}
	a.generate(w, r, id, generationParams{
		model:        parsed.Model,
		prompt:       parsed.prompt(),
		maxTokens:    outputLimit(parsed.MaxCompletionTokens, parsed.MaxTokens),
		stream:       parsed.Stream,
		includeUsage: parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage,
		chat:         true,
	})
}

// outputLimit returns the first limit that is set, or else defaultMaxTokens.
func outputLimit(limits ...*int) int {
	for _, limit := range limits {
		if limit != nil {
			return *limit
		}
	}
	return defaultMaxTokens
}

// readBody reads the body of a request. The result is to be released when the request has ended,
// also after an error.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) (*callerbody.Body, *verdict.Error) {
	limits := a.settings.Limits
	body, err := readBody(w, r, a.bodies, limits.BodyBytes, limits.BodyTimeout, a.endReadAtShutdown)
	if err != nil && err.Code == verdict.CodeSlowBody && a.open.Ended(openRequest(r.Context())) {
		return body, shutdownRejection()
	}
	return body, err
}

func (a *API) generate(w http.ResponseWriter, r *http.Request, id uuid.UUID, g generationParams) {
	request, err := a.newGenerateRequest(r, id, g)
	if err != nil {
		rejectRequest(w, id, err)
		return
	}
	a.respond(w, r, request, g)
}

// newGenerateRequest validates the parameters and headers and returns the request
// to run. The model may be followed by the name of an adapter, as in
// "model:adapter".
func (a *API) newGenerateRequest(r *http.Request, id uuid.UUID, g generationParams) (*serve.Request, *verdict.Error) {
	model, adapter, _ := strings.Cut(g.model, ":")
	if !slices.Contains(a.settings.Models, model) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnknownModel, "no such model: "+model)
	}
	account, err := parseAccount(r)
	if err != nil {
		return nil, err
	}
	values := a.configValues(sharedstate.ServiceModels, model)
	timeout, err := parseTimeout(r.Header, deadlineOf(values), a.settings.Limits.MaxDeadline)
	if err != nil {
		return nil, err
	}
	class := ""
	if values.Class != nil {
		class = *values.Class
	}
	return &serve.Request{
		ID:         id,
		Caller:     account,
		Service:    sharedstate.ServiceModels,
		Deadline:   time.Now().Add(timeout),
		Class:      classOf(class),
		Idempotent: true,
		Generate: &wire.Generate{
			Model:        model,
			Adapter:      adapter,
			Prompt:       g.prompt,
			PromptTokens: uint32(estimateTokens(g.prompt)),
			MaxTokens:    uint32(g.maxTokens),
		},
	}, nil
}

// estimateTokens estimates the number of prompt tokens from the prompt's size.
func estimateTokens(prompt string) int {
	return (len(prompt) + route.BytesPerToken - 1) / route.BytesPerToken
}

func (a *API) respond(w http.ResponseWriter, r *http.Request, request *serve.Request, g generationParams) {
	responses := newResponseBuilder(request, g)
	if !g.stream {
		a.execute(w, r, request, &bufferedSink{
			w: w, responses: responses, id: request.ID.String(), writeTimeout: a.writeTimeout,
		})
		return
	}
	sink := &streamSink{
		w: w, responses: responses, id: request.ID.String(), includeUsage: g.includeUsage, writeTimeout: a.writeTimeout,
	}
	a.execute(w, r, request, sink)
	if sink.mustAbort {
		brokenStreams.Inc(1)
		// Aborting the connection shows the caller that the response is incomplete.
		// A normal return would end it like a complete one.
		panic(http.ErrAbortHandler)
	}
}

func (a *API) models(w http.ResponseWriter, _ *http.Request, _ uuid.UUID) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range a.settings.Models {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: "pistachioroad"})
	}
	w.Header().Set("Content-Type", jsonContentType)
	_ = json.NewEncoder(w).Encode(list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
