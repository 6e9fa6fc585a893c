package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/balance"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/locality"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/serverhealth"
)

// Gossip announces to the other gateways what this one does at engines and what it
// observes of servers. Its methods do not block.
type Gossip interface {
	// AnnouncePlacement announces that a request was assigned to engines,
	// AnnouncePrefillDone that its prompt has been prefilled, and AnnounceFinished
	// that it finished. contention is the factor that the prefill engine has just reported,
	// 0 if unknown.
	AnnouncePlacement(p place.Placement)
	AnnouncePrefillDone(id place.JobID, contention float64)
	AnnounceFinished(id place.JobID)
	// AnnounceAvoid announces that an engine rejects requests and is to be avoided for d.
	AnnounceAvoid(service, engine string, d time.Duration)
	// AnnounceServerReport announces what a server of a plain service has reported.
	AnnounceServerReport(server string, r balance.Report)
	// AnnounceTermination announces to all gateways that a server terminated while it ran a
	// request, or that the request completed; ReannounceTermination repeats that to some.
	AnnounceTermination(e quarantine.Evidence)
	ReannounceTermination(e quarantine.Evidence)
	// AnnounceCrash announces to all gateways that a server terminated while it ran prompts with
	// some segments, or that such prompts completed; ReannounceCrash repeats that to some.
	AnnounceCrash(c quarantine.Crash)
	ReannounceCrash(c quarantine.Crash)
	// AnnounceServerLimit announces to all gateways the limit that a server stated, or
	// that it has none; ReannounceServerLimit repeats that to some.
	AnnounceServerLimit(n ratelimit.Notice)
	ReannounceServerLimit(n ratelimit.Notice)
	// RankFor returns the rank of this gateway for a server in a round. The ranks
	// decide which gateways may send requests to a server that states a limit.
	RankFor(server string, round uint64) ratelimit.Rank
	// MembershipVersion returns a value that changes whenever ranks may have changed.
	MembershipVersion() uint64
	// GatewayCount returns the number of gateways, including this one.
	GatewayCount() int
	// GatewaysKnown reports whether the other gateways have been listed.
	GatewaysKnown() bool
	// GatewaysSharing returns how many gateways share a limit, including this one, 0 while
	// that is unknown.
	GatewaysSharing() int
	// FirstProcess reports whether this process is known to be the first gateway of its VM.
	FirstProcess() bool
	// JoinGroup returns this gateway's group among count groups. From then on
	// placements and their ends are announced within the group only.
	JoinGroup(count uint64) place.Group
	// AnnounceStreamVersion announces to a few gateways, chosen by the stream's ID, which
	// version began the stream. QueryStreamVersion asks those gateways for it, and for the
	// versions that have served, and returns how many it has asked.
	AnnounceStreamVersion(id streamversion.StreamID, v streamversion.Version)
	QueryStreamVersion(q streamversion.Query) (asked int)
	// AnnounceOutcomes announces the outcomes of attempts at servers, urgently if there are
	// failures.
	AnnounceOutcomes(outcomes []serverhealth.Outcome, urgent bool)
}

// noGossip is the Gossip of a gateway without peers.
type noGossip struct{}

func (noGossip) AnnouncePlacement(place.Placement)             {}
func (noGossip) AnnouncePrefillDone(place.JobID, float64)      {}
func (noGossip) AnnounceFinished(place.JobID)                  {}
func (noGossip) AnnounceAvoid(string, string, time.Duration)   {}
func (noGossip) AnnounceServerReport(string, balance.Report)   {}
func (noGossip) AnnounceTermination(quarantine.Evidence)       {}
func (noGossip) ReannounceTermination(quarantine.Evidence)     {}
func (noGossip) AnnounceCrash(quarantine.Crash)                {}
func (noGossip) ReannounceCrash(quarantine.Crash)              {}
func (noGossip) AnnounceServerLimit(ratelimit.Notice)          {}
func (noGossip) ReannounceServerLimit(ratelimit.Notice)        {}
func (noGossip) GatewaysKnown() bool                           { return true }
func (noGossip) GatewaysSharing() int                          { return 1 }
func (noGossip) FirstProcess() bool                            { return false }
func (noGossip) RankFor(string, uint64) ratelimit.Rank         { return ratelimit.Rank{Total: 1} }
func (noGossip) MembershipVersion() uint64                     { return 0 }
func (noGossip) GatewayCount() int                             { return 1 }
func (noGossip) JoinGroup(uint64) place.Group                  { return place.Group{} }
func (noGossip) AnnounceOutcomes([]serverhealth.Outcome, bool) {}

func (noGossip) AnnounceStreamVersion(streamversion.StreamID, streamversion.Version) {}

func (noGossip) QueryStreamVersion(streamversion.Query) int { return 0 }

// engines tracks the load of all model engines, by service.
type engines struct {
	mu     sync.Mutex
	fleets map[string]*place.Fleet
	// byHash maps the hashes of engines in announcements to the engines.
	byHash map[uint32]engineKey
	// maxSegments limits the prompt segments that are remembered as cached by all engines together.
	maxSegments int
	gossip      Gossip
	// count is the number of engines of all services.
	count      int
	statements *serverStatements
	// reserveMemory is set if the KV memory of engines is reserved, and reservations has
	// the bounds of that by service.
	reserveMemory bool
	reservations  map[string]place.MemoryReservation
	// distancePrice is what it is worth to keep requests within a data centre.
	distancePrice locality.Price
}

// engineKey identifies an engine.
type engineKey struct{ service, id string }

func newEngines(s *serverStatements) *engines {
	return &engines{fleets: make(map[string]*place.Fleet), gossip: noGossip{}, statements: s}
}

// setDistancePrice sets what it is worth to keep requests within a data centre.
func (e *engines) setDistancePrice(p locality.Price) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.distancePrice = p
	for _, f := range e.fleets {
		f.SetDistancePrice(p)
	}
}

// update sets the engines to those of a new view.
func (e *engines) update(v *directory.View) {
	if v.Table == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count = 0
	e.byHash = make(map[uint32]engineKey)
	e.reservations = make(map[string]place.MemoryReservation)
	maxSegments := e.maxSegments / max(1, lo.CountBy(lo.Values(v.Servers), func(s backend.Server) bool { return s.Role != backend.NoRole }))
	for name, service := range v.Table.Services {
		if service.Engine == nil {
			continue
		}
		f := e.fleet(name)
		e.reservations[name] = place.MemoryReservation{
			Enabled: e.reserveMemory, HandleTTL: service.Engine.HandleTTL, MaxRemaining: v.Table.MaxTimeout(name),
		}
		f.SetMemoryReservation(e.reservations[name])
		var list []place.Engine
		for _, s := range v.Service(name) {
			e.byHash[place.EngineHash(s.ID)] = engineKey{service: name, id: s.ID}
			list = append(list, place.Engine{
				ID: s.ID, DataCentre: s.DataCentre, Role: s.Role, Version: streamversion.Of(s),
				KVTokens: service.Engine.KVTokens, MaxSegments: maxSegments, Slots: service.Engine.Slots, Incarnation: s.Incarnation,
			})
		}
		e.count += len(list)
		f.SetEngines(list)
		f.SetKVTransferTime(transferPerToken(service.Engine.KVTokenBytes, service.Engine.LinkMbps))
	}
}

// transferPerToken returns the transfer time of one token's KV cache over a link.
func transferPerToken(bytes, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	return time.Duration(bytes * bitsPerByte / (mbps * bitsPerMegabit) * float64(time.Second))
}

func (e *engines) fleet(service string) *place.Fleet {
	f, ok := e.fleets[service]
	if !ok {
		f = place.NewFleet()
		f.SetDistancePrice(e.distancePrice)
		e.fleets[service] = f
	}
	return f
}

// group joins and returns this gateway's group. The number of groups depends on the
// numbers of gateways and engines.
func (e *engines) group() place.Group {
	return e.gossip.JoinGroup(place.GroupCount(e.gossip.GatewayCount(), e.count))
}

// joinGroup keeps the group up to date while this gateway makes no placements.
func (e *engines) joinGroup() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group()
}

// place chooses engines for a job and, if the job is admitted, records and announces
// the placement. It returns false if no engine is eligible.
func (e *engines) place(now time.Time, service string, j place.Job, constraints place.Constraints) (place.Plan, place.Admission, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fleet(service)
	j.Group = e.group()
	p, a, ok := f.Plan(now, j, constraints)
	if ok && a.Admit {
		placement := place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: constraints.Remaining, Account: j.Account}
		f.AddPlacement(now, placement)
		e.gossip.AnnouncePlacement(placement)
		e.countSends(p)
	}
	if a.LongRoom {
		logLongRoom(service, j)
	}
	return p, a, ok
}

// countSends counts the requests of a plan against the limits of its engines.
func (e *engines) countSends(p place.Plan) {
	e.statements.countSend(p.PrefillEngine)
	if p.Split() {
		e.statements.countSend(p.DecodeEngine)
	}
}

// prefillDone records and announces that a job's prompt has been prefilled.
func (e *engines) prefillDone(service string, id place.JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, f := time.Now(), e.fleet(service)
	contended := f.PrefillContention(now, id)
	f.LocalPrefillDone(now, id)
	e.gossip.AnnouncePrefillDone(id, contended)
}

// firstToken records that the first token of a job has arrived.
func (e *engines) firstToken(service string, id place.JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, f := time.Now(), e.fleet(service)
	contended := f.PrefillContention(now, id)
	if f.FirstToken(now, id) {
		e.gossip.AnnouncePrefillDone(id, contended)
	}
}

// completed records the length of a complete answer.
func (e *engines) completed(service string, hint, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).ObserveAnswerLength(hint, events)
}

// interEventTime records the time between two stream events of an answer.
func (e *engines) interEventTime(service string, id place.JobID, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).ObserveInterEventTime(time.Now(), id, interval)
}

// contended records the contention that a server has reported. It returns false if that is
// no model engine.
func (e *engines) contended(now time.Time, s backend.Server, factor float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.fleets[s.Service]
	return ok && f.ObserveContention(now, s.ID, contention.Report{Factor: factor, At: now})
}

// contention returns the last report of an engine, with Factor 0 if there is none.
func (e *engines) contention(s backend.Server) contention.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.fleets[s.Service]
	if !ok {
		return contention.Report{}
	}
	return f.Contention(s.ID)
}

// finished removes a job from its engines and announces that it finished.
func (e *engines) finished(service string, id place.JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).JobFinished(time.Now(), id)
	e.gossip.AnnounceFinished(id)
}

// avoid makes this gateway avoid an engine that it could not reach or that failed.
// It is not announced, because with a network partition others may reach the engine.
func (e *engines) avoid(service, id string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).Avoid(id, time.Now().Add(d))
}

// silent makes this gateway avoid an engine that is silent. The time that it takes for
// the prefill of a job is then no sample.
func (e *engines) silent(service, id string, job place.JobID) {
	e.avoid(service, id, failureAvoidTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).PrefillInterrupted(job)
}

// avoidEverywhere makes all gateways avoid an engine, such as one that rejects requests.
func (e *engines) avoidEverywhere(service, id string, d time.Duration) {
	e.avoid(service, id, d)
	e.gossip.AnnounceAvoid(service, id, d)
}

// reassignDecoder chooses another decode engine for a job after the planned one
// rejected it.
func (e *engines) reassignDecoder(now time.Time, service string, j place.Job, constraints place.Constraints, p place.Plan) (place.Plan, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fleet(service)
	j.Group = e.group()
	p, ok := f.AlternateDecodeEngine(now, j, constraints, p)
	if ok {
		f.SetDecodeEngine(now, j.ID, p.DecodeEngine)
		e.statements.countSend(p.DecodeEngine)
	}
	return p, ok
}

// EngineInFlight returns how many requests of all gateways an engine has.
func (g *Gateway) EngineInFlight(service, id string) int {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	return g.engines.fleet(service).InFlight(id)
}

// EngineSpeed returns how slow an engine is compared with the others of its service.
func (g *Gateway) EngineSpeed(service, id string) roles.Speed {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	return g.engines.fleet(service).Speed(id)
}

// ExpectedMissRate returns the fraction of a service's answers, weighted by length,
// that are expected to miss their deadlines. It returns false if that is unknown.
func (g *Gateway) ExpectedMissRate(service string) (float64, bool) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	return g.engines.fleet(service).ExpectedMissRate(time.Now())
}

// engineEstimates returns what has been learned of a model engine, or nil for other servers.
func (g *Gateway) engineEstimates(now time.Time, s backend.Server) *place.EngineEstimate {
	if s.Role == backend.NoRole {
		return nil
	}
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	estimate, ok := g.engines.fleet(s.Service).EngineEstimate(now, s.ID)
	if !ok {
		return nil
	}
	return &estimate
}

// EnginePlacements returns how many requests of a service all gateways have assigned
// to engines since this process started.
func (g *Gateway) EnginePlacements(service string) int64 {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	// This gateway counts the requests of its own group; the other groups are
	// assumed to have as many each.
	return g.engines.fleet(service).Placements() * int64(max(1, g.engines.group().Count))
}

// AddCachedSegments records prompt segments that an engine reports as cached.
func (g *Gateway) AddCachedSegments(service, id string, segments []request.Segment) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	g.engines.fleet(service).AddCachedSegments(id, segments)
}

// LearnedState returns what has been learned of the engines, by service, without the
// services that have too few samples.
func (g *Gateway) LearnedState() map[string]place.Snapshot {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	all := make(map[string]place.Snapshot)
	for name, f := range g.engines.fleets {
		if s, ok := f.Snapshot(); ok {
			all[name] = s
		}
	}
	return all
}

// RestoreLearnedState loads what an earlier process has learned of the engines. It
// skips invalid state and returns an error that describes it.
func (g *Gateway) RestoreLearnedState(all map[string]place.Snapshot) error {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	var errs []error
	for name, s := range all {
		errs = append(errs, g.engines.fleet(name).Restore(s))
	}
	return errors.Join(errs...)
}

// The methods below handle announcements of other gateways.

// EngineByHash returns the engine with the given hash and its service.
func (g *Gateway) EngineByHash(hash uint32) (service, id string, ok bool) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	key, ok := g.engines.byHash[hash]
	return key.service, key.id, ok
}

// RemotePlacement records a placement by another gateway.
func (g *Gateway) RemotePlacement(service string, p place.Placement) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	g.engines.fleet(service).AddPlacement(time.Now(), p)
}

// RemotePrefillDone records that the prompt of another gateway's job has been prefilled.
func (g *Gateway) RemotePrefillDone(id place.JobID) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	now, known := time.Now(), false
	for _, f := range g.engines.fleets {
		known = f.PrefillDone(now, id) || known
	}
	if known {
		return
	}
	for _, f := range g.engines.fleets {
		f.UnknownPrefillDone(now)
	}
}

// RemoteContention records the contention that the engine which prefills another gateway's
// job has reported to that gateway.
func (g *Gateway) RemoteContention(id place.JobID, r contention.Report) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	for _, f := range g.engines.fleets {
		f.ObserveJobContention(time.Now(), id, r)
	}
}

// RemoteFinished records that another gateway's job has finished.
func (g *Gateway) RemoteFinished(id place.JobID) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	for _, f := range g.engines.fleets {
		f.JobFinished(time.Now(), id)
	}
}

// RemoteAvoid makes this gateway avoid an engine, as another gateway announced.
func (g *Gateway) RemoteAvoid(service, engine string, d time.Duration) {
	g.engines.avoid(service, engine, d)
}

// AvoidEngine makes all gateways avoid an engine while it changes its role.
func (g *Gateway) AvoidEngine(service, engine string, d time.Duration) {
	g.engines.avoidEverywhere(service, engine, d)
}

// jobID returns the ID by which gateways announce a request.
func jobID(requestID string) place.JobID { return place.JobID(xxhash.Sum64String(requestID)) }

// serverByID returns a server if it accepts new requests.
func serverByID(v *directory.View, id string) (backend.Server, bool) {
	s, ok := v.Servers[id]
	return s, ok && !s.Draining
}
