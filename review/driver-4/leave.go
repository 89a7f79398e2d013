package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
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
	// cutTime is how long the path between the servers and one control process is cut.
	cutTime = 5500 * time.Millisecond
	// drainTime is how long a server serves on after its departure was acknowledged.
	drainTime = 2200 * time.Millisecond
	// downTime is how long a server takes to start again.
	downTime = 300 * time.Millisecond
	// dayLength is how long requests are sent.
	dayLength = 80 * time.Second
	// A round of requests is one order and some looks.
	roundTime     = 250 * time.Millisecond
	looksPerRound = 4
	answerTime    = 2 * time.Second
)

// callThroughCut sends a call over a path that is cut for a time. The caller gets no answer
// within a second and closes its end; the path delivers the bytes and the close once it is
// whole again.
func (l *lab) callThroughCut(address, path string, cut time.Duration) {
	time.Sleep(cut)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		l.note("late call %s: %v", path, err)
		return
	}
	defer func() { _ = conn.Close() }()
	l.note("late call %s arrives", path)
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", path, address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTime))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		l.note("late call %s: %v", path, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	l.note("late call %s is answered %d %q, which nobody reads", path, response.StatusCode, text)
}

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
	served := func(kind string) bool {
		status, _, err := l.send(http.MethodPost, "http://"+l.entryAddress(0)+"/"+kind+"/1", "x", 1200*time.Millisecond)
		return err == nil && status == http.StatusOK
	}
	if !l.await(func() bool { return served("order") && served("look") }) {
		return false, errors.New("the services are not served")
	}
	leader, ok := l.leader()
	if !ok {
		return false, errors.New("no control process leads")
	}
	l.note("control-%d leads; the day begins", leader)
	day := &traffic{l: l}
	day.begin()
	var late sync.WaitGroup
	for i, s := range desks {
		path := "/Instances.Leave/" + s.id
		l.note("server %s leaves", s.id)
		first := leader
		if trouble {
			late.Go(func() { l.callThroughCut(l.controlAddress(leader), path, cutTime) })
			time.Sleep(time.Second)
			first = (leader + 1) % controls
		}
		status, _, err := l.send(http.MethodPost, "http://"+l.controlAddress(first)+path, "", time.Second)
		l.note("departure of %s at control-%d is answered %d %v", s.id, first, status, err)
		if err != nil || status/100 != 2 {
			return false, errors.New("a departure was not acknowledged")
		}
		time.Sleep(drainTime)
		s.end()
		time.Sleep(downTime)
		if desks[i], err = l.startServer(s.id, "desk", s.zone, ""); err != nil {
			return false, err
		}
	}
	late.Wait()
	day.ends.Wait()
	orders, looks := &day.orders, &day.looks
	l.note("served %d of %d orders and %d of %d looks", orders.served.Load(), orders.asked.Load(), looks.served.Load(), looks.asked.Load())
	share := float64(orders.served.Load()) / float64(orders.asked.Load())
	all := float64(orders.served.Load()+looks.served.Load()) / float64(orders.asked.Load()+looks.asked.Load())
	l.note("share of orders served %.3f, of all requests %.3f", share, all)
	return share < all/4, nil
}
