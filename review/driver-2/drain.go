package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	drainBound = 2 * time.Second // drain_ms
	clockStep  = 2 * time.Second // by which the time of day jumps back
)

// steppedClock: a server starts again under its id after the time of day of its machine has
// jumped back, so that its start is earlier than that of its boot before. Then it drains.
func steppedClock(l *lab) (bool, error) {
	if err := l.up(3, 2, manifest(1, []routeSpec{{"look", "safe", "desk", 2000, 2, false}}, []serviceSpec{{name: "desk"}})); err != nil {
		return false, err
	}
	var list []*server
	for _, zone := range l.zones {
		s, err := l.newServer("i-"+zone+"1", "desk", zone, 12, 5*time.Millisecond, "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		list = append(list, s)
	}
	time.Sleep(2 * time.Second)
	l.load("/look/", 40, 2*time.Second, 0, 1)
	time.Sleep(time.Second)
	s := list[1]
	// The server goes down and up twice, with a period of 1.4 s, and the time of day jumps back
	// between the two starts.
	s.end()
	time.Sleep(500 * time.Millisecond)
	if err := s.begin(); err != nil {
		return false, err
	}
	time.Sleep(900 * time.Millisecond)
	s.end()
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		s.step = -clockStep
		l.note("the time of day of the machine of %s jumps back by %v", s.id, clockStep)
	}
	if err := s.begin(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	var acked time.Time
	for node := 0; acked.IsZero() && node < 9; node++ {
		status, answer, _, err := send(http.MethodPost, "http://"+l.controlAddress(node%3)+"/Instances.Heartbeat/"+s.id, nil, string(s.announcement()), time.Second)
		l.note("%s says that it is draining to control-%d: status %d %q %v", s.id, node%3, status, answer, err != nil)
		if err == nil && status == http.StatusOK {
			acked = time.Now()
		}
	}
	if acked.IsZero() {
		return false, fmt.Errorf("the draining was not acknowledged")
	}
	time.Sleep(time.Until(acked.Add(drainBound)))
	from := time.Now()
	time.Sleep(4 * time.Second)
	late := len(s.since(from))
	l.note("requests that reached %s later than %v after its draining was acknowledged: %d", s.id, drainBound, late)
	return late > 0, nil
}
