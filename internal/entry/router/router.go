// Package router is the duty of an entry that admits requests and picks their
// backend servers. It feeds the decisions of internal/decide with load
// reports, cache events, and what this entry itself has sent.
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
	// refreshInterval is how often the router takes a new view of the fleet.
	refreshInterval = 250 * time.Millisecond
	// busyRetryAfter is what a request is told when the router's inbox is full.
	busyRetryAfter = time.Second
	// replyTimeout is how long a request waits for a decision. A decision takes
	// microseconds; its reply is lost only when the duty panicked over it.
	replyTimeout = 2 * time.Second
)

// Request is what the router needs to know of a request.
type Request struct {
	ID      string
	Caller  string
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// PromptTokens and OutputTokens are estimates; 1 and 0 for a call of a
	// plain service.
	PromptTokens, OutputTokens int
	// Pieces is the hash chain of the prompt.
	PrefixBlocks []uint64
	Deadline     time.Time
	Class        int
	Idempotent   bool
	// Keyed requests may run only at the owner of their key slot.
	Keyed bool
	// KeyHash chooses the slot.
	KeyHash uint64

	// The rest is the duty's: what admission has charged, and the attempts that
	// have not begun to answer.
	cost int
	sent []sent
}

// Outcome is how one attempt went.
type Outcome struct {
	// Took is the time to the first piece of the answer.
	TimeToFirstPiece time.Duration
	// Refused says that the backend server did not take the attempt.
	Rejected bool
	// Failed says that the backend server is to blame.
	Failed bool
}

// Router is the duty. Its methods other than Serve may be called from any
// goroutine.
type Router struct {
	inbox   *ring.Ring[message]
	reports *ring.Ring[links.Report]
	state   *state
}

// Config sets a Router.
type Config struct {
	// Region and DataCentre are where this entry is.
	Region, DataCentre string
	Views              view.Source
	Explain            *explain.Log
	// Gossip tells other entries of the heaviest accounts; nil: there are none.
	Gossip Gossip
	// Seed of the random choices.
	Seed uint64
	// Now is time.Now but in tests.
	Now func() time.Time
}

// Gossip exchanges the heaviest accounts with other entries.
type Gossip interface {
	// Spent tells of this entry's.
	AnnounceUsage(accounts *wire.Accounts)
	// Accounts returns what others tell of theirs.
	Accounts() <-chan member.PeerAccounts
}

// noGossip is the Gossip of a lone entry.
type noGossip struct{}

func (noGossip) AnnounceUsage(*wire.Accounts)         {}
func (noGossip) Accounts() <-chan member.PeerAccounts { return nil }

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

// Reports takes the reports of links.
func (r *Router) Reports() *ring.Ring[links.Report] { return r.reports }

// String names the duty.
func (r *Router) String() string { return "router" }

// Serve decides until ctx ends.
func (r *Router) Serve(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	gossip := time.NewTicker(gossipWindow)
	defer gossip.Stop()
	now := r.state.config.Now
	// After a panic the state may be inconsistent. What is lost with it comes
	// again with the reports of the next second.
	r.state = newState(r.state.config)
	r.state.refresh(now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case report := <-r.reports.C():
			r.state.report(now(), report)
		case m := <-r.inbox.C():
			m.apply(now(), r.state)
		case <-ticker.C:
			r.state.refresh(now())
		case <-gossip.C:
			r.state.config.Gossip.AnnounceUsage(r.state.heaviest(now()))
		case accounts := <-r.state.config.Gossip.Accounts():
			r.state.merge(now(), accounts)
		}
	}
}

// message is something that the router is asked or told.
type message interface {
	apply(now time.Time, s *state)
}

type admitMessage struct {
	request *Request
	reply   chan<- admission
}

// admission is the answer to an admitMessage: the first route or the refusal.
type admission struct {
	route   call.Event
	refusal *verdict.Error
}

func (m admitMessage) apply(now time.Time, s *state) {
	if err := s.admit(now, m.request); err != nil {
		m.reply <- admission{refusal: err}
		return
	}
	first := call.Route{Attempt: 1, Remaining: m.request.Deadline.Sub(now)}
	m.reply <- admission{route: s.route(now, m.request, first)}
}

type routeMessage struct {
	request *Request
	route   call.Route
	reply   chan<- call.Event
}

func (m routeMessage) apply(now time.Time, s *state) { m.reply <- s.route(now, m.request, m.route) }

type attemptedMessage struct {
	request *Request
	server  string
	outcome Outcome
}

func (m attemptedMessage) apply(now time.Time, s *state) {
	s.attempted(now, m.request, m.server, m.outcome)
}

type refusedMessage struct {
	server string
	load   *wire.Load
}

func (m refusedMessage) apply(now time.Time, s *state) { s.load(now, m.server, m.load) }

type endedMessage struct {
	request   *Request
	succeeded bool
}

func (m endedMessage) apply(now time.Time, s *state) { s.ended(now, m.request, m.succeeded) }

type loadsMessage struct{ reply chan<- map[string]LoadReport }

func (m loadsMessage) apply(_ time.Time, s *state) { m.reply <- s.loads() }

type dumpMessage struct{ reply chan<- Dump }

func (m dumpMessage) apply(now time.Time, s *state) { m.reply <- s.dump(now) }

// Admit lets the request in, or returns why not. It answers the Route of the
// first attempt as well: a request then waits for the duty once. An admitted
// request must be followed by Ended.
func (r *Router) Admit(ctx context.Context, request *Request) (call.Event, *verdict.Error) {
	reply := make(chan admission, 1)
	if !r.inbox.Put(admitMessage{request: request, reply: reply}) {
		return nil, busy()
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	select {
	case a := <-reply:
		return a.route, a.refusal
	case <-ctx.Done():
		return nil, noDecision(ctx)
	}
}

// noDecision tells a caller that went away from a fault of the duty.
func noDecision(ctx context.Context) *verdict.Error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.NewRejection(verdict.CodeInternal, "no decision about the request", busyRetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller went away")
}

// Route picks the backend server of an attempt. It returns call.Routed or
// call.Unroutable.
func (r *Router) Route(ctx context.Context, request *Request, route call.Route) call.Event {
	reply := make(chan call.Event, 1)
	if !r.inbox.Put(routeMessage{request: request, route: route, reply: reply}) {
		return call.Unroutable{Attempt: route.Attempt, Err: busy()}
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	select {
	case event := <-reply:
		return event
	case <-ctx.Done():
		return call.Unroutable{Attempt: route.Attempt, Err: noDecision(ctx)}
	}
}

func busy() *verdict.Error {
	return verdict.NewRejection(verdict.CodeOverloaded, "the entry is overloaded", busyRetryAfter)
}

// Attempted tells that an attempt at server no longer waits: it began to
// answer, was refused or failed.
func (r *Router) ReportOutcome(request *Request, server string, outcome Outcome) {
	r.tell(attemptedMessage{request: request, server: server, outcome: outcome})
}

// Refused passes on the fresh load that came with a refusal.
func (r *Router) UpdateLoad(server string, load *wire.Load) {
	r.tell(refusedMessage{server: server, load: load})
}

// Ended tells that an admitted request ended, and whether its caller got a
// whole answer.
func (r *Router) Finish(request *Request, succeeded bool) {
	r.tell(endedMessage{request: request, succeeded: succeeded})
}

// tellTimeout bounds the wait for room in the inbox. What is lost by it
// corrects itself: pictures expire and accounts decay.
const tellTimeout = time.Second

func (r *Router) tell(m message) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	_ = r.inbox.PutWait(ctx, m)
}

// Load is the last report of a backend server and how its link is.
type LoadReport struct {
	ReceivedAt time.Time
	Load       *wire.Load
	LinkState  links.State
	Drained    bool
}

// Loads returns the last report of each backend server.
func (r *Router) LoadReports(ctx context.Context) (map[string]LoadReport, error) {
	reply := make(chan map[string]LoadReport, 1)
	return ask(ctx, r, loadsMessage{reply: reply}, reply)
}

// Dump returns the state of the duty, as a Dump.
func (r *Router) Dump(ctx context.Context) any {
	reply := make(chan Dump, 1)
	d, err := ask(ctx, r, dumpMessage{reply: reply}, reply)
	if err != nil {
		return eris.ToString(err, false)
	}
	return d
}

// ask puts a question and waits for its answer.
func ask[T any](ctx context.Context, r *Router, question message, reply <-chan T) (T, error) {
	var none T
	if err := r.inbox.PutWait(ctx, question); err != nil {
		return none, eris.Wrap(err, "ask the router")
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, eris.Wrap(ctx.Err(), "ask the router")
	}
}
