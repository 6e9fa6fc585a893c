//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// pipelined is how many reads are sent in one piece. Each takes workTime, the mean of the sheet.
	pipelined = 30
	// stopAfter is how long after the requests the gateway gets SIGTERM.
	stopAfter = 250 * time.Millisecond
	// lossSlack is lossSlackMs, and routeTimeout the route's timeoutMs.
	lossSlack, routeTimeout = 200 * time.Millisecond, 800 * time.Millisecond
)

// playPipelinedStop sends reads on a kept connection without waiting for the answers, and stops the
// gateway meanwhile.
func playPipelinedStop(e *environment, trouble bool) (broken []string, err error) {
	runs := newRunLog()
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-desk%d", i+1), address: address(e.ip(10+i), serverPort), runs: runs, record: e.record}
		s.work = func(*http.Request) time.Duration { return workTime }
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
	// contactMs without any disturbance.
	time.Sleep(4 * time.Second)
	c := &caller{address: e.gateways[0].callers()}
	defer c.close()
	if a := c.exchange(e.record, [3]string{http.MethodGet, "/calendar/read", "first"}); a.status != http.StatusOK {
		return nil, fmt.Errorf("first request: %v", a)
	}
	var requests [][3]string
	for i := range pipelined {
		requests = append(requests, [3]string{http.MethodGet, "/calendar/read", fmt.Sprintf("read%02d", i+1)})
	}
	e.record.add("sent %v in one piece", requests)
	if err := c.send(1500*time.Millisecond, requests...); err != nil {
		return nil, err
	}
	sent := time.Now()
	if trouble {
		stop := time.AfterFunc(stopAfter, func() {
			e.record.add("SIGTERM to %s", e.gateways[0].name)
			_ = e.gateways[0].cmd.Process.Signal(syscall.SIGTERM)
		})
		defer stop.Stop()
	}
	var ended time.Duration
	for _, r := range requests {
		var a answer
		if c.conn != nil {
			a = c.read(r[0])
			ended = time.Since(sent)
		} else {
			a.err = fmt.Errorf("the connection is closed")
		}
		e.record.add("answer to %s: %v, ran at %v", r[2], a, runs.servers(r[2]))
		if !a.whole && ended > lossSlack && ended < routeTimeout {
			broken = append(broken, fmt.Sprintf("LOST: %s got no answer, the connection ended %v after its last byte was sent", r[2], ended))
		}
		if !a.whole && !trouble {
			return nil, fmt.Errorf("%s: %v without a stop", r[2], a)
		}
	}
	return broken, nil
}
