//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const twoServices = `{"version":1,"routes":[
{"name":"order","host":"cases.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1,"public":true},
{"name":"look","host":"cases.example","path_prefix":"/look/","kind":"safe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"catalogue","max_attempts":2,"public":true}],
"services":[{"name":"desk","health_path":"/health","max_connections":130,"protocol":"h1","tls":false},{"name":"catalogue","health_path":"/health","max_connections":130,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// serverCutTime is how long the path between the servers and one control process is cut.
	serverCutTime = 10 * time.Second
	// deskServers is the number of servers of the service that is restarted.
	deskServers = 2
	// drainTime is how long a server serves on after its departure was acknowledged.
	drainTime = 2600 * time.Millisecond
	// downTime is how long a server takes to start again.
	downTime = 300 * time.Millisecond
	// dayLength is how long requests are sent.
	dayLength = 80 * time.Second
	// A round of requests is one order and some looks.
	roundTime     = 250 * time.Millisecond
	looksPerRound = 4
)

// kindCount counts the requests of a kind.
type kindCount struct{ asked, served atomic.Int64 }

// traffic sends requests of two kinds until the end of the day.
type traffic struct {
	l            *lab
	orders       kindCount
	looks        kindCount
	ends, rounds sync.WaitGroup
}

func (t *traffic) begin() {
	t.ends.Go(func() {
		for end := time.Now().Add(dayLength); time.Now().Before(end); time.Sleep(roundTime) {
			t.rounds.Go(func() { t.request("order", &t.orders) })
			for range looksPerRound {
				t.rounds.Go(func() { t.request("look", &t.looks) })
			}
		}
		t.rounds.Wait()
	})
}

func (t *traffic) request(kind string, count *kindCount) {
	count.asked.Add(1)
	status, text, err := t.l.send(http.MethodPost, "http://"+t.l.entryAddress(0)+"/"+kind+"/1", "x", 1200*time.Millisecond)
	if err == nil && status == http.StatusOK {
		count.served.Add(1)
		return
	}
	t.l.note("%s not served: %d %q %v", kind, status, text, err)
}

// starved waits for the end of the day and reports whether orders were served less than a
// quarter as often as all requests.
func (t *traffic) starved() bool {
	t.ends.Wait()
	orders, looks := &t.orders, &t.looks
	t.l.note("served %d of %d orders and %d of %d looks", orders.served.Load(), orders.asked.Load(), looks.served.Load(), looks.asked.Load())
	share := float64(orders.served.Load()) / float64(orders.asked.Load())
	all := float64(orders.served.Load()+looks.served.Load()) / float64(orders.asked.Load()+looks.asked.Load())
	t.l.note("share of orders served %.3f, of all requests %.3f", share, all)
	return share < all/4
}

// served sends one request of a kind and reports whether it is answered with success.
func (l *lab) served(kind string) bool {
	status, _, err := l.send(http.MethodPost, "http://"+l.entryAddress(0)+"/"+kind+"/1", "x", 1200*time.Millisecond)
	return err == nil && status == http.StatusOK
}

// callAt sends a call without a body to an address and reports whether it was acknowledged
// within a second.
func (l *lab) callAt(name, address, call string) bool {
	// Each call has a channel of its own, which ends with it.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Post("http://"+address+call, "", http.NoBody)
	if err != nil {
		l.note("%s at %s: no answer within a second", call, name)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	l.note("%s at %s is answered %d", call, name, response.StatusCode)
	return response.StatusCode/100 == 2
}

// lateLeave restarts the servers of a service under their ids, one after the other, each as
// planned, while the path from the servers to one control process is cut.
func lateLeave(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(twoServices); err != nil {
		return false, err
	}
	var desks []*server
	defer func() {
		for _, s := range desks {
			s.end()
		}
	}()
	for i := range deskServers {
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
	leader, ok := l.leader()
	if !ok {
		return false, errors.New("no control process leads")
	}
	l.note("control-%d leads; the day begins", leader)
	day := &traffic{l: l}
	day.begin()
	if trouble {
		path, err := l.cut(l.controlAddress(leader), serverCutTime)
		if err != nil {
			return false, err
		}
		defer path.close()
		l.mu.Lock()
		l.cutTo = path
		l.mu.Unlock()
	}
	for i, s := range desks {
		l.note("server %s leaves", s.id)
		call := "/Instances.Leave/" + s.id
		if !l.callAt(fmt.Sprint("control-", leader), l.pathTo(leader), call) && !l.callAt("another", l.controlAddress((leader+1)%controls), call) {
			return false, errors.New("a departure was not acknowledged")
		}
		time.Sleep(drainTime)
		s.end()
		time.Sleep(downTime)
		if desks[i], err = l.startServer(s.id, "desk", s.zone, ""); err != nil {
			return false, err
		}
	}
	return day.starved(), nil
}
