package availability_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/availability"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
)

func TestAvailability(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "availability")
}

func singleGateway(string, uint64) ratelimit.Rank { return ratelimit.Rank{Total: 1} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func start(incarnation int64) backend.Instance {
	return backend.Instance{ID: "s", Incarnation: incarnation}
}

func leaves(incarnation int64, at float64) availability.Response {
	return availability.Response{Server: start(incarnation), Leaving: true, ReceivedAt: seconds(at)}
}

func rests(incarnation int64, at, rest float64) availability.Response {
	return availability.Response{Server: start(incarnation), Rest: seconds(rest), ReceivedAt: seconds(at)}
}

// registered returns the lookup of a view in which one start of the server is registered.
func registered(incarnation int64) func(string) (backend.Instance, bool) {
	return func(string) (backend.Instance, bool) { return start(incarnation), true }
}

func removed(string) (backend.Instance, bool) { return backend.Instance{}, false }

var _ = Describe("a server that states that it is leaving", func() {
	var table *availability.Table
	BeforeEach(func() { table = availability.New(singleGateway) })

	It("leaves until a later start is registered", func() {
		Expect(table.Leaving(start(5))).To(BeFalse())
		Expect(table.Observe(leaves(5, 1))).To(Equal(availability.Change{Leaving: true}))
		Expect(table.Observe(leaves(5, 2))).To(Equal(availability.Change{}))
		Expect(table.Leaving(start(5))).To(BeTrue())
		Expect(table.Leaving(start(6))).To(BeFalse())
	})

	// Guards against a view that is older than the response, or that has no start time,
	// putting the server back into use.
	It("leaves also by an older view and by one without its start", func() {
		table.Observe(leaves(5, 1))
		Expect(table.Leaving(start(4))).To(BeTrue())
		Expect(table.Leaving(start(0))).To(BeTrue())
	})

	It("leaves by any view if its start is unknown", func() {
		table.Observe(leaves(0, 1))
		Expect(table.Leaving(start(0))).To(BeTrue())
		Expect(table.Leaving(start(7))).To(BeTrue())
	})

	It("is not affected by late responses of an earlier start", func() {
		table.Observe(leaves(5, 1))
		table.Observe(rests(6, 2, 3))
		Expect(table.Observe(leaves(5, 3))).To(Equal(availability.Change{}))
		Expect(table.Leaving(start(6))).To(BeFalse())
		Expect(table.RestUntil(seconds(3), start(6))).To(Equal(seconds(5)))
	})

	// Guards against a server that is used again because its object expired in an outage
	// of the store, or because a stale read returned an older one.
	It("is still leaving when it, or an earlier start, is registered again", func() {
		table.Observe(leaves(5, 1))
		table.Update(seconds(2), registered(6))
		Expect(table.Leaving(start(6))).To(BeFalse())
		Expect(table.Leaving(start(5))).To(BeTrue())
		table.Update(seconds(3), removed)
		table.Update(seconds(60), removed)
		Expect(table.Leaving(start(5))).To(BeTrue())
		table.Update(seconds(61), registered(5))
		table.Update(seconds(661), removed)
		Expect(table.Leaving(start(5))).To(BeTrue())
		table.Update(seconds(1261), removed)
		Expect(table.Len()).To(BeZero())
	})

	It("is reported once when a later start replaces it", func() {
		table.Observe(leaves(5, 1))
		Expect(table.Update(seconds(2), registered(5))).To(BeEmpty())
		Expect(table.Update(seconds(3), registered(6))).To(Equal([]backend.Instance{start(5)}))
		Expect(table.Update(seconds(4), registered(6))).To(BeEmpty())
	})

	It("is counted while it is registered", func() {
		count := func() int {
			leaving, _ := table.Counts(seconds(2))
			return leaving
		}
		table.Observe(leaves(5, 1))
		Expect(count()).To(Equal(1))
		table.Update(seconds(2), registered(6))
		Expect(count()).To(BeZero())
		table.Update(seconds(2), removed)
		Expect(count()).To(BeZero())
	})

	It("is remembered for a bounded number of removed servers", func() {
		for n := range 6_000 {
			table.Observe(availability.Response{Server: backend.Instance{ID: fmt.Sprint(n), Incarnation: 1}, Leaving: true, ReceivedAt: seconds(float64(n))})
		}
		table.Update(seconds(6_000), func(id string) (backend.Instance, bool) { return backend.Instance{ID: id, Incarnation: 1}, true })
		Expect(table.Len()).To(Equal(6_000))
		table.Update(seconds(6_001), removed)
		Expect(table.Len()).To(Equal(4_096))
	})
})

var _ = Describe("a server that asks for rest", func() {
	var table *availability.Table
	BeforeEach(func() { table = availability.New(singleGateway) })

	It("rests from the response on for as long as it states", func() {
		Expect(table.Observe(rests(1, 10, 2.5))).To(Equal(availability.Change{Rest: true, RestUntil: seconds(12.5)}))
		Expect(table.RestUntil(seconds(10), start(1))).To(Equal(seconds(12.5)))
		Expect(table.RestUntil(seconds(12.4), start(1))).To(Equal(seconds(12.5)))
		Expect(table.RestUntil(seconds(12.5), start(1))).To(BeZero())
		table.Update(seconds(12.5), registered(1))
		Expect(table.Len()).To(BeZero())
	})

	// Guards against a short rest that cuts off a longer one: the two responses were
	// under way together.
	It("rests longer by a second response, never shorter", func() {
		table.Observe(rests(1, 10, 3))
		Expect(table.Observe(rests(1, 10.1, 0.5))).To(Equal(availability.Change{RestUntil: seconds(13)}))
		Expect(table.RestUntil(seconds(12), start(1))).To(Equal(seconds(13)))
		Expect(table.Observe(rests(1, 12, 3))).To(Equal(availability.Change{Rest: true, RestUntil: seconds(15)}))
		Expect(table.RestUntil(seconds(14), start(1))).To(Equal(seconds(15)))
	})

	It("rests no longer after a restart", func() {
		table.Observe(rests(1, 10, 3))
		Expect(table.RestUntil(seconds(11), start(2))).To(BeZero())
		table.Observe(rests(2, 11, 1))
		Expect(table.RestUntil(seconds(11), start(2))).To(Equal(seconds(12)))
	})

	It("rests on while it is removed", func() {
		table.Observe(rests(1, 10, 1000))
		table.Update(seconds(11), removed)
		table.Update(seconds(900), removed)
		Expect(table.RestUntil(seconds(900), start(1))).To(Equal(seconds(1010)))
		table.Update(seconds(1010), removed)
		Expect(table.Len()).To(BeZero())
	})
})

var _ = Describe("the status of a server", func() {
	var table *availability.Table
	BeforeEach(func() { table = availability.New(singleGateway) })
	limit := func() {
		table.Limits.Add(seconds(0), ratelimit.Notice{Server: start(1), Limited: true, PerSecond: 1, RequestedAt: seconds(-1), ReceivedAt: 0})
	}

	It("is available without statements", func() {
		Expect(table.Check(0, start(1)).Available()).To(BeTrue())
		Expect(table.Withdrawn(0, start(1)).Available()).To(BeTrue())
	})

	It("has the statement that ends last", func() {
		limit()
		Expect(table.Check(0, start(1))).To(Equal(availability.Status{Reason: availability.Limited, Until: seconds(1)}))
		table.Observe(rests(1, 0, 3))
		Expect(table.Check(0, start(1))).To(Equal(availability.Status{Reason: availability.Resting, Until: seconds(3)}))
		table.Observe(leaves(1, 0))
		Expect(table.Check(0, start(1))).To(Equal(availability.Status{Reason: availability.Leaving}))
		Expect(table.Check(0, start(2)).Reason).To(Equal(availability.Limited))
	})

	// Guards against a request that is withheld because it has itself been counted against
	// the server's limit.
	It("is not withdrawn because of a limit", func() {
		limit()
		Expect(table.Withdrawn(0, start(1)).Available()).To(BeTrue())
		table.Observe(rests(1, 0, 3))
		Expect(table.Withdrawn(0, start(1)).Reason).To(Equal(availability.Resting))
	})

	It("is earlier the sooner the server may be asked", func() {
		available := availability.Status{}
		limited := availability.Status{Reason: availability.Limited, Until: seconds(5)}
		resting := availability.Status{Reason: availability.Resting, Until: seconds(3)}
		leaving := availability.Status{Reason: availability.Leaving}
		ordered := []availability.Status{available, resting, limited, leaving}
		for i, a := range ordered {
			for j, b := range ordered {
				Expect(a.Earlier(b)).To(Equal(i < j), "%v before %v", a.Reason, b.Reason)
			}
		}
	})
})

// history is a simple model of the table: all responses, searched for each question.
type history []availability.Response

// binding returns the responses that bind requests to a start: those of the latest start
// that stated anything, unless the given one is later.
func (h history) binding(server backend.Instance) history {
	var latest int64
	for _, r := range h {
		latest = max(latest, r.Server.Incarnation)
	}
	if server.Incarnation > latest {
		return nil
	}
	var out history
	for _, r := range h {
		if r.Server.Incarnation == latest {
			out = append(out, r)
		}
	}
	return out
}

// prune returns no responses if those of the latest start bind no requests any more.
func (h history) prune(now time.Duration) history {
	earliest := backend.Instance{}
	if h.leaving(earliest) || h.restUntil(now, earliest) > 0 {
		return h
	}
	return nil
}

func (h history) leaving(server backend.Instance) bool {
	for _, r := range h.binding(server) {
		if r.Leaving {
			return true
		}
	}
	return false
}

func (h history) restUntil(now time.Duration, server backend.Instance) time.Duration {
	var until time.Duration
	for _, r := range h.binding(server) {
		if end := r.ReceivedAt + r.Rest; r.Rest > 0 && end > now {
			until = max(until, end)
		}
	}
	return until
}

// Guards against any order of responses, restarts and stale views that brings a server
// back into use.
func TestStatementsMatchTheHistoryOfResponses(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0))
		table := availability.New(singleGateway)
		var responses history
		now := time.Duration(0)
		for step := range 60 {
			now += time.Duration(r.Int64N(int64(time.Second)))
			server := start(1 + r.Int64N(3))
			switch r.IntN(4) {
			case 0:
				responses = append(responses, leaves(server.Incarnation, now.Seconds()))
				table.Observe(responses[len(responses)-1])
			case 1:
				responses = append(responses, rests(server.Incarnation, now.Seconds(), 4*r.Float64()))
				table.Observe(responses[len(responses)-1])
			case 2:
				table.Update(now, registered(server.Incarnation))
				responses = responses.prune(now)
			case 3:
				table.Update(now, removed)
				responses = responses.prune(now)
			}
			for incarnation := range int64(4) {
				asked := start(incarnation + 1)
				if got, want := table.Leaving(asked), responses.leaving(asked); got != want {
					t.Fatalf("seed %d, step %d, start %d: leaving %v, want %v", seed, step, asked.Incarnation, got, want)
				}
				if got, want := table.RestUntil(now, asked), responses.restUntil(now, asked); got != want {
					t.Fatalf("seed %d, step %d, start %d: rests until %v, want %v", seed, step, asked.Incarnation, got, want)
				}
			}
		}
	}
}
