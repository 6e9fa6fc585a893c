package api

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// defaultMaxTokens is the output limit of a request that names none.
const defaultMaxTokens = 256

// generation is what the two kinds of completion have in common.
type generation struct {
	model     string
	prompt    string
	maxTokens int
	stream    bool
	usage     bool
	chat      bool
}

func (a *API) completion(w http.ResponseWriter, r *http.Request, id uuid.UUID) {
	body, err := a.readBody(w, r)
	if err != nil {
		refuse(w, id, err)
		return
	}
	parsed, err := a.completions.parse(body)
	if err != nil {
		refuse(w, id, err)
		return
	}
	a.generate(w, r, id, generation{
		model:     parsed.Model,
		prompt:    parsed.Prompt,
		maxTokens: limitOf(parsed.MaxTokens),
		stream:    parsed.Stream,
		usage:     parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage,
	})
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, id uuid.UUID) {
	body, err := a.readBody(w, r)
	if err != nil {
		refuse(w, id, err)
		return
	}
	parsed, err := a.chats.parse(body)
	if err != nil {
		refuse(w, id, err)
		return
	}
	a.generate(w, r, id, generation{
		model:     parsed.Model,
		prompt:    parsed.prompt(),
		maxTokens: limitOf(parsed.MaxCompletionTokens, parsed.MaxTokens),
		stream:    parsed.Stream,
		usage:     parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage,
		chat:      true,
	})
}

// limitOf returns the first limit that is set.
func limitOf(limits ...*int) int {
	for _, limit := range limits {
		if limit != nil {
			return *limit
		}
	}
	return defaultMaxTokens
}

func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	limits := a.settings.Limits
	return readBody(w, r, limits.BodyBytes, limits.BodyTimeout)
}

func (a *API) generate(w http.ResponseWriter, r *http.Request, id uuid.UUID, g generation) {
	request, err := a.generateRequest(r, id, g)
	if err != nil {
		refuse(w, id, err)
		return
	}
	a.answer(w, r, request, g)
}

// generateRequest builds the request. The name of a model may be followed by
// that of an adapter, as in model:adapter.
func (a *API) generateRequest(r *http.Request, id uuid.UUID, g generation) (*serve.Request, *verdict.Error) {
	model, adapter, _ := strings.Cut(g.model, ":")
	if !slices.Contains(a.settings.Models, model) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnknownModel, "no such model: "+model)
	}
	account, err := parseAccount(r)
	if err != nil {
		return nil, err
	}
	values := a.values(sharedstate.ServiceModels, model)
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
			PromptTokens: uint32(promptTokens(g.prompt)),
			MaxTokens:    uint32(g.maxTokens),
		},
	}, nil
}

func promptTokens(prompt string) int {
	return (len(prompt) + route.BytesPerToken - 1) / route.BytesPerToken
}

func (a *API) answer(w http.ResponseWriter, r *http.Request, request *serve.Request, g generation) {
	shape := newShape(request, g)
	if !g.stream {
		a.doer.Do(r.Context(), request, &plainSink{
			w: w, shape: shape, id: request.ID.String(), writeTimeout: a.writeTimeout,
		})
		return
	}
	sink := &streamSink{
		w: w, shape: shape, id: request.ID.String(), usage: g.usage, writeTimeout: a.writeTimeout,
	}
	a.doer.Do(r.Context(), request, sink)
	if sink.broken {
		brokenStreams.Inc(1)
		// Without the abort the transfer would end like a whole one.
		panic(http.ErrAbortHandler)
	}
}

func (a *API) models(w http.ResponseWriter, _ *http.Request, _ uuid.UUID) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range a.settings.Models {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: "pistachioroad"})
	}
	w.Header().Set("Content-Type", jsonType)
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
