package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	servers = 10
	// lateBy is how late one order to open is carried out: 2 to 12 s by the pages.
	lateBy = 9 * time.Second
	// cutAfter is how long after that order arrived its server is cut off from control, and
	// cutFor for how long: 10 s at most.
	cutAfter = 250 * time.Millisecond
	cutFor   = 9900 * time.Millisecond
	// settle is how long the case goes on after the cut.
	settle = 8 * time.Second
)

const manifestTwo = `{"version":7,"routes":[{"name":"r0","host":"a.example","path_prefix":"/a/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"engine","max_attempts":2,"public":true,"session_affinity":true,"stream_resume":true,"target_gap_ms":300}],` +
	`"services":[{"name":"engine","health_path":"/health","max_connections":366,"protocol":"h1","tls":false,"engine":{"slots":34,"kv_capacity_tokens":1860000,"kv_token_bytes":96256,"link_mbps":400000.0,"stride":5,"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"load_s":2.0,"warm_s":0.5}],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":3.0,"loads_at_once":6,"delays":[],"usual":{"prompt":919,"answer":135},"retention_count":1,"far_x":4.0,"form_ms":300.0}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`

// playTwo plays ten servers that form five groups of two. One server gives no answer to the
// order to open its group and carries it out late, and is cut off from control before control
// repeats the order.
func playTwo(p *play) error {
	sys := &system{play: p, controls: 3}
	if err := sys.start(); err != nil {
		return err
	}
	f := &fleet{servers: map[string]*server{}}
	var once sync.Once
	var head *server
	f.onOpen = func(s *server) (late time.Duration) {
		if !p.trouble {
			return 0
		}
		once.Do(func() {
			late, head = lateBy, s
			time.AfterFunc(cutAfter, func() {
				s.mu.Lock()
				s.cutUntil = time.Now().Add(cutFor)
				s.mu.Unlock()
				p.note("%s is cut off from control for %.1f s", s.id, cutFor.Seconds())
				time.AfterFunc(cutFor, func() { p.note("the cut of %s is over", s.id); s.beat() })
			})
		})
		return late
	}
	if err := await("control answers", patience, func() bool {
		status, _, err := call(http.MethodPost, "http://"+controlAddress(0)+"/Config.Put", manifestTwo, operatorTime)
		return err == nil && status < 300
	}); err != nil {
		return err
	}
	p.note("operator: the manifest is acknowledged")
	for i := range servers {
		if err := f.add(p.recorder, fmt.Sprintf("i-%04d", i), fmt.Sprint("z", i%3)); err != nil {
			return err
		}
	}
	open := func() int {
		n := 0
		for _, s := range f.order {
			s.mu.Lock()
			if s.state == stateOpen {
				n++
			}
			s.mu.Unlock()
		}
		return n
	}
	wanted := servers / 2
	if p.trouble {
		wanted--
	}
	if err := await("the groups are open", patience, func() bool { return open() >= wanted }); err != nil {
		return err
	}
	p.note("%d groups are open", open())
	time.Sleep(cutAfter + cutFor + settle)
	if p.trouble && head == nil {
		return fmt.Errorf("no order to open was late")
	}
	if found := f.violations(); len(found) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(found, "; "))
	}
	return nil
}
