// Package router is the duty of an entry that performs admission control and
// routes requests to backend servers. It supplies the algorithms of
// internal/decide with load reports, cache events and this entry's own requests.
package router

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	inboxSize   = 1024
	reportsSize = 1024
	// refreshInterval is how often the router fetches the view of the fleet.
	refreshInterval = 250 * time.Millisecond
	// overloadRetryAfter is the Retry-After when the router's inbox is full or a
	// decision timed out.
	overloadRetryAfter = time.Second
	// replyTimeout bounds the wait for a decision. A decision takes microseconds;
	// its reply is lost only if the duty panics while computing it.
	replyTimeout = 2 * time.Second
)

// Request holds the properties of a caller's request that routing depends on.
type Request struct {
	ID      string
	Caller  string
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// PromptTokens and OutputTokens are estimates; 1 and 0 for a call of a
	// plain service.
	PromptTokens, OutputTokens int
	// PrefixBlocks is the hash chain of the prompt's KV blocks.
	PrefixBlocks []uint64
	Deadline     time.Time
	Class        int
	Idempotent   bool
	// Keyed reports that the request has an idempotency key. It may then run
	// only at the owner of its key slot.
	Keyed bool
	// KeyHash is the hash of the key; it selects the slot.
	KeyHash uint64

	// The fields below belong to the duty: the cost charged at admission, and
	// the attempts that have not started to answer.
	costTokens int
	unanswered []sentAttempt
}

// Outcome is the outcome of one attempt at a backend server.
type Outcome struct {
	// TimeToFirstChunk is the time to the first chunk of the answer, or to the
	// failure if there was none.
	TimeToFirstChunk time.Duration
	// Rejected reports that the backend server rejected the attempt without
	// running it.
	Rejected bool
	// Failed reports a failure caused by the backend server.
	Failed bool
}

// Router admits and routes requests. Serve runs it; its other methods are safe
// for concurrent use.
type Router struct {
	inbox   *ring.Ring[message]
	reports *ring.Ring[links.Report]
	state   *state
}

// Config configures a Router.
type Config struct {
	// Region and DataCentre are the location of this entry.
	Region, DataCentre string
	Views              view.Source
	Explain            *explain.Log
	// Gossip exchanges account usage and demand with other entries. Nil means
	// that there are no other entries.
	Gossip Gossip
	// Seed seeds the random choices.
	Seed uint64
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Gossip exchanges the usage of the heaviest accounts, and the demand for each
// model, with other entries.
type Gossip interface {
	// AnnounceUsage announces the usage and demand of this entry.
	AnnounceUsage(accounts *wire.Accounts)
	// PeerUsage returns the channel of the other entries' announcements.
	PeerUsage() <-chan member.PeerUsage
}

// noGossip is the Gossip of an entry without peers.
type noGossip struct{}

func (noGossip) AnnounceUsage(*wire.Accounts)       {}
func (noGossip) PeerUsage() <-chan member.PeerUsage { return nil }

// New returns a Router.
func New(config Config) *Router {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Gossip == nil {
		config.Gossip = noGossip{}
	}
	return &Router{
		inbox:   ring.New[message]("router", inboxSize, ring.Reject),
		reports: ring.New[links.Report]("router.reports", reportsSize, ring.DropOldest),
		state:   newState(config),
	}
}

// Reports returns the ring into which links put their reports.
func (r *Router) Reports() *ring.Ring[links.Report] { return r.reports }

// String returns the name of the duty.
func (r *Router) String() string { return "router" }

// Serve processes messages and reports until ctx ends.
func (r *Router) Serve(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	gossip := time.NewTicker(gossipWindow)
	defer gossip.Stop()
	now := r.state.config.Now
	// After a panic the state may be inconsistent. The reports of the next second
	// restore what a new one lacks.
	r.state = newState(r.state.config)
	r.state.refresh(now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case report := <-r.reports.C():
			r.state.applyReport(now(), report)
		case m := <-r.inbox.C():
			m.apply(now(), r.state)
		case <-ticker.C:
			r.state.refresh(now())
		case <-gossip.C:
			r.state.config.Gossip.AnnounceUsage(r.state.heaviestAccounts(now()))
		case accounts := <-r.state.config.Gossip.PeerUsage():
			r.state.mergePeerAccounts(now(), accounts)
		}
	}
}

// message is a request to the router, or an update. It is applied by Serve.
type message interface {
	apply(now time.Time, s *state)
}

type admitMessage struct {
	request *Request
	reply   chan<- admitReply
}

// admitReply is the reply to an admitMessage: the first route or the rejection.
type admitReply struct {
	route     call.Event
	rejection *verdict.Error
}

func (m admitMessage) apply(now time.Time, s *state) {
	if err := s.admit(now, m.request); err != nil {
		m.reply <- admitReply{rejection: err}
		return
	}
	first := call.Route{Attempt: 1, Remaining: m.request.Deadline.Sub(now)}
	m.reply <- admitReply{route: s.route(now, m.request, first)}
}

type routeMessage struct {
	request *Request
	route   call.Route
	reply   chan<- call.Event
}

func (m routeMessage) apply(now time.Time, s *state) { m.reply <- s.route(now, m.request, m.route) }

type outcomeMessage struct {
	request *Request
	server  string
	outcome Outcome
}

func (m outcomeMessage) apply(now time.Time, s *state) {
	s.recordOutcome(now, m.request, m.server, m.outcome)
}

type loadMessage struct {
	server string
	load   *wire.Load
}

func (m loadMessage) apply(now time.Time, s *state) { s.setLoad(now, m.server, m.load) }

type finishMessage struct {
	request   *Request
	succeeded bool
}

func (m finishMessage) apply(now time.Time, s *state) { s.finish(now, m.request, m.succeeded) }

type loadReportsMessage struct{ reply chan<- map[string]LoadReport }

func (m loadReportsMessage) apply(_ time.Time, s *state) { m.reply <- s.loadReports() }

type dumpMessage struct{ reply chan<- Dump }

func (m dumpMessage) apply(now time.Time, s *state) { m.reply <- s.dump(now) }

// Admit admits the request and returns the route of its first attempt, or
// returns the reason for the rejection. Routing in the same step saves a round
// trip through the inbox. An admitted request must be followed by Finish.
func (r *Router) Admit(ctx context.Context, request *Request) (call.Event, *verdict.Error) {
	reply := make(chan admitReply, 1)
	if !r.inbox.Put(admitMessage{request: request, reply: reply}) {
		return nil, overloadedError()
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	select {
	case a := <-reply:
		return a.route, a.rejection
	case <-ctx.Done():
		return nil, noDecisionError(ctx)
	}
}

// noDecisionError distinguishes a decision that timed out, which is a fault of
// the duty, from a caller that disconnected.
func noDecisionError(ctx context.Context) *verdict.Error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.NewRejection(verdict.CodeInternal, "no decision about the request", overloadRetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller went away")
}

// Route selects the backend server for an attempt. It returns call.Routed or
// call.Unroutable.
func (r *Router) Route(ctx context.Context, request *Request, route call.Route) call.Event {
	reply := make(chan call.Event, 1)
	if !r.inbox.Put(routeMessage{request: request, route: route, reply: reply}) {
		return call.Unroutable{Attempt: route.Attempt, Err: overloadedError()}
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	select {
	case event := <-reply:
		return event
	case <-ctx.Done():
		return call.Unroutable{Attempt: route.Attempt, Err: noDecisionError(ctx)}
	}
}

func overloadedError() *verdict.Error {
	return verdict.NewRejection(verdict.CodeOverloaded, "the entry is overloaded", overloadRetryAfter)
}

// ReportOutcome reports that an attempt at server is no longer queued: it
// started to answer, was rejected or failed.
func (r *Router) ReportOutcome(request *Request, server string, outcome Outcome) {
	r.send(outcomeMessage{request: request, server: server, outcome: outcome})
}

// UpdateLoad updates the load of server from a report that came with a rejection.
func (r *Router) UpdateLoad(server string, load *wire.Load) {
	r.send(loadMessage{server: server, load: load})
}

// Finish releases an admitted request. Succeeded reports whether its caller got
// the complete answer.
func (r *Router) Finish(request *Request, succeeded bool) {
	r.send(finishMessage{request: request, succeeded: succeeded})
}

// sendTimeout bounds the wait for space in the inbox. A message dropped after
// it does no lasting harm: tracked requests expire and account usage decays.
const sendTimeout = time.Second

func (r *Router) send(m message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_ = r.inbox.PutWait(ctx, m)
}

// LoadReport is the last load report of a backend server and the state of its
// link.
type LoadReport struct {
	ReceivedAt time.Time
	Load       *wire.Load
	LinkState  links.State
	Drained    bool
}

// LoadReports returns the last load report of each backend server. Its Load is
// nil for a server that has not sent one.
func (r *Router) LoadReports(ctx context.Context) (map[string]LoadReport, error) {
	reply := make(chan map[string]LoadReport, 1)
	return query(ctx, r, loadReportsMessage{reply: reply}, reply)
}

// Dump returns the state of the router as a Dump, or the text of an error.
func (r *Router) Dump(ctx context.Context) any {
	reply := make(chan Dump, 1)
	d, err := query(ctx, r, dumpMessage{reply: reply}, reply)
	if err != nil {
		return eris.ToString(err, false)
	}
	return d
}

// query puts a message into the inbox and waits for the reply.
func query[T any](ctx context.Context, r *Router, m message, reply <-chan T) (T, error) {
	var none T
	if err := r.inbox.PutWait(ctx, m); err != nil {
		return none, eris.Wrap(err, "ask the router")
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, eris.Wrap(ctx.Err(), "ask the router")
	}
}
