package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	evacuateBound = 5 * time.Second // evacuate_ms
	outerBound    = 6 * time.Second // outer_bound_ms, since the freeze unsettles the core
	freeze        = 3 * time.Second // below the 4 s of the site file
)

// lateEnd: the operator ends an evacuation while the node that gets the order first stands still.
// Another node acknowledges the order, and then a newer evacuation. As the first node wakes, it
// carries out the old order, and the newer evacuation is gone. The order and the end of its
// connection are read at about the same time, so that several rounds are played.
func lateEnd(l *lab) (bool, error) {
	if err := l.up(3, 2, manifest(1, []routeSpec{{"look", "safe", "desk", 2000, 2, false}}, []serviceSpec{{name: "desk"}})); err != nil {
		return false, err
	}
	in := map[string]*server{}
	for _, zone := range l.zones {
		s, err := l.newServer("i-"+zone+"1", "desk", zone, 12, 5*time.Millisecond, "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		in[zone] = s
	}
	time.Sleep(2 * time.Second)
	l.load("/look/", 40, 2*time.Second, 0, 1)
	for round := 1; time.Since(l.start) < 85*time.Second; round++ {
		acked, err := l.lateEndRound(round)
		if err != nil {
			return false, err
		}
		// The evacuations of this round hold so far if nothing has reached their zones of late.
		from := time.Now()
		time.Sleep(1500 * time.Millisecond)
		late := len(in["b"].since(from)) + len(in["c"].since(from))
		if late > 0 {
			// Something reaches them: judge by the bound.
			bound := evacuateBound + outerBound
			time.Sleep(time.Until(acked.Add(bound)))
			from = time.Now()
			time.Sleep(3 * time.Second)
			late = len(in["b"].since(from)) + len(in["c"].since(from))
			l.note("round %d: requests that reached an evacuated zone later than %v after the acknowledgement, with no order since: %d", round, bound, late)
		}
		if late > 0 {
			return true, nil
		}
		l.note("round %d: the evacuations hold", round)
		if err := l.endBoth(); err != nil {
			return false, err
		}
	}
	return false, nil
}

func (l *lab) endBoth() error {
	for _, zone := range []string{"b", "c"} {
		if _, err := l.operate("/Evacuate.End/"+zone, "", 0, 1, 2); err != nil {
			return err
		}
	}
	return nil
}

// lateEndRound evacuates two zones, ends that, and evacuates them again, and returns when the
// last of these was acknowledged.
func (l *lab) lateEndRound(round int) (acked time.Time, err error) {
	leader := l.leader()
	if leader < 0 {
		return acked, fmt.Errorf("no leader")
	}
	follower, third := (leader+1)%3, (leader+2)%3
	for _, zone := range []string{"b", "c"} {
		if _, err := l.operate("/Evacuate.Start/"+zone, "", leader, third); err != nil {
			return acked, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	frozenAt := time.Now()
	if l.trouble {
		l.signal(fmt.Sprint("control-", follower), syscall.SIGSTOP)
	}
	var orders sync.WaitGroup
	var failed [2]error
	for i, zone := range []string{"b", "c"} {
		orders.Go(func() { _, failed[i] = l.operate("/Evacuate.End/"+zone, "", follower, third, leader) })
	}
	orders.Wait()
	if err := errors.Join(failed[:]...); err != nil {
		return acked, err
	}
	time.Sleep(300 * time.Millisecond)
	for _, zone := range []string{"b", "c"} {
		if acked, err = l.operate("/Evacuate.Start/"+zone, "", third, leader); err != nil {
			return acked, err
		}
	}
	l.note("round %d: the second evacuations of the zones b and c are acknowledged", round)
	time.Sleep(freeze - time.Since(frozenAt))
	if l.trouble {
		l.signal(fmt.Sprint("control-", follower), syscall.SIGCONT)
	}
	time.Sleep(500 * time.Millisecond)
	// What had been picked for a zone before it was closed has arrived by now.
	time.Sleep(time.Until(acked.Add(2700 * time.Millisecond)))
	return acked, nil
}

// foreignHead: a heartbeat of another writer, which knows nothing of groups, names the head of
// a group that serves.
func foreignHead(l *lab) (bool, error) {
	models := map[string]modelSpec{
		"m0": {size: 2, load: 8 * time.Second, warm: time.Second, share: 0.5, pace: 1},
		"m1": {size: 2, load: 8 * time.Second, warm: time.Second, share: 0.5, pace: 1},
	}
	p := l.newPool("writers", models)
	defer p.end()
	if err := l.up(3, 2, engineManifest(1, "writers", models)); err != nil {
		return false, err
	}
	for i := range 6 {
		if err := p.add(fmt.Sprintf("i-%d", i), l.zones[i%3], "d0"); err != nil {
			return false, err
		}
	}
	heads := func() (list []*engine) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, e := range p.servers {
			if g := e.now.group; g != nil && g.Rank == 0 && g.State == "open" {
				list = append(list, e)
			}
		}
		return list
	}
	for limit := time.Now().Add(30 * time.Second); len(heads()) < 3; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(limit) {
			return false, fmt.Errorf("the groups did not open")
		}
	}
	l.note("three groups are open")
	l.streams(15, 0, 1)
	time.Sleep(6 * time.Second)
	for _, e := range heads()[:1] {
		if l.trouble {
			p.mu.Lock()
			e.seq++
			body := fmt.Sprintf(`{"service":"writers","address":%q,"state":"ready","models":[{"name":%q,"version":1,"adapters":[]}],"seq_no":%d,"born":%d}`, e.address, e.lastModel, e.seq, e.born)
			p.mu.Unlock()
			status, _, _, err := send("POST", "http://"+l.controlAddress(1)+"/Instances.Heartbeat/"+e.id, nil, body, time.Second)
			l.note("another writer: heartbeat of %s: %s: status %d %v", e.id, body, status, err)
		}
		time.Sleep(6 * time.Second)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.note("breaks of TWO: %d", len(p.two))
	return len(p.two) > 0, nil
}

// engineManifest returns a manifest with a service that forms groups, and a plain one if extra
// holds a route and its service.
func engineManifest(version int, service string, models map[string]modelSpec, extra ...any) string {
	var ms, rs []any
	for _, name := range []string{"m0", "m1"} {
		m := models[name]
		ms = append(ms, map[string]any{"name": name, "size": m.size, "share": m.share, "pace": m.pace, "load_s": m.load.Seconds(), "warm_s": m.warm.Seconds()})
		rs = append(rs, map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 400,
			"priority": 1, "service": service, "max_attempts": 2, "public": false, "session_affinity": true, "stream_resume": true, "target_gap_ms": 300,
		})
	}
	services := []any{}
	for _, e := range extra {
		switch e := e.(type) {
		case routeSpec:
			rs = append(rs, e.describe())
		case serviceSpec:
			services = append(services, e.describe())
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs,
		"services": append(services, map[string]any{"name": service, "health_path": "/health", "max_connections": 600, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 8, "kv_capacity_tokens": 1860000, "kv_token_bytes": 96256, "link_mbps": 400000.0, "stride": 1, "models": ms, "step_ms": 7.8, "per_seq_ms": 0.0947,
			"context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 3.0, "loads_at_once": 6,
			"delays": []any{}, "usual": map[string]any{"prompt": 919, "answer": 135}, "retention_count": 1, "far_x": 4.0, "form_ms": 300.0,
		}}),
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{key}, "priority": 1}},
	})
	return string(data)
}

// streams asks for streams of both models in turn, about so many a second, until the lab ends.
func (l *lab) streams(perS int, entries ...int) {
	l.loads.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perS))
		defer ticker.Stop()
		var calls sync.WaitGroup
		defer calls.Wait()
		for n := 0; ; n++ {
			select {
			case <-l.ctx.Done():
				return
			case <-ticker.C:
			}
			calls.Go(func() {
				model := fmt.Sprint("m", n%2)
				id := fmt.Sprintf("s%06d", n)
				status, body, _, err := send("POST", "http://"+l.entryAddress(entries[n/2%len(entries)])+"/"+model+"/"+id, map[string]string{
					"Host": host, "Papayaseam-Attempt-Id": id, "Papayaseam-Deadline-Ms": "8000", "Authorization": "Bearer " + key,
					"Papayaseam-Model": model, "Papayaseam-Token-Count": "800,60", "Papayaseam-Prompt-Prefix": "a1:40," + id[1:] + ":760",
				}, "prompt", 8*time.Second)
				l.note("client: %s of %s: status %d, %d events, failed %v", id, model, status, strings.Count(body, "\n\n"), err != nil)
			})
		}
	})
}
