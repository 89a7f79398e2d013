package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// unsettledLeader is the entry of KNOWN-RED.txt on a leader that publishes nothing before it has
// settled: a server becomes cold, and says so at once, as the leader of control is killed.
func unsettledLeader(l *lab) (bool, error) {
	models := map[string]modelSpec{
		"m0": {size: 2, load: 4 * time.Second, warm: time.Second, share: 0.5, pace: 1},
		"m1": {size: 2, load: 4 * time.Second, warm: time.Second, share: 0.5, pace: 1},
	}
	p := l.newPool("writers", models)
	defer p.end()
	if err := l.up(3, 2, engineManifest(1, "writers", models, routeSpec{"look", "safe", "desk", 2000, 1, false}, serviceSpec{name: "desk", coldPerS: coldPerS})); err != nil {
		return false, err
	}
	for i := range 4 {
		if err := p.add(fmt.Sprintf("i-%d", i), l.zones[i%3], "d0"); err != nil {
			return false, err
		}
	}
	s, err := l.newServer("s-b1", "desk", "b", 48, 10*time.Millisecond, "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	l.streams(5, 0, 1)
	l.load("/look/", 110, 2*time.Second, 0, 1)
	time.Sleep(8 * time.Second)
	leader := l.leader()
	if leader < 0 {
		return false, fmt.Errorf("no leader")
	}
	if l.trouble {
		l.signal(fmt.Sprint("control-", leader), syscall.SIGKILL)
	}
	time.Sleep(50 * time.Millisecond)
	from := time.Now()
	s.mu.Lock()
	s.coldUntil = from.Add(coldStart)
	s.mu.Unlock()
	l.note("%s becomes cold", s.id)
	for node := 0; time.Since(from) < 3*time.Second; node++ {
		status, answer, _, err := send(http.MethodPost, "http://"+l.controlAddress(node%3)+"/Instances.Heartbeat/"+s.id, nil, string(s.announcement()), time.Second)
		l.note("%s says that it is cold to control-%d: status %d %q %v", s.id, node%3, status, answer, err != nil)
		if err == nil && status == http.StatusOK {
			break
		}
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Until(from.Add(coldStart + time.Second)))
	return l.mostWhileCold(1, s, from) > coldPerS*coldOverage+coldSlack, nil
}
