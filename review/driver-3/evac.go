package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// evacuateTime is evacuate_ms.
	evacuateTime = 5 * time.Second
	// frozenFor is the least time for which a control process is frozen: the operator gives
	// it up after a second.
	frozenFor = 1500 * time.Millisecond
	// watchFor is how long requests are watched after the last order of a round.
	watchFor = 8 * time.Second
	// rounds bounds how often the order of events is played; the first break ends the case.
	rounds      = 8
	evacuated   = "z1"
	requestGap  = 40 * time.Millisecond
	requestTime = 2500 * time.Millisecond
)

const manifestEvac = `{"version":7,"routes":[{"name":"r0","host":"a.example","path_prefix":"/look/","kind":"safe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":true}],` +
	`"services":[{"name":"desk","health_path":"/health","max_connections":130,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`

// desk is a stand-in for a server of an application service.
type desk struct {
	*recorder
	id, zone, address string
	mu                sync.Mutex
	arrivals          []time.Time
	paths             []string
}

func startDesk(r *recorder, id, zone string) (*desk, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &desk{recorder: r, id: id, zone: zone, address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, http.HandlerFunc(d.serve)) }()
	go d.announce()
	return d, nil
}

func (d *desk) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Papayaseam-Attempt-Id")
	w.Header().Set("Papayaseam-Attempt-Id", attempt)
	if r.Header.Get("Papayaseam-Expect-Instance") != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.mu.Lock()
	d.arrivals = append(d.arrivals, time.Now())
	d.paths = append(d.paths, r.URL.Path)
	d.mu.Unlock()
	w.Header().Set("Papayaseam-Server-Seal", "seal."+d.id)
	_, _ = io.WriteString(w, d.id+" "+r.URL.Path)
}

// announce sends heartbeats to one control process after another until one acknowledges.
func (d *desk) announce() {
	born := time.Now().UnixMilli()
	for n := 1; ; n++ {
		body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq_no":%d,"born":%d}`, d.address, d.zone, n, born)
		for i := range 3 {
			status, _, err := call(http.MethodPost, "http://"+controlAddress(i)+"/Instances.Heartbeat/"+d.id, "", body, nil, time.Second)
			if err == nil && status < 300 {
				break
			}
		}
		time.Sleep(beatInterval)
	}
}

// since returns the paths of the requests that arrived later than a time.
func (d *desk) since(t time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, at := range d.arrivals {
		if at.After(t) {
			return d.paths[i:]
		}
	}
	return nil
}

// request sends requests at a steady pace to both entries until done is closed.
func (s *system) request(done <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(requestGap):
		}
		go func() {
			path := fmt.Sprint("/look/", n)
			header := map[string]string{"Papayaseam-Attempt-Id": fmt.Sprintf("%016x", n), "Papayaseam-Deadline-Ms": "2500"}
			status, answer, err := call(http.MethodGet, "http://"+s.entryAddress(n%s.entries)+path, "a.example", "", header, requestTime)
			s.note("requester: GET %s: %d %q %v", path, status, answer, err)
		}()
	}
}

// putOften sends the manifest that is held once more, eight times at once: so many orders of
// the operator may be in progress.
func (s *system) putOften(to int, manifest string) {
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			status, _, err := call(http.MethodPost, "http://"+controlAddress(to)+"/Config.Put", "", manifest, nil, operatorTime)
			s.note("operator: POST /Config.Put to control-%d once more: %d %v", to, status, err)
		})
	}
	calls.Wait()
}

// playEvac plays an operator that evacuates a zone, takes this back and evacuates the zone
// again. The order to take it back goes to a frozen control process first, and is repeated at
// another one after a second without an answer.
func playEvac(p *play) error {
	const frozen = 3 // A control process without a disk.
	sys := &system{play: p, controls: 4, entries: 2}
	if err := sys.start(); err != nil {
		return err
	}
	if err := await("control answers", patience, func() bool {
		status, _, err := call(http.MethodPost, "http://"+controlAddress(0)+"/Config.Put", "", manifestEvac, nil, operatorTime)
		return err == nil && status < 300
	}); err != nil {
		return err
	}
	desks := map[string]*desk{}
	for _, zone := range []string{"z0", "z1", "z2"} {
		d, err := startDesk(p.recorder, "i-"+zone, zone)
		if err != nil {
			return err
		}
		desks[zone] = d
	}
	done := make(chan struct{})
	defer close(done)
	go sys.request(done)
	if err := await("all servers get requests", patience, func() bool {
		for _, d := range desks {
			if len(d.since(time.Time{})) < 10 {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	start, end := "/Evacuate.Start/"+evacuated, "/Evacuate.End/"+evacuated
	if err := sys.operate(0, start, ""); err != nil {
		return err
	}
	time.Sleep(evacuateTime + time.Second)
	quiet := time.Now()
	time.Sleep(time.Second)
	if n := len(desks[evacuated].since(quiet)); n > 0 {
		return fmt.Errorf("%w: EVAC: %d requests after the first evacuation", errBroken, n)
	}
	for round := 1; round <= rounds; round++ {
		p.note("round %d", round)
		acknowledged, err := sys.evacuateAgain(frozen, start, end)
		if err != nil {
			return err
		}
		time.Sleep(time.Until(acknowledged.Add(watchFor)))
		if late := desks[evacuated].since(acknowledged.Add(evacuateTime)); len(late) > 0 {
			return fmt.Errorf("%w: EVAC: %d requests reached the server in %s later than %v after the evacuation was acknowledged and before it was taken back, the first %s",
				errBroken, len(late), evacuated, evacuateTime, late[0])
		}
	}
	return nil
}

// evacuateAgain takes the evacuation back, by way of a frozen process, evacuates the zone again
// and thaws the process. It returns when the new evacuation was acknowledged.
func (s *system) evacuateAgain(frozen int, start, end string) (time.Time, error) {
	s.putOften(frozen, manifestEvac)
	time.Sleep(300 * time.Millisecond)
	frozenAt := time.Now()
	if s.trouble {
		s.signal(fmt.Sprint("control-", frozen), syscall.SIGSTOP)
	}
	if err := s.operate(frozen, end, ""); err != nil {
		return time.Time{}, err
	}
	time.Sleep(200 * time.Millisecond)
	if err := s.operate(0, start, ""); err != nil {
		return time.Time{}, err
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(frozenAt.Add(frozenFor)))
	if s.trouble {
		s.signal(fmt.Sprint("control-", frozen), syscall.SIGCONT)
	}
	return acknowledged, nil
}
