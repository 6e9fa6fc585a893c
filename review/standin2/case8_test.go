//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"time"
)

// playAsterisk asks for the options of the whole server, which no route has.
func playAsterisk(e *environment, trouble bool) (broken []string, err error) {
	runs := newRunLog()
	s := &server{id: "i-desk1", address: address(e.ip(10), serverPort), runs: runs, record: e.record}
	s.work = func(*http.Request) time.Duration { return workTime }
	if err := s.serve(e); err != nil {
		return nil, err
	}
	e.register(s.id, "booking-desk", s.address, "", 6)
	e.configureDesk()
	g, err := e.startGateway(1)
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	c := &caller{address: g.callers()}
	defer c.close()
	requests := [][3]string{{http.MethodGet, "/calendar/read", "read1"}, {http.MethodOptions, "/nowhere/", "none1"}, {http.MethodPost, "/hold/day", "hold1"}}
	if trouble {
		requests = append(requests, [3]string{http.MethodOptions, "*", "options1"})
	}
	for _, r := range requests {
		a := c.exchange(e.record, r)
		if a.status >= 200 && a.status < 300 && a.seal != sealOf(r[2]) {
			broken = append(broken, fmt.Sprintf("MIXED: %s %s got %v, ran at %v", r[0], r[1], a, runs.servers(r[2])))
		}
	}
	return broken, nil
}
