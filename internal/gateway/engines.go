package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// Share tells the other entries what this one does at the engines. Its methods
// do not block.
type Gossip interface {
	AnnouncePlacement(p place.Placement)
	AnnouncePrefillDone(id place.JobID)
	AnnounceFinished(id place.JobID)
	// Avoid tells that an engine refuses work for a while.
	AnnounceAvoid(service, engine string, d time.Duration)
	// ServerEnded tells all that a server ended under a request, or that it ended well;
	// ServerEndedAgain tells some of them once more.
	AnnounceTermination(e quarantine.Evidence)
	ReannounceTermination(e quarantine.Evidence)
	// ServerLimit tells all what a server said of its limit; ServerLimitAgain tells some
	// of them once more.
	AnnounceServerLimit(n ratelimit.Notice)
	ReannounceServerLimit(n ratelimit.Notice)
	// RankFor ranks this entry among those that could send to a server.
	RankFor(server string, round uint64) ratelimit.Rank
	// Membership differs from an earlier one if ranks may have changed since.
	MembershipVersion() uint64
	// Count returns how many entries there are, this one included.
	GatewayCount() int
	// JoinGroup returns this entry's group among a number of groups. From then
	// on placements and their ends are told to its entries only.
	JoinGroup(count uint64) place.Group
}

// noShare is the Share of an entry that has no others.
type noShare struct{}

func (noShare) AnnouncePlacement(place.Placement)           {}
func (noShare) AnnouncePrefillDone(place.JobID)             {}
func (noShare) AnnounceFinished(place.JobID)                {}
func (noShare) AnnounceAvoid(string, string, time.Duration) {}
func (noShare) AnnounceTermination(quarantine.Evidence)     {}
func (noShare) ReannounceTermination(quarantine.Evidence)   {}
func (noShare) AnnounceServerLimit(ratelimit.Notice)        {}
func (noShare) ReannounceServerLimit(ratelimit.Notice)      {}
func (noShare) RankFor(string, uint64) ratelimit.Rank       { return ratelimit.Rank{Total: 1} }
func (noShare) MembershipVersion() uint64                   { return 0 }
func (noShare) GatewayCount() int                           { return 1 }
func (noShare) JoinGroup(uint64) place.Group                { return place.Group{} }

// engines is the load of all model engines, by service.
type engines struct {
	mu     sync.Mutex
	fleets map[string]*place.Fleet
	// names are the engines by their hashes.
	names map[uint32]engineName
	share Gossip
	// count is how many engines there are.
	count  int
	limits *limits
}

// engineName names an engine.
type engineName struct{ service, id string }

func newEngines(l *limits) *engines {
	return &engines{fleets: make(map[string]*place.Fleet), share: noShare{}, limits: l}
}

// update takes in the servers and services of a new view.
func (e *engines) update(v *directory.View) {
	if v.Table == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count = 0
	e.names = make(map[uint32]engineName)
	for name, service := range v.Table.Services {
		if service.Engine == nil {
			continue
		}
		f := e.fleet(name)
		var list []place.Engine
		for _, s := range v.Service(name) {
			e.names[place.EngineHash(s.ID)] = engineName{service: name, id: s.ID}
			list = append(list, place.Engine{
				ID: s.ID, DataCentre: s.DataCentre, Role: s.Role,
				KVTokens: service.Engine.KVTokens, Slots: service.Engine.Slots, Incarnation: s.Incarnation,
			})
		}
		e.count += len(list)
		f.SetEngines(list)
		f.SetKVTransferTime(transferPerToken(service.Engine.KVTokenBytes, service.Engine.LinkMbps))
	}
}

// transferPerToken is how long one token's KV cache takes over a link.
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
		e.fleets[service] = f
	}
	return f
}

// group returns this entry's group.
func (e *engines) group() place.Group {
	return e.share.JoinGroup(place.GroupCount(e.share.GatewayCount(), e.count))
}

// joinGroup has this entry take in its group, also while it places nothing.
func (e *engines) joinGroup() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group()
}

// place chooses engines for a job and, if it is let in, notes that it goes
// there. It returns false if no engine could run it.
func (e *engines) place(now time.Time, service string, j place.Job, u place.Constraints) (place.Plan, place.Admission, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fleet(service)
	j.Group = e.group()
	p, a, ok := f.Plan(now, j, u)
	if ok && a.Admit {
		placement := place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: u.Remaining}
		f.AddPlacement(now, placement)
		e.share.AnnouncePlacement(placement)
		e.takeFrom(p)
	}
	return p, a, ok
}

// takeFrom notes the sends of a plan at engines with limits.
func (e *engines) takeFrom(p place.Plan) {
	e.limits.take(p.PrefillEngine)
	if p.Split() {
		e.limits.take(p.DecodeEngine)
	}
}

func (e *engines) readDone(service string, id place.JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).LocalPrefillDone(time.Now(), id)
	e.share.AnnouncePrefillDone(id)
}

// firstToken notes that the answer to a job begins.
func (e *engines) firstToken(service string, id place.JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fleet(service).FirstToken(time.Now(), id) {
		e.share.AnnouncePrefillDone(id)
	}
}

// answered notes a whole answer.
func (e *engines) answered(service string, hint, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).ObserveAnswerLength(hint, events)
}

// event notes the time between two events of an answer.
func (e *engines) event(service string, id place.JobID, gap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).ObserveInterEventTime(time.Now(), id, gap)
}

func (e *engines) ended(service string, id place.JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).JobFinished(time.Now(), id)
	e.share.AnnounceFinished(id)
}

// avoid keeps an engine out that this entry could not reach or that failed it.
// Others may reach it: a partition is seen from one side.
func (e *engines) avoid(service, id string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet(service).Avoid(id, time.Now().Add(d))
}

// refused keeps an engine out that refuses work, for all entries.
func (e *engines) refused(service, id string, d time.Duration) {
	e.avoid(service, id, d)
	e.share.AnnounceAvoid(service, id, d)
}

// otherDecoder moves a job to another engine after its first refused.
func (e *engines) otherDecoder(now time.Time, service string, j place.Job, u place.Constraints, p place.Plan) (place.Plan, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fleet(service)
	j.Group = e.group()
	p, ok := f.AlternateDecodeEngine(now, j, u, p)
	if ok {
		f.SetDecodeEngine(now, j.ID, p.DecodeEngine)
		e.limits.take(p.DecodeEngine)
	}
	return p, ok
}

// EngineWork returns how many requests an engine has, of all entries.
func (g *Gateway) EngineInFlight(service, id string) int {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	return g.engines.fleet(service).InFlight(id)
}

// EnginePace returns how slow an engine is, compared with the others of its service.
func (g *Gateway) EngineSpeed(service, id string) roles.Speed {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	return g.engines.fleet(service).Speed(id)
}

// EngineMisses returns the part of a service's answers, by length, that is expected to
// miss its deadline; false while that is not known.
func (g *Gateway) ExpectedMissRate(service string) (float64, bool) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	return g.engines.fleet(service).ExpectedMissRate(time.Now())
}

// engineBelief is what is learned of a model engine, nil for other servers.
func (g *Gateway) engineBelief(now time.Time, s backend.Server) *place.EngineEstimate {
	if s.Role == backend.NoRole {
		return nil
	}
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	b, ok := g.engines.fleet(s.Service).EngineEstimate(now, s.ID)
	if !ok {
		return nil
	}
	return &b
}

// EngineRequests returns how many requests of a service all entries have placed
// since this one was started.
func (g *Gateway) EnginePlacements(service string) int64 {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	// This entry hears of its group's; the other groups have as many.
	return g.engines.fleet(service).Placements() * int64(max(1, g.engines.group().Count))
}

// EngineKeeps notes parts of prompts that an engine said it keeps.
func (g *Gateway) AddCachedSegments(service, id string, parts []request.Segment) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	g.engines.fleet(service).AddCachedSegments(id, parts)
}

// LearnedState returns what was learned of the engines, by service; empty while too
// little was seen.
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

// RestoreLearned takes over what an earlier process has learned of the engines. The
// error says what could not be used.
func (g *Gateway) RestoreLearned(all map[string]place.Snapshot) error {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	var errs []error
	for name, s := range all {
		errs = append(errs, g.engines.fleet(name).Restore(s))
	}
	return errors.Join(errs...)
}

// The methods below take in what other entries tell.

// Engine returns the engine with a hash, and its service.
func (g *Gateway) EngineByHash(hash uint32) (service, id string, ok bool) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	name, ok := g.engines.names[hash]
	return name.service, name.id, ok
}

// RemotePlaced notes a job of another entry.
func (g *Gateway) RemotePlacement(service string, p place.Placement) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	g.engines.fleet(service).AddPlacement(time.Now(), p)
}

// RemoteReadDone notes that another entry's prompt has been read.
func (g *Gateway) RemotePrefillDone(id place.JobID) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	for _, f := range g.engines.fleets {
		f.PrefillDone(time.Now(), id)
	}
}

// RemoteEnded notes that another entry's job has ended.
func (g *Gateway) RemoteFinished(id place.JobID) {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	for _, f := range g.engines.fleets {
		f.JobFinished(time.Now(), id)
	}
}

// RemoteAvoid notes that an engine refuses work for a while.
func (g *Gateway) RemoteAvoid(service, engine string, d time.Duration) {
	g.engines.avoid(service, engine, d)
}

// EngineAway keeps an engine out, for all entries, while it changes its role.
func (g *Gateway) AvoidEngine(service, engine string, d time.Duration) {
	g.engines.refused(service, engine, d)
}

// jobID is the id under which entries tell each other of a request.
func jobID(requestID string) place.JobID { return place.JobID(xxhash.Sum64String(requestID)) }

// serverByID finds a server that may get new requests.
func serverByID(v *directory.View, id string) (backend.Server, bool) {
	s, ok := v.Servers[id]
	return s, ok && !s.Draining
}
