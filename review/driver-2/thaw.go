package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	coldPerS    = 32.0 // cold_per_s
	coldOverage = 1.5  // cold_overage
	coldSlack   = 5    // cold_slack
	coldStart   = 3 * time.Second
	entryFreeze = 4 * time.Second
	orderLimit  = 4 * time.Second
)

// thawedEntry: an entry stands still while a server is started anew under its id and address.
// As the entry wakes, it takes the server for what it was, and sends it all the requests that
// wait, although it is cold. Several rounds are played, since the news may come first.
func thawedEntry(l *lab) (bool, error) {
	routes := []routeSpec{{"order", "unsafe", "desk", 4000, 1, true}, {"look", "safe", "desk", 2000, 2, true}}
	if err := l.up(3, 2, manifest(1, routes, []serviceSpec{{name: "desk", coldPerS: coldPerS}})); err != nil {
		return false, err
	}
	s, err := l.newServer("i-b1", "desk", "b", 48, 60*time.Millisecond, "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	s.cold = coldStart
	time.Sleep(2 * time.Second)
	l.load("/look/", 6, 2*time.Second, 0, 1)
	time.Sleep(2 * time.Second)
	for round := 1; time.Since(l.start) < 95*time.Second; round++ {
		from := time.Now()
		if l.trouble {
			l.signal("entry-0", syscall.SIGSTOP)
		}
		time.Sleep(1500 * time.Millisecond)
		if l.trouble {
			s.end()
			l.note("%s crashed", s.id)
		}
		var orders sync.WaitGroup
		for i := range 150 {
			orders.Go(func() {
				id := fmt.Sprintf("order%d%04d", round, i)
				status, _, _, err := l.request(0, id, "/order/"+id, "order", orderLimit)
				l.note("client: %s by entry-0: status %d failed %v", id, status, err != nil)
			})
			time.Sleep(12 * time.Millisecond)
		}
		time.Sleep(time.Until(from.Add(entryFreeze - 300*time.Millisecond)))
		if l.trouble {
			if err := s.begin(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(from.Add(entryFreeze)))
		if l.trouble {
			l.signal("entry-0", syscall.SIGCONT)
		}
		orders.Wait()
		time.Sleep(coldStart + 500*time.Millisecond)
		if l.mostWhileCold(round, s, from) > coldPerS*coldOverage+coldSlack {
			return true, nil
		}
	}
	return false, nil
}

// mostWhileCold returns the most requests that reached a server in one second while it was
// cold.
func (l *lab) mostWhileCold(round int, s *server, from time.Time) float64 {
	var cold []time.Time
	orders := 0
	for _, a := range s.since(from) {
		if a.cold {
			cold = append(cold, a.at)
		}
		if strings.HasPrefix(a.path, "/order/") {
			orders++
		}
	}
	most := 0
	for i := range cold {
		n := 0
		for n < len(cold)-i && cold[i+n].Sub(cold[i]) < time.Second {
			n++
		}
		most = max(most, n)
	}
	l.note("round %d: the most requests that %s got in a second while it was cold: %d, where %.0f are allowed; %d orders ran", round, s.id, most, coldPerS*coldOverage+coldSlack, orders)
	return float64(most)
}
