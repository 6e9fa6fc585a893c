// Package modelengine is a small stand-in for a model engine: batched streams
// with priorities, cancel and resume, a prefix cache with delayed events, load
// reports that lag, KV export and import, and orders that take time.
//
// It records violations, on which tests fail: overlapping or stale orders,
// requests interrupted by an order, concurrent runs of one request, and requests
// resumed with another request's text.
package modelengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/pause"
)

// Config is the configuration of the stand-in.
type Config struct {
	// Address is the engine's own address, the source of its KV tickets.
	Address string
	// Order is the order that is applied at the start.
	Order engine.Order
	// ChecksFencingToken makes the engine reject orders with a generation below
	// the highest one accepted.
	ChecksFencingToken bool
	// Slots is the maximum batch size, Queue the maximum number of waiting
	// requests.
	Slots int
	Queue int
	// KVBlocks is the capacity of the prefix cache.
	KVBlocks int
	// PrefillRate is in prompt tokens per second; prompts are prefilled one at a
	// time.
	PrefillRate float64
	// TokenInterval is the inter-token latency of a stream alone in the batch.
	// Each further stream adds the fraction BatchSlowdown of it.
	TokenInterval time.Duration
	BatchSlowdown float64
	// ChangeTime is the time from the acceptance of an order until it is applied.
	ChangeTime time.Duration
	// LoadLag is the minimum time between two load samples, EventLag the delay
	// of cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// EventLossRate is the fraction of cache events that are lost.
	EventLossRate float64
	Seed          uint64
}

// DefaultConfig returns the configuration of a small, fast engine.
func DefaultConfig(address string) Config {
	return Config{
		Address:            address,
		Order:              engine.Order{Role: engine.RoleMixed, Model: "draft", Weights: "1"},
		ChecksFencingToken: true,
		Slots:              16,
		Queue:              64,
		KVBlocks:           400,
		PrefillRate:        40_000,
		TokenInterval:      2 * time.Millisecond,
		BatchSlowdown:      0.02,
		ChangeTime:         time.Second,
		LoadLag:            200 * time.Millisecond,
		EventLag:           300 * time.Millisecond,
		EventLossRate:      0.05,
		Seed:               1,
	}
}

// Record is the response of GET /standin/record.
type Record struct {
	Orders     []engine.Order `json:"orders"`
	Violations []string       `json:"violations"`
	// Runs counts how often each request id was accepted.
	Runs      map[string]int `json:"runs"`
	Cancelled int            `json:"cancelled"`
	Imports   int            `json:"imports"`
	Exports   int            `json:"exports"`
}

// Server is the stand-in.
type Server struct {
	config Config
	slots  *slots
	// prefill is held by the request whose prompt is being prefilled.
	prefill sync.Mutex

	mu                sync.Mutex
	state             engine.State
	highestGeneration uint64
	cache             *cache
	running           map[string]*generation
	exported          map[string][]uint64
	record            Record
	// latestLoad was sampled at sampledAt. reportedLoad is the sample before it.
	latestLoad   engine.Load
	sampledAt    time.Time
	reportedLoad engine.Load
}

// generation is a request that is queued or running.
type generation struct {
	cancel                  context.CancelFunc
	remainingTokens         int
	unprocessedPromptTokens int
}

// New returns an engine that is ready.
func New(c Config) *Server {
	return &Server{
		config:            c,
		slots:             newSlots(c.Slots, c.Queue),
		state:             engine.State{Incarnation: uuid.NewString(), Applied: c.Order, Ready: true},
		highestGeneration: c.Order.Generation,
		cache:             newCache(c),
		running:           map[string]*generation{},
		exported:          map[string][]uint64{},
		record:            Record{Runs: map[string]int{}, Violations: []string{}},
	}
}

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", s.generate)
	mux.HandleFunc("POST /cancel", s.cancel)
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET /state", s.getState)
	mux.HandleFunc("GET /load", s.getLoad)
	mux.HandleFunc("GET /events", s.getEvents)
	mux.HandleFunc("GET /kv/{id}", s.exportKV)
	mux.HandleFunc("GET /standin/record", s.getRecord)
	return mux
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	reservation, err := s.admit(req, cancel)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}

	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := stream{encoder: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	_ = out.flush()
	if err := s.slots.wait(ctx, reservation); err != nil {
		s.removeRunning(req.ID)
		out.fail(err)
		return
	}
	finish, err := s.run(ctx, req, out)
	// The request is removed before its last line is sent, so that an order sent
	// immediately after the answer finds nothing running.
	s.removeRunning(req.ID)
	s.slots.release()
	if err != nil {
		out.fail(err)
		return
	}
	out.send(line{Finish: &finish})
}

// admit queues the request or returns the reason for its rejection.
func (s *Server) admit(req engine.Request, cancel context.CancelFunc) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.Ready || s.state.Changing {
		return nil, fmt.Errorf("engine is changing")
	}
	if req.Model != s.state.Applied.Model {
		return nil, fmt.Errorf("engine serves %q", s.state.Applied.Model)
	}
	if s.running[req.ID] != nil {
		s.recordViolation("request %s runs twice concurrently", req.ID)
		return nil, fmt.Errorf("request runs already")
	}
	if req.ResumeText != Answer(req.Prompt, req.ResumeFrom) {
		s.recordViolation("request %s resumed with the text of another answer", req.ID)
	}
	reservation, ok := s.slots.reserve(req.Priority)
	if !ok {
		return nil, fmt.Errorf("queue is full")
	}
	s.record.Runs[req.ID]++
	s.running[req.ID] = &generation{
		cancel:                  cancel,
		remainingTokens:         req.MaxTokens - req.ResumeFrom,
		unprocessedPromptTokens: promptTokens(req.Prompt),
	}
	return reservation, nil
}

func (s *Server) removeRunning(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}

// run prefills the prompt and, unless the request is prefill-only, decodes the
// answer.
func (s *Server) run(ctx context.Context, req engine.Request, out stream) (engine.Finish, error) {
	blocks := route.PrefixBlocks(req.Prompt)
	imported := s.importKV(ctx, req.KV)
	cached, err := s.doPrefill(ctx, req, blocks, imported)
	if err != nil {
		return engine.Finish{}, err
	}
	finish := engine.Finish{
		Reason:       "length",
		PromptTokens: promptTokens(req.Prompt),
		CachedTokens: cached,
		OutputTokens: req.MaxTokens,
	}
	if req.PrefillOnly {
		finish.OutputTokens = 0
		finish.KV = s.export(blocks, finish.PromptTokens)
		return finish, nil
	}
	return finish, s.decode(ctx, req, out)
}

// doPrefill sleeps for the prefill time of the prompt tokens that are neither cached
// nor imported, caches the prompt and returns the number of the other tokens.
func (s *Server) doPrefill(ctx context.Context, req engine.Request, blocks []uint64, imported bool) (int, error) {
	s.prefill.Lock()
	defer s.prefill.Unlock()
	s.mu.Lock()
	total := promptTokens(req.Prompt)
	cached := min(total, s.cache.cachedPrefix(blocks)*engine.KVBlockTokens)
	s.mu.Unlock()
	if imported {
		cached = total
	}
	seconds := float64(total-cached) / s.config.PrefillRate
	if !pause.Sleep(ctx, time.Duration(seconds*float64(time.Second))) {
		return 0, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.store(time.Now(), blocks)
	return cached, nil
}

func (s *Server) decode(ctx context.Context, req engine.Request, out stream) error {
	text := Answer(req.Prompt, req.MaxTokens)
	width := len(text) / max(1, req.MaxTokens)
	for i := req.ResumeFrom; i < req.MaxTokens; i++ {
		if !pause.Sleep(ctx, s.tokenInterval()) {
			return ctx.Err()
		}
		out.send(line{Chunk: &engine.Chunk{Text: text[i*width : (i+1)*width], Tokens: 1}})
		s.mu.Lock()
		if g := s.running[req.ID]; g != nil {
			g.remainingTokens--
			g.unprocessedPromptTokens = 0
		}
		s.mu.Unlock()
	}
	return nil
}

func (s *Server) tokenInterval() time.Duration {
	running, _ := s.slots.counts()
	slowdown := 1 + s.config.BatchSlowdown*float64(max(0, running-1))
	return time.Duration(float64(s.config.TokenInterval) * slowdown)
}

// export makes the KV cache of a prompt available under a new ticket.
func (s *Server) export(blocks []uint64, tokens int) *engine.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uuid.NewString()
	s.exported[id] = blocks
	s.record.Exports++
	return &engine.Ticket{ID: id, Source: s.config.Address, Tokens: tokens}
}

// importKV fetches the KV cache of a ticket from the engine that exported it, and
// reports whether it succeeded. Each export can be fetched once.
func (s *Server) importKV(ctx context.Context, ticket *engine.Ticket) bool {
	if ticket == nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ticket.Source+"/kv/"+ticket.ID, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Imports++
	return true
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	_, ok := s.exported[r.PathValue("id")]
	delete(s.exported, r.PathValue("id"))
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(make([]byte, 1<<10))
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.running[body.ID]; g != nil {
		s.record.Cancelled++
		g.cancel()
	}
}

// order accepts an order and applies it in the background.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Generation < s.highestGeneration {
		if s.config.ChecksFencingToken {
			http.Error(w, "a newer order was taken", http.StatusConflict)
			return
		}
		s.recordViolation("order %d accepted after %d", o.Generation, s.highestGeneration)
	}
	if o.Generation == s.highestGeneration && s.config.ChecksFencingToken && len(s.record.Orders) > 0 {
		// A repeated order has no further effect.
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if s.state.Changing {
		s.recordViolation("order %d overlaps another", o.Generation)
	}
	for id, g := range s.running {
		s.recordViolation("order %d interrupted request %s", o.Generation, id)
		g.cancel()
	}
	s.record.Orders = append(s.record.Orders, o)
	s.highestGeneration = max(s.highestGeneration, o.Generation)
	s.state.Changing, s.state.Ready = true, false
	time.AfterFunc(s.config.ChangeTime, func() { s.finishOrder(o) })
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) finishOrder(o engine.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.clear(time.Now())
	s.state.Applied = o
	s.state.Changing, s.state.Ready = false, true
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	writeJSON(w, state)
}

// getLoad returns the last but one load sample. It takes a new sample if the last
// one is at least LoadLag old.
func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.sampledAt) >= s.config.LoadLag {
		s.reportedLoad, s.latestLoad, s.sampledAt = s.latestLoad, s.sample(), now
	}
	writeJSON(w, s.reportedLoad)
}

func (s *Server) sample() engine.Load {
	running, queued := s.slots.counts()
	load := engine.Load{
		Running:      running,
		Queued:       queued,
		Slots:        s.config.Slots,
		KVBlocksUsed: s.cache.recency.Len(),
		KVBlocks:     s.config.KVBlocks,
		PrefillRate:  s.config.PrefillRate,
		DecodeRate:   s.maxDecodeRate(),
	}
	for _, g := range s.running {
		load.QueuedTokens += g.unprocessedPromptTokens
		load.RunningTokens += g.remainingTokens
	}
	return load
}

// maxDecodeRate returns the decode rate of a full batch in tokens per second.
func (s *Server) maxDecodeRate() float64 {
	slots := float64(s.config.Slots)
	perStream := float64(time.Second) / float64(s.config.TokenInterval)
	return slots * perStream / (1 + s.config.BatchSlowdown*(slots-1))
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
	s.mu.Lock()
	events := s.cache.eventsAfter(time.Now(), after)
	s.mu.Unlock()
	writeJSON(w, events)
}

func (s *Server) getRecord(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.record)
}

// recordViolation records a violation. The caller holds mu.
func (s *Server) recordViolation(format string, args ...any) {
	s.record.Violations = append(s.record.Violations, fmt.Sprintf(format, args...))
}

// Violations returns the recorded violations.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.record.Violations)
}

// line is one line of a streamed answer.
type line struct {
	Chunk  *engine.Chunk  `json:"piece,omitempty"`
	Finish *engine.Finish `json:"finish,omitempty"`
	Error  string         `json:"error,omitempty"`
}

type stream struct {
	encoder *json.Encoder
	flush   func() error
}

func (s stream) send(l line) {
	_ = s.encoder.Encode(l)
	_ = s.flush()
}

func (s stream) fail(err error) { s.send(line{Error: err.Error()}) }

func promptTokens(prompt string) int {
	return (len(prompt) + route.BytesPerToken - 1) / route.BytesPerToken
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
