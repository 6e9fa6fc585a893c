package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

const (
	// callers of each kind run side by side.
	callersPerKind = 3
	callTimeout    = 20 * time.Second
	draftTokens    = 60
	statusNoAnswer = 0
)

// result is what one call came to.
type result struct {
	kind    string
	subject string
	answer  fleet.Answer
	// cut is the error of a transfer that broke off.
	cut   error
	whole bool
}

func (r result) ok() bool {
	return r.cut == nil && r.answer.Status < http.StatusBadRequest && r.whole
}

// load is a bounded number of callers that go on until they are stopped.
type load struct {
	fleet *fleet.Fleet
	// entries take turns; a spec takes an entry out of the balancer by
	// removing it.
	mu      sync.Mutex
	entries []string
	results []result
	next    int

	stop    context.CancelFunc
	stopped context.Context
	callers sync.WaitGroup
}

// startLoad starts callers of drafts (plain and streamed), keyed holds, and
// lookups.
func startLoad(f *fleet.Fleet) *load {
	l := &load{fleet: f, entries: f.Entries}
	l.stopped, l.stop = context.WithCancel(context.Background())
	for range callersPerKind {
		for _, call := range []func(int) result{l.draft, l.stream, l.hold, l.lookUp} {
			l.callers.Go(func() { l.loop(call) })
		}
	}
	return l
}

func (l *load) loop(call func(int) result) {
	for l.stopped.Err() == nil {
		r := call(l.number())
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *load) number() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return l.next
}

// balance sends new calls only to these entries, as the platform's balancer
// does once an entry is not ready.
func (l *load) balance(entries ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

func (l *load) url(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.URL(l.entries[n%len(l.entries)])
}

// end stops the callers and returns what their calls came to.
func (l *load) end() []result {
	l.stop()
	l.callers.Wait()
	return l.results
}

// count returns how many calls of a kind went well so far.
func (l *load) count(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.CountBy(l.results, func(r result) bool { return r.kind == kind && r.ok() })
}

func (l *load) draft(n int) result { return l.complete(n, "draft", false) }

func (l *load) stream(n int) result { return l.complete(n, "stream", true) }

func (l *load) complete(n int, kind string, stream bool) result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	prompt := fmt.Sprintf("Draft %d: %s", n, strings.Repeat("portfolio line ", n%40))
	answer, err := fleet.Do(ctx, http.MethodPost, l.url(n)+"/v1/completions", nil,
		fleet.Completion{Model: "draft", Prompt: prompt, MaxTokens: draftTokens, Stream: stream})
	text, whole := fleet.CompletionText(answer)
	r := result{kind: kind, subject: prompt, answer: answer, cut: err, whole: whole}
	if r.ok() && text != modelengine.Answer(prompt, draftTokens) {
		r.subject = "WRONG ANSWER to " + prompt + ": " + text
	}
	return r
}

func (l *load) hold(n int) result {
	subject := fmt.Sprintf("hold-%d", n)
	return placeHold(l.url(n), subject, subject)
}

// placeHold places one hold under a key; an empty key sends none.
func placeHold(url, subject, key string) result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	answer, err := fleet.Do(ctx, http.MethodPost, url+"/services/holds/holds", header,
		plainservice.Hold{Subject: subject})
	r := result{kind: "hold", subject: subject, answer: answer, cut: err, whole: true}
	if r.ok() && !strings.Contains(answer.Body, `"`+subject+`"`) {
		r.subject = "WRONG ANSWER to " + subject + ": " + answer.Body
	}
	return r
}

func (l *load) lookUp(n int) result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	query := fmt.Sprintf("model=%d", n)
	answer, err := fleet.Do(ctx, http.MethodGet, l.url(n)+"/services/holds/calendar?"+query, nil, nil)
	r := result{kind: "lookup", subject: query, answer: answer, cut: err, whole: true}
	if r.ok() && !strings.Contains(answer.Body, `"`+query+`"`) {
		r.subject = "WRONG ANSWER to " + query + ": " + answer.Body
	}
	return r
}

// holdRuns returns how often each hold ran, over all booking services.
func holdRuns(f *fleet.Fleet) map[string]int {
	runs := map[string]int{}
	for _, name := range f.Services["holds"] {
		record, err := f.ServiceRecord(context.Background(), name)
		Expect(err).NotTo(HaveOccurred())
		for subject, n := range record.Runs {
			runs[subject] += n
		}
	}
	return runs
}

// expectPromises checks what must hold whatever failed: answers are whole and
// the caller's own, holds ran at most once, "not run" and "ran" are true, and
// no engine saw what it must never see.
func expectPromises(f *fleet.Fleet, results []result) {
	GinkgoHelper()
	runs := holdRuns(f)
	for subject, n := range runs {
		Expect(n).To(BeNumerically("<=", 1), "runs of %s", subject)
	}
	for _, r := range results {
		Expect(r.subject).NotTo(HavePrefix("WRONG ANSWER"))
		if r.kind != "hold" {
			continue
		}
		switch r.answer.Verdict {
		case "not_run":
			Expect(runs[r.subject]).To(BeZero(), "%s was told not_run: %s", r.subject, r.answer.Body)
		case "ran":
			Expect(runs[r.subject]).To(Equal(1), "%s was told ran", r.subject)
		}
	}
	expectNoViolations(f)
}

func expectNoViolations(f *fleet.Fleet) {
	GinkgoHelper()
	for _, name := range f.Engines {
		record, err := f.EngineRecord(context.Background(), name)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Violations).To(BeEmpty(), name)
	}
}

// expectNoneFailed checks that every call of every kind went well.
func expectNoneFailed(results []result) {
	GinkgoHelper()
	failed := lo.Filter(results, func(r result, _ int) bool { return !r.ok() })
	shown := lo.Map(lo.Slice(failed, 0, 5), func(r result, _ int) string {
		return fmt.Sprintf("%s %.40q: %d %s cut=%v", r.kind, r.subject, r.answer.Status, r.answer.Body, r.cut)
	})
	Expect(failed).To(BeEmpty(), "%d of %d failed, such as:\n%s", len(failed), len(results), strings.Join(shown, "\n"))
	byKind := lo.CountValuesBy(results, func(r result) string { return r.kind })
	for _, kind := range []string{"draft", "stream", "hold", "lookup"} {
		Expect(byKind[kind]).To(BeNumerically(">", 0), "calls of kind %s", kind)
	}
}

// expectRecovery checks that each kind of call goes well again by itself.
func expectRecovery(l *load) {
	GinkgoHelper()
	for _, kind := range []string{"draft", "stream", "hold", "lookup"} {
		before := l.count(kind)
		Eventually(func() int { return l.count(kind) }, soon, "50ms").Should(BeNumerically(">", before+5), kind)
	}
}
