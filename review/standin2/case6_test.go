//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// requestsPer10s is the load of day-hold (23.1 a second) and calendar-read (10) on the sheet.
	requestsPer10s = 331
	// extraEvery is one in how many answers of a faulty server is followed by an extra one:
	// x = 0.03 of the site file.
	extraEvery = 34
	// A spell of extra answers lasts for_s = 5 of the site file, and there are spellCount.
	spellTime, spellPause = 5 * time.Second, 3 * time.Second
	spellCount            = 6
	// workTime is the mean work of both kinds of request.
	workTime = 15 * time.Millisecond
	// extraRefusal is an answer of a server that sheds, as fleetbench wire prints it.
	extraRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// playExtraRefusal has two of four servers follow one in 34 of their answers with an extra
// response, which arrives where the next one is expected.
func playExtraRefusal(e *environment, trouble bool) (broken []string, err error) {
	runs := newRunLog()
	began := time.Now()
	inSpell := func() bool {
		at := time.Since(began) % (spellTime + spellPause)
		return trouble && at >= spellPause
	}
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-desk%d", i+1), address: address(e.ip(10+i), serverPort), runs: runs, record: e.record}
		s.work = func(*http.Request) time.Duration { return workTime }
		if i < 2 {
			s.extra = func(answers int) string {
				if inSpell() && answers%extraEvery == 0 {
					return extraRefusal
				}
				return ""
			}
		}
		if err := s.serve(e); err != nil {
			return nil, err
		}
		e.register(s.id, "booking-desk", s.address, "", 6)
	}
	e.configureDesk()
	for n := 1; n <= 2; n++ {
		if _, err := e.startGateway(n); err != nil {
			return nil, err
		}
	}
	began = time.Now()
	var mu sync.Mutex
	answers := make(map[string]answer)
	var callers sync.WaitGroup
	end := began.Add(spellCount * (spellTime + spellPause))
	const callersPerGateway = 4
	for n, g := range e.gateways {
		for i := range callersPerGateway {
			callers.Go(func() {
				c := &caller{address: g.callers()}
				defer c.close()
				interval := time.Second * 2 * callersPerGateway * 10 / requestsPer10s
				for k := 0; time.Now().Before(end); k++ {
					id := fmt.Sprintf("%d%d%04d", n, i, k)
					r := [3]string{http.MethodPost, "/hold/day", "hold" + id}
					if k%10 >= 7 {
						r = [3]string{http.MethodGet, "/calendar/read", "read" + id}
					}
					a := c.exchange(e.record, r)
					mu.Lock()
					answers[r[2]] = a
					mu.Unlock()
					time.Sleep(interval)
				}
			})
		}
	}
	callers.Wait()
	time.Sleep(time.Second)
	served := 0
	for id, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		ran := runs.servers(id)
		if id[:4] != "hold" {
			continue
		}
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %v, the caller got %v", id, ran, a))
		}
		if len(ran) > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s ran at %v, the caller got %v", id, ran, a))
		}
	}
	e.record.add("%d requests, %d served", len(answers), served)
	if served < len(answers)/2 {
		return nil, fmt.Errorf("%d of %d requests served", served, len(answers))
	}
	return broken, nil
}

// exchange sends one request and reads its answer.
func (c *caller) exchange(record *recorder, r [3]string) answer {
	record.add("sent %s %s %s to %s", r[0], r[1], r[2], c.address)
	a := answer{}
	if a.err = c.send(1500*time.Millisecond, r); a.err != nil {
		c.close()
	} else {
		a = c.read(r[0])
	}
	record.add("answer to %s: %v", r[2], a)
	return a
}

// configureDesk writes a configuration with the routes of the plain service.
func (e *environment) configureDesk() {
	e.configure(1, []route{
		{"day-hold", "/hold/", "unsafe", "booking-desk", 800, 1, false, false},
		{"calendar-read", "/calendar/", "safe", "booking-desk", 800, 2, false, false},
	}, []map[string]any{{"name": "booking-desk", "healthPath": "/health", "maxConns": 200}})
}
