package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

// Kind is a kind of call.
type Kind string

// The kinds of call: a completion, a streamed completion, a hold with an
// idempotency key and a lookup.
const (
	Draft  Kind = "draft"
	Stream Kind = "stream"
	Hold   Kind = "hold"
	LookUp Kind = "lookup"
)

// Kinds are all kinds of call.
var Kinds = []Kind{Draft, Stream, Hold, LookUp}

const (
	// callersPerKind callers of each kind run concurrently, pausing for callPause
	// between their calls.
	callersPerKind   = 3
	callPause        = 2 * time.Millisecond
	callTimeout      = 20 * time.Second
	completionTokens = 60
)

// Result is the result of one call.
type Result struct {
	Kind     Kind
	Subject  string
	Answer   Answer
	Started  time.Time
	Finished time.Time
	// TransferErr is the error of an interrupted transfer.
	TransferErr error
	// Complete reports that the body of a completion is complete. It is always true
	// for holds and lookups.
	Complete bool
	// Incorrect reports that a successful answer has the wrong content.
	Incorrect bool
}

// OK reports whether the caller got a complete, successful answer.
func (r Result) OK() bool {
	return r.TransferErr == nil && r.Answer.Status < http.StatusBadRequest && r.Complete
}

// Rejected reports whether the call was rejected with verdict not_run and a
// Retry-After header.
func (r Result) Rejected() bool {
	return r.TransferErr == nil && r.Answer.Verdict == "not_run" && r.Answer.Header.Get("Retry-After") != ""
}

// String describes the call in failure messages.
func (r Result) String() string {
	return fmt.Sprintf("%s %.40q: %d %s transfer error: %v", r.Kind, r.Subject, r.Answer.Status, r.Answer.Body, r.TransferErr)
}

// Load is a fixed number of callers that send calls until they are stopped.
type Load struct {
	fleet *Fleet

	mu      sync.Mutex
	entries []string
	results []Result
	next    int

	cancel  context.CancelFunc
	ctx     context.Context
	callers sync.WaitGroup
}

// StartLoad starts the callers of all kinds.
func (f *Fleet) StartLoad() *Load {
	l := &Load{fleet: f, entries: f.Entries}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for range callersPerKind {
		for _, kind := range Kinds {
			l.callers.Go(func() { l.run(kind) })
		}
	}
	return l
}

func (l *Load) run(kind Kind) {
	for l.ctx.Err() == nil {
		n, url := l.nextCall()
		r := call(kind, url, n)
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
		time.Sleep(callPause)
	}
}

// nextCall returns the number of the next call and the URL of its entry, chosen
// round-robin.
func (l *Load) nextCall() (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return l.next, l.fleet.URL(l.entries[l.next%len(l.entries)])
}

// SetEntries sends new calls only to these entries, as the platform's load
// balancer does when an entry is not ready.
func (l *Load) SetEntries(entries ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// Stop stops the callers and returns the results of all calls.
func (l *Load) Stop() []Result {
	l.cancel()
	l.callers.Wait()
	return l.results
}

// Count returns the number of calls of a kind that have succeeded so far.
func (l *Load) Count(kind Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.CountBy(l.results, func(r Result) bool { return r.Kind == kind && r.OK() })
}

func call(kind Kind, url string, n int) Result {
	started := time.Now()
	var r Result
	switch kind {
	case Draft, Stream:
		r = callCompletion(url, n, kind == Stream)
	case Hold:
		subject := fmt.Sprintf("hold-%d", n)
		r = PlaceHold(url, subject, subject)
	default:
		r = callLookup(url, n)
	}
	r.Kind, r.Started, r.Finished = kind, started, time.Now()
	return r
}

func callCompletion(url string, n int, stream bool) Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	prompt := fmt.Sprintf("Draft %d: %s", n, strings.Repeat("portfolio line ", n%40))
	answer, err := Do(ctx, http.MethodPost, url+"/v1/completions", nil,
		Completion{Model: "draft", Prompt: prompt, MaxTokens: completionTokens, Stream: stream})
	text, complete := CompletionText(answer)
	r := Result{Subject: prompt, Answer: answer, TransferErr: err, Complete: complete}
	r.Incorrect = r.OK() && text != modelengine.Answer(prompt, completionTokens)
	return r
}

// PlaceHold places one hold under an idempotency key, or without one if key is
// empty.
func PlaceHold(url, subject, key string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	answer, err := Do(ctx, http.MethodPost, url+"/services/holds/holds", header, plainservice.Hold{Subject: subject})
	r := Result{Kind: Hold, Subject: subject, Answer: answer, TransferErr: err, Complete: true}
	r.Incorrect = r.OK() && !strings.Contains(answer.Body, `"`+subject+`"`)
	return r
}

func callLookup(url string, n int) Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	query := fmt.Sprintf("model=%d", n)
	answer, err := Do(ctx, http.MethodGet, url+"/services/holds/calendar?"+query, nil, nil)
	r := Result{Subject: query, Answer: answer, TransferErr: err, Complete: true}
	r.Incorrect = r.OK() && !strings.Contains(answer.Body, `"`+query+`"`)
	return r
}
