package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// settleTime is how long the day is quiet before the disruption.
const settleTime = 3 * time.Second

// announceElsewise announces a server as another writer on its machine does: under a name of
// its own, and without zone, version, slots and cold_remaining_ms.
func (l *lab) announceElsewise(s *server, control int) {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "state": "ready", "seq_no": 1, "born": s.born,
	})
	id := "agent-of-" + s.id
	status, text, err := l.send(http.MethodPost, "http://"+l.controlAddress(control)+"/Instances.Heartbeat/"+id, string(body), time.Second)
	l.note("another writer announces %s: %s, answered %d %q %v", id, body, status, text, err)
}

// otherWriter lets another writer announce the servers of a service once.
func otherWriter(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(twoServices); err != nil {
		return false, err
	}
	var desks []*server
	defer func() {
		for _, s := range desks {
			s.end()
		}
	}()
	for i := range controls {
		s, err := l.startServer(fmt.Sprint("i-desk-", i), "desk", zone(i), "")
		if err != nil {
			return false, err
		}
		desks = append(desks, s)
	}
	catalogue, err := l.startServer("i-catalogue", "catalogue", zone(0), "")
	if err != nil {
		return false, err
	}
	defer catalogue.end()
	if !l.await(func() bool { return l.served("order") && l.served("look") }) {
		return false, errors.New("the services are not served")
	}
	day := &traffic{l: l}
	day.begin()
	time.Sleep(settleTime)
	for i, s := range desks {
		if trouble {
			l.announceElsewise(s, i)
		}
	}
	return day.starved(), nil
}
