//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// evacuateWithin is the bound evacuate_ms of the settings.
	evacuateWithin = 5 * time.Second
	// cutTime is how long the path between the operator and one control process is cut.
	cutTime = 5500 * time.Millisecond
	// orderPause is the time between two orders of the operator.
	orderPause = 3 * time.Second
	// evacuationTime is how long the first evacuation lasts.
	evacuationTime = 6 * time.Second
	// watchTime is how long requests are watched after the bound on the second evacuation.
	watchTime = 12 * time.Second
	callers   = 4
)

const oneService = `{"version":1,"routes":[
{"name":"look","host":"cases.example","path_prefix":"/look/","kind":"safe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":true}],
"services":[{"name":"desk","health_path":"/health","max_connections":130,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// lateEnd withdraws the evacuation of a zone and orders it again, while the path from the
// operator to one control process is cut. The operator repeats what that process does not
// answer at another one.
func lateEnd(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(oneService); err != nil {
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
	if !l.await(func() bool { return l.served("look") && desks[0].ran.Load() > 0 }) {
		return false, errors.New("the zone's server gets no requests")
	}
	leader, ok := l.leader()
	if !ok {
		return false, errors.New("no control process leads")
	}
	l.note("control-%d leads", leader)
	stop := make(chan struct{})
	var work sync.WaitGroup
	for range callers {
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = l.served("look")
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	defer work.Wait()
	defer close(stop)
	start, end := "/Evacuate.Start/"+zone(0), "/Evacuate.End/"+zone(0)
	other := l.controlAddress((leader + 1) % controls)
	if !l.callAt("another", other, start) {
		return false, errors.New("the first evacuation was not acknowledged")
	}
	time.Sleep(evacuationTime)
	first := l.controlAddress(leader)
	if trouble {
		path, err := l.cut(first, cutTime)
		if err != nil {
			return false, err
		}
		defer path.close()
		first = path.address()
	}
	if !l.callAt(fmt.Sprint("control-", leader), first, end) && !l.callAt("another", other, end) {
		return false, errors.New("the withdrawal was not acknowledged")
	}
	time.Sleep(orderPause)
	if !l.callAt("another", other, start) {
		return false, errors.New("the second evacuation was not acknowledged")
	}
	time.Sleep(evacuateWithin)
	before := desks[0].ran.Load()
	l.note("the bound on the second evacuation is over; %d requests have run in %s so far", before, zone(0))
	time.Sleep(watchTime)
	after := desks[0].ran.Load()
	l.note("%d requests ran in %s since", after-before, zone(0))
	return after > before, nil
}
