package retry

import (
	"slices"
	"time"
)

// maxTransit is how long a link is assumed to hold an attempt back at most, if its server
// answers nothing meanwhile. Without it, a server that is gone for good would keep parts of the
// limit held.
const maxTransit = 30 * time.Second

// Transit has requests with attempts that ended before their servers had answered, whoever
// closed the connection. A link, or a proxy on it, may have taken the bytes of such an attempt
// and deliver them at any later time. It has delivered them once the server answers an attempt that was sent later:
// extra attempts count as made then, and until then as if they could be made at any moment.
type Transit struct {
	// byServer has the attempts by the address of their server.
	byServer map[string][]transitAttempt
	count    int
}

// Unanswered is an attempt that ended before its server had answered.
type Unanswered struct {
	// Address is that of the server, IP:PORT.
	Address string
	// EndedAt is when the attempt ended.
	EndedAt time.Time
}

type transitAttempt struct {
	endedAt time.Time
	request *transitRequest
}

// transitRequest is a request with attempts in transit.
type transitRequest struct {
	service string
	// extra is the number of extra attempts among the attempts in transit.
	extra, attempts int
}

// arrived records that one of the attempts has arrived, and returns how many extra attempts
// have been made with it.
func (r *transitRequest) arrived() int {
	r.attempts--
	made := r.extra - min(r.extra, r.attempts)
	r.extra -= made
	return made
}

// Add adds the unanswered attempts of a request for a service, of which the given number are
// extra attempts.
func (t *Transit) Add(service string, extra int, attempts []Unanswered) {
	if t.byServer == nil {
		t.byServer = make(map[string][]transitAttempt)
	}
	r := &transitRequest{service: service, extra: extra, attempts: len(attempts)}
	for _, a := range attempts {
		t.byServer[a.Address] = append(t.byServer[a.Address], transitAttempt{endedAt: a.EndedAt, request: r})
		t.count++
	}
}

// Len returns the number of attempts in transit.
func (t *Transit) Len() int { return t.count }

// Answered records that the server at an address has answered an attempt that was sent at a
// time. It returns the services of the extra attempts that have been made with that, one entry
// for each.
func (t *Transit) Answered(address string, sent time.Time) (services []string) {
	return t.remove(address, func(a transitAttempt) bool { return !a.endedAt.After(sent) })
}

// Expire takes attempts for made that have been in transit for maxTransit. It returns what
// Answered does.
func (t *Transit) Expire(now time.Time) (services []string) {
	for address := range t.byServer {
		services = append(services, t.remove(address, func(a transitAttempt) bool { return now.Sub(a.endedAt) >= maxTransit })...)
	}
	return services
}

// remove removes the attempts at a server that have arrived.
func (t *Transit) remove(address string, arrived func(transitAttempt) bool) (services []string) {
	left := slices.DeleteFunc(t.byServer[address], func(a transitAttempt) bool {
		if !arrived(a) {
			return false
		}
		t.count--
		for range a.request.arrived() {
			services = append(services, a.request.service)
		}
		return true
	})
	if len(left) == 0 {
		delete(t.byServer, address)
		return services
	}
	t.byServer[address] = left
	return services
}
