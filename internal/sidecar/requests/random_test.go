package requests_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/seeded"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(seeded.Run(m, seeded.RapidOptions{Checks: 2000, Steps: 100}))
}

// TestRandomFaults combines duplicated, late and reordered frames, paused
// processes, failing links and engines, cancellations and Resolves at random.
// Guards callers against a call that runs after it was reported as not run, a call
// that runs twice, a truncated answer passed on as complete, and no reply at all.
func TestRandomFaults(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, seen)
		rt.Repeat(map[string]func(*rapid.T){
			"":              w.check,
			"send":          w.send,
			"deliver":       w.deliver,
			"resolve":       w.resolve,
			"cancel":        w.cancel,
			"lose link":     w.loseLink,
			"piece":         w.chunk,
			"end":           w.end,
			"answer claim":  w.answerClaim,
			"pass time":     w.passTime,
			"pause":         w.pause,
			"admission":     w.admission,
			"recover":       w.recoverTable,
			"report engine": w.reportEngine,
		})
		w.quiesce()
	})
	for _, kind := range []string{
		"duplicate", "late frame", "pause", "recover", "resolution NOT_RUN", "resolution RAN",
		"resolution RUNNING", "resolution MAY_HAVE_RUN", "refusal NOT_RUN", "refusal MAY_HAVE_RUN",
		"whole answer", "attached", "replayed", "claim granted", "claim not granted", "engine failure", "stopped",
	} {
		if seen[kind] == 0 {
			t.Errorf("no run had: %s", kind)
		}
	}
	t.Logf("%v", seen)
}

// world simulates the environment of one table, with a reference model of what
// ran.
type world struct {
	t     *rapid.T
	seen  map[string]int
	table *requests.Table
	now   time.Time

	requests []*request
	frames   []*frame
	streams  map[requests.Stream]*stream
	next     requests.Stream
	runs     map[requests.RunID]*run
	claims   map[requests.ClaimID]*request
	slots    int
}

// request is one request from its entry's view, with the reference outcome.
type request struct {
	id       uuid.UUID
	kind     string
	deadline time.Time
	attempts uint32
	// started holds the attempts that ran, refused those reported as "not run".
	started map[uint32]bool
	refused map[uint32]bool
	runs    int
	granted map[requests.ClaimID]bool
}

type frame struct {
	request *request
	start   *wire.Start
	sent    time.Time
	copies  int
}

// stream records what was sent on one stream.
type stream struct {
	request *request
	attempt uint32
	from    int
	text    strings.Builder
	digest  *wire.Digest
	last    bool
	closed  bool
}

type run struct {
	request   *request
	start     *wire.Start
	position  int
	cancelled bool
}

func newWorld(t *rapid.T, seen map[string]int) *world {
	w := &world{
		t:       t,
		seen:    seen,
		now:     time.Unix(1_000_000, 0),
		streams: map[requests.Stream]*stream{},
		runs:    map[requests.RunID]*run{},
		claims:  map[requests.ClaimID]*request{},
		slots:   rapid.IntRange(1, 3).Draw(t, "slots"),
	}
	w.table = requests.New(requests.Config{
		Slots:          w.slots,
		QueueLength:    rapid.IntRange(1, 4).Draw(t, "queue"),
		MaxAnswerBytes: rapid.IntRange(200, 3000).Draw(t, "result bytes"),
		ResumeWait:     3 * time.Second,
		MaxRecords:     rapid.IntRange(2, 20).Draw(t, "records"),
		ModelEngine:    true,
	}, rand.New(rand.NewPCG(1, 2)))
	w.step(requests.Admit{})
	return w
}

// send puts a Start in transit: a new request or a further attempt.
func (w *world) send(t *rapid.T) {
	r := w.pickRequest(t)
	remaining := r.deadline.Sub(w.now)
	if remaining <= 0 {
		t.Skip("deadline has passed")
	}
	r.attempts++
	start := r.frame(r.attempts, remaining)
	if g := start.GetGenerate(); g != nil && r.attempts > 1 {
		g.ResumeFrom = uint32(rapid.IntRange(0, 3).Draw(t, "resume from"))
	}
	w.frames = append(w.frames, &frame{request: r, start: start, sent: w.now})
}

func (w *world) pickRequest(t *rapid.T) *request {
	if len(w.requests) > 0 && rapid.Bool().Draw(t, "further attempt") {
		return rapid.SampledFrom(w.requests).Draw(t, "request")
	}
	r := &request{
		id:       uuid.UUID{byte(len(w.requests) >> 8), byte(len(w.requests)), 1},
		kind:     rapid.SampledFrom([]string{"draft", "call", "keyed", "lookup"}).Draw(t, "kind"),
		deadline: w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "budget")) * time.Second),
		started:  map[uint32]bool{},
		refused:  map[uint32]bool{},
		granted:  map[requests.ClaimID]bool{},
	}
	w.requests = append(w.requests, r)
	return r
}

func (r *request) idempotent() bool { return r.kind == "draft" || r.kind == "lookup" }

func (r *request) frame(attempt uint32, remaining time.Duration) *wire.Start {
	s := call(r.id)
	switch r.kind {
	case "draft":
		s = generation(r.id)
	case "keyed":
		s = keyedCall(r.id)
	case "lookup":
		s.Idempotent = true
	}
	s.Attempt = attempt
	s.BudgetUs = remaining.Microseconds()
	return s
}

// deliver delivers a frame in transit: in any order, repeatedly or late.
func (w *world) deliver(t *rapid.T) {
	if len(w.frames) == 0 {
		t.Skip("no frame in transit")
	}
	f := rapid.SampledFrom(w.frames).Draw(t, "frame")
	f.copies++
	if f.copies > 1 {
		w.seen["duplicate"]++
	}
	age := w.now.Sub(f.sent)
	if age > 30*time.Second {
		w.seen["late frame"]++
	}
	w.next++
	w.streams[w.next] = &stream{
		request: f.request,
		attempt: f.start.GetAttempt(),
		from:    int(f.start.GetGenerate().GetResumeFrom()),
		digest:  wire.NewDigest(),
	}
	w.step(requests.StartReceived{Stream: w.next, Start: f.start, Age: age})
}

func (w *world) resolve(t *rapid.T) {
	if len(w.frames) == 0 {
		t.Skip("no frame sent")
	}
	f := rapid.SampledFrom(w.frames).Draw(t, "about")
	ask := &wire.Resolve{RequestId: f.request.id[:]}
	if rapid.Bool().Draw(t, "one attempt") {
		ask.Attempt = f.request.attempts
	}
	w.next++
	w.streams[w.next] = &stream{request: f.request, attempt: f.request.attempts, digest: wire.NewDigest()}
	w.step(requests.ResolveReceived{Stream: w.next, Resolve: ask, StartAge: w.now.Sub(w.firstSent(f.request))})
}

func (w *world) firstSent(r *request) time.Time {
	for _, f := range w.frames {
		if f.request == r {
			return f.sent
		}
	}
	return w.now
}

func (w *world) cancel(t *rapid.T) {
	w.step(requests.CancelReceived{Stream: w.anyStream(t)})
}

func (w *world) loseLink(t *rapid.T) {
	s := w.anyStream(t)
	w.streams[s].closed = true
	w.step(requests.StreamClosed{Stream: s})
}

func (w *world) anyStream(t *rapid.T) requests.Stream {
	if w.next == 0 {
		t.Skip("no streams")
	}
	return requests.Stream(rapid.Uint64Range(1, uint64(w.next)).Draw(t, "stream"))
}

func (w *world) chunk(t *rapid.T) {
	id := w.anyRun(t)
	r := w.runs[id]
	if r.position >= 8 || r.request.kind != "draft" {
		t.Skip("answer is complete")
	}
	data := r.request.word(r.position)
	r.position++
	w.step(requests.ChunkReceived{Run: id, Data: []byte(data), Tokens: 1})
}

// word returns the token of r's answer at position i, unique to this answer.
func (r *request) word(i int) string { return fmt.Sprintf("%s.%d ", r.id.String()[:4], i) }

func (r *request) fullAnswer(from int) string {
	if r.kind != "draft" {
		return r.word(0)
	}
	text := strings.Builder{}
	for i := from; i < 8; i++ {
		text.WriteString(r.word(i))
	}
	return text.String()
}

func (w *world) anyRun(t *rapid.T) requests.RunID {
	if len(w.runs) == 0 {
		t.Skip("no runs")
	}
	ids := sortedKeys(w.runs)
	return rapid.SampledFrom(ids).Draw(t, "run")
}

// end finishes a run: with an answer, a rejection or an engine failure.
func (w *world) end(t *rapid.T) {
	id := w.anyRun(t)
	w.finish(id, rapid.IntRange(0, 5).Draw(t, "how"))
}

func (w *world) finish(id requests.RunID, how int) {
	r := w.runs[id]
	delete(w.runs, id)
	switch {
	case how == 0:
		w.seen["engine failure"]++
		w.step(requests.RunFinished{Run: id, Err: verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "crash")})
	case how == 1 && r.position == int(r.start.GetGenerate().GetResumeFrom()):
		// The engine rejected the request before running it.
		delete(r.request.started, r.start.GetAttempt())
		r.request.runs--
		w.step(requests.RunFinished{Run: id, Err: verdict.New(verdict.NotRun, verdict.CodeBackendFailed, "refused")})
	default:
		w.complete(id, r)
	}
}

func (w *world) complete(id requests.RunID, r *run) {
	if r.request.kind != "draft" {
		w.step(requests.ChunkReceived{Run: id, Data: []byte(r.request.word(0))})
	}
	for ; r.request.kind == "draft" && r.position < 8; r.position++ {
		w.step(requests.ChunkReceived{Run: id, Data: []byte(r.request.word(r.position)), Tokens: 1})
	}
	w.step(requests.RunFinished{Run: id, Final: &wire.Final{Status: 201}})
}

func (w *world) answerClaim(t *rapid.T) {
	if len(w.claims) == 0 {
		t.Skip("no claims")
	}
	id := rapid.SampledFrom(sortedKeys(w.claims)).Draw(t, "claim")
	r := w.claims[id]
	delete(w.claims, id)
	answer := requests.ClaimDecided{Claim: id, Err: verdict.NewRejection(verdict.CodeStoreUnavailable, "down", time.Second)}
	switch rapid.IntRange(0, 3).Draw(t, "answer") {
	case 0:
		answer.Err.Verdict = verdict.MayHaveRun
	case 1:
		answer.Err = nil
		answer.Chunks = []*wire.Chunk{{Data: []byte(r.word(0))}}
		answer.Final = &wire.Final{Status: 201}
	case 2:
		// A key is granted at most once.
		answer.Granted = r.runs == 0 && len(r.granted) == 0
	}
	if answer.Granted {
		r.granted[id] = true
		w.seen["claim granted"]++
	} else {
		w.seen["claim not granted"]++
	}
	w.step(answer)
}

func (w *world) passTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	w.step(requests.Tick{})
}

// pause advances time without a tick, as for a stopped process.
func (w *world) pause(t *rapid.T) {
	w.skipMostly(t)
	w.seen["pause"]++
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
}

func (w *world) admission(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "admission") {
	case 0:
		w.step(requests.StopAdmitting{Code: verdict.CodeDraining, Reason: "drained"})
	case 1:
		w.step(requests.HandOver{})
	case 2:
		w.step(requests.EndRuns{})
	default:
		w.step(requests.Admit{})
	}
}

func (w *world) recoverTable(t *rapid.T) {
	w.skipMostly(t)
	w.seen["recover"]++
	next, effects := w.table.Recover(w.now)
	w.table = next
	w.perform(effects)
}

// skipMostly skips most of the faults that reject or detach all active requests:
// otherwise few requests would make progress.
func (w *world) skipMostly(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "seldom") != 0 {
		t.Skip("rare fault skipped")
	}
}

func (w *world) reportEngine(t *rapid.T) {
	blocks := rapid.SampledFrom([]int{0, 1, 4}).Draw(t, "pieces")
	w.step(requests.EngineReport{Load: engine.Load{KVBlocks: blocks}})
}

func (w *world) step(e requests.Event) { w.perform(w.table.Step(w.now, e)) }

func (w *world) perform(effects []requests.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case requests.Send:
			w.sent(e)
		case requests.Run:
			w.started(e)
		case requests.CancelRun:
			w.seen["stopped"]++
			w.runs[e.Run].cancelled = true
		case requests.Claim:
			w.claims[e.Claim] = w.requestOfClaim(e.Key, e.Claim)
		case requests.SettleClaim:
			w.settled(e)
		case requests.LogDecision:
			if e.Decision == "attached" {
				w.seen["attached"]++
			}
		}
	}
}

// requestOfClaim returns the request of a claim: the one whose frame was delivered
// last.
func (w *world) requestOfClaim(string, requests.ClaimID) *request { return w.streams[w.next].request }

// started checks a new run against the reference model and records it.
func (w *world) started(e requests.Run) {
	r := w.find(e.Start)
	attempt := e.Start.GetAttempt()
	if !w.now.Before(r.deadline) {
		w.t.Fatalf("request %s starts %s after its deadline", r.id, w.now.Sub(r.deadline))
	}
	if r.refused[attempt] {
		w.t.Fatalf("request %s: attempt %d starts after it was reported as not run", r.id, attempt)
	}
	if r.started[attempt] || (r.runs > 0 && !r.idempotent()) {
		w.t.Fatalf("request %s runs twice", r.id)
	}
	if r.kind == "keyed" && len(r.granted) == 0 {
		w.t.Fatalf("request %s runs without a claim", r.id)
	}
	r.started[attempt] = true
	r.runs++
	w.runs[e.Run] = &run{request: r, start: e.Start, position: int(e.Start.GetGenerate().GetResumeFrom())}
}

func (w *world) find(s *wire.Start) *request {
	for _, r := range w.requests {
		if r.id == uuid.UUID(s.GetRequestId()) {
			return r
		}
	}
	return nil
}

func (w *world) settled(e requests.SettleClaim) {
	for _, r := range w.requests {
		if r.granted[e.Claim] && e.Verdict == verdict.NotRun && r.runs > 0 {
			w.t.Fatalf("request %s ran and its key was released", r.id)
		}
		delete(r.granted, e.Claim)
	}
}

// sent checks a frame sent to the entry.
func (w *world) sent(e requests.Send) {
	s := w.streams[e.Stream]
	if s.last {
		w.t.Fatalf("stream %d: a frame after the last one", e.Stream)
	}
	s.last = e.Last
	switch body := e.Frame.GetBody().(type) {
	case *wire.Frame_Chunk:
		s.digest.Add(body.Chunk)
		s.text.Write(body.Chunk.GetData())
	case *wire.Frame_Final:
		w.checkFinal(s, body.Final, s.text.String(), s.digest)
	case *wire.Frame_Refusal:
		w.refused(s, body.Refusal)
	case *wire.Frame_Resolution:
		w.resolved(s, body.Resolution)
	}
}

func (w *world) checkFinal(s *stream, final *wire.Final, text string, digest *wire.Digest) {
	if !digest.Matches(final) || text != s.request.fullAnswer(s.from) {
		w.t.Fatalf("request %s: %q was sent as its complete answer", s.request.id, text)
	}
	w.seen["whole answer"]++
	if s.attempt != final.GetAttempt() {
		w.t.Fatalf("request %s: answer for attempt %d on the stream of %d", s.request.id, final.GetAttempt(), s.attempt)
	}
	if s.request.attempts > 1 && s.request.runs == 1 {
		w.seen["replayed"]++
	}
}

func (w *world) refused(s *stream, refusal *wire.Refusal) {
	w.seen["refusal "+strings.TrimPrefix(refusal.GetVerdict().String(), "VERDICT_")]++
	if refusal.GetVerdict() != wire.Verdict_VERDICT_NOT_RUN {
		return
	}
	if s.request.started[s.attempt] {
		w.t.Fatalf("request %s: attempt %d ran and was reported as not run", s.request.id, s.attempt)
	}
	s.request.refused[s.attempt] = true
}

func (w *world) resolved(s *stream, r *wire.Resolution) {
	w.seen["resolution "+strings.TrimPrefix(r.GetOutcome().String(), "OUTCOME_")]++
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_NOT_RUN:
		if s.request.runs > 0 {
			w.t.Fatalf("request %s ran and is resolved as not run", s.request.id)
		}
		for attempt := uint32(1); attempt <= s.request.attempts; attempt++ {
			s.request.refused[attempt] = true
		}
	case wire.Outcome_OUTCOME_RAN:
		w.checkCachedAnswer(s, r)
	}
}

func (w *world) checkCachedAnswer(s *stream, r *wire.Resolution) {
	if r.GetFinal() == nil {
		return
	}
	text := ""
	digest := wire.NewDigest()
	for _, c := range r.GetChunks() {
		digest.Add(c)
		text += string(c.GetData())
	}
	if !digest.Matches(r.GetFinal()) || !strings.HasSuffix(s.request.fullAnswer(0), text) {
		w.t.Fatalf("request %s: %q was cached as its complete answer", s.request.id, text)
	}
}

func (w *world) check(*rapid.T) {
	if len(w.runs) > w.slots {
		w.t.Fatalf("%d requests run in %d slots", len(w.runs), w.slots)
	}
}

// quiesce finishes all runs and checks that every stream got a last frame.
func (w *world) quiesce() {
	for len(w.runs)+len(w.claims) > 0 {
		for _, id := range sortedKeys(w.claims) {
			delete(w.claims, id)
			err := verdict.NewRejection(verdict.CodeStoreUnavailable, "down", time.Second)
			w.step(requests.ClaimDecided{Claim: id, Err: err})
		}
		for _, id := range sortedKeys(w.runs) {
			w.finish(id, 2)
		}
	}
	w.now = w.now.Add(2 * time.Minute)
	w.step(requests.Tick{})
	if w.table.Active() != 0 {
		w.t.Fatalf("%d requests are still active", w.table.Active())
	}
	for number, s := range w.streams {
		if !s.last && !s.closed {
			w.t.Fatalf("stream %d: request %s got no last frame", number, s.request.id)
		}
	}
}

func sortedKeys[K ~uint64, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
