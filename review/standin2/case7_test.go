//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// slowWork is a work of 110 ms, the longest of the sheet, at a server that is slow by the
	// site file's factor of 5.
	slowWork = 550 * time.Millisecond
	// stopAfter is how long after the requests the gateway gets SIGTERM.
	stopAfter = 100 * time.Millisecond
	// lossSlack is lossSlackMs.
	lossSlack = 200 * time.Millisecond
)

// playPipelinedStop sends two reads on a kept connection, the second before the answer to the
// first, and then stops the gateway.
func playPipelinedStop(e *environment, trouble bool) (broken []string, err error) {
	runs := newRunLog()
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-desk%d", i+1), address: address(e.ip(10+i), serverPort), runs: runs, record: e.record}
		s.work = func(r *http.Request) time.Duration {
			if strings.HasSuffix(r.URL.Path, "/slow") {
				return slowWork
			}
			return workTime
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
	// contactMs without any disturbance.
	time.Sleep(4 * time.Second)
	c := &caller{address: e.gateways[0].callers()}
	defer c.close()
	if a := c.exchange(e.record, [3]string{http.MethodGet, "/calendar/read", "first"}); a.status != http.StatusOK {
		return nil, fmt.Errorf("first request: %v", a)
	}
	requests := [][3]string{{http.MethodGet, "/calendar/slow", "slow"}, {http.MethodGet, "/calendar/read", "behind"}}
	e.record.add("sent %v in one piece", requests)
	if err := c.send(1500*time.Millisecond, requests...); err != nil {
		return nil, err
	}
	sent := time.Now()
	if trouble {
		time.Sleep(stopAfter)
		e.record.add("SIGTERM to %s", e.gateways[0].name)
		_ = e.gateways[0].cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, r := range requests {
		var a answer
		if c.conn != nil {
			a = c.read(r[0])
		} else {
			a.err = fmt.Errorf("the connection is closed")
		}
		took := time.Since(sent)
		e.record.add("answer to %s after %v: %v, ran at %v", r[2], took, a, runs.servers(r[2]))
		if !a.whole && took > lossSlack {
			broken = append(broken, fmt.Sprintf("LOST: %s got no answer, the connection ended %v after its last byte was sent", r[2], took))
		}
	}
	return broken, nil
}
