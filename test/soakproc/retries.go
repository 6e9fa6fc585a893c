package soakproc

import (
	"cmp"
	"slices"
	"time"
)

// retryWindow is the window of the retry budget.
const retryWindow = 10 * time.Second

// checkRetryBudgets checks that no service got more arrivals beyond the first of each
// request than its retry budget allows in any window. It returns the largest fraction of the
// budget that a window used, by service.
func (env *environment) checkRetryBudgets(l *requestLog) map[string]float64 {
	most := map[string]float64{}
	for _, service := range []string{plainService, modelService} {
		used, begin, extra, allowed := env.retriesUsed(l, service)
		if used > 1 {
			l.addViolation("%s got %d arrivals beyond the first of each request in the 10 s from %s, at most %.1f are allowed",
				service, extra, begin.Format(time.StampMilli), allowed)
		}
		most[service] = used
	}
	return most
}

// retriesUsed returns the largest fraction of a service's retry budget that a window used,
// when that window began, and the extra arrivals that it had and was allowed.
func (env *environment) retriesUsed(l *requestLog, service string) (used float64, begin time.Time, extra int, allowed float64) {
	arrivals := env.arrivals(service)
	times := extraTimes(arrivals)
	requests := requestTimes(arrivals, l, service)
	for _, t := range times {
		n := countWithin(times, t, retryWindow)
		bound := env.allowed(t, mostRequests(requests, t))
		if fraction := float64(n) / bound; fraction > used {
			used, begin, extra, allowed = fraction, t, n, bound
		}
	}
	return used, begin, extra, allowed
}

// arrival is a request that reached a server of a service.
type arrival struct {
	id string
	at time.Time
	// prefilled says that it was a prefill that the server accepted.
	prefilled bool
	// deadline is the time that the server had for it.
	deadline time.Duration
}

// arrivals returns the arrivals at all servers of a service by time.
func (env *environment) arrivals(service string) []arrival {
	var all []arrival
	for _, s := range env.servers {
		if s.service != service {
			continue
		}
		for _, a := range slices.Concat(s.Arrivals(), s.Misdirected()) {
			all = append(all, arrival{id: a.ID, at: a.At, prefilled: a.Prefilled, deadline: a.Deadline})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return all
}

// extraTimes returns the times of the arrivals beyond the first of each request, without
// the first prefill that a server accepted. Each prefill after that is one, also before the
// request is sent for generation.
func extraTimes(arrivals []arrival) []time.Time {
	var times []time.Time
	arrived, prefilled := map[string]bool{}, map[string]bool{}
	for _, a := range arrivals {
		switch {
		case a.prefilled && !prefilled[a.id]:
			prefilled[a.id] = true
		case a.prefilled, arrived[a.id]:
			times = append(times, a.at)
		default:
			arrived[a.id] = true
		}
	}
	return times
}

// requestTimes returns when callers sent requests for a service. A request of which there
// is no record counts from its first arrival.
func requestTimes(arrivals []arrival, l *requestLog, service string) []time.Time {
	sent := map[string]time.Time{}
	for _, a := range arrivals {
		if _, ok := sent[a.id]; !ok {
			sent[a.id] = a.at
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, got := range l.outcomes {
		if serviceOf(l.sent[id]) == service {
			sent[id] = got.sent
		}
	}
	var times []time.Time
	for _, at := range sent {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func serviceOf(r request) string {
	if r.kind == "once" || r.kind == "again" {
		return modelService
	}
	return plainService
}

// mostRequests returns the requests in the window that begins at a time, in the one before
// it or in the one half a window before it, whichever has most.
func mostRequests(requests []time.Time, begin time.Time) int {
	return max(
		countWithin(requests, begin, retryWindow),
		countWithin(requests, begin.Add(-retryWindow), retryWindow),
		countWithin(requests, begin.Add(-retryWindow/2), retryWindow),
	)
}

// countWithin returns how many of the sorted times are within a span.
func countWithin(times []time.Time, begin time.Time, length time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, begin, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, begin.Add(length), time.Time.Compare)
	return end - first
}
