package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	metricsPort = "9465"
	// freezeFor is how long a control process is frozen, at most 4 s.
	freezeFor = 2500 * time.Millisecond
	// addAfter is when, in that time, a machine is added.
	addAfter = 50 * time.Millisecond
	// catchUp is more than catch_up_s, in which a machine that is back counts as lost.
	catchUp = 5 * time.Second
	// readFor is how long the operator reads back: contact_ms and recovery_s.
	readFor = 15 * time.Second
	// darkFor is how long a lost machine is silent before its address refuses connections.
	darkFor = 2 * time.Second
	// lastLoss is when the last loss may begin.
	lastLoss = 90 * time.Second
	// lastAttempt is when the last freeze may begin.
	lastAttempt = 55 * time.Second
)

const manifestGhost = `{"version":%d,"routes":[{"name":"r0","host":"a.example","path_prefix":"/look/","kind":"safe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":true}],` +
	`"services":[{"name":"desk","health_path":"/health","max_connections":130,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`

// leader returns the control process that leads by its own metrics, or -1.
func (s *system) leader(machines ...int) int {
	for _, i := range machines {
		status, text, err := call(http.MethodGet, "http://"+net.JoinHostPort(ip(i), metricsPort)+"/metrics", "", 300*time.Millisecond)
		if err == nil && status == http.StatusOK && strings.Contains(text, "\npapayaseam_control_leads 1") {
			return i
		}
	}
	return -1
}

func (s *system) awaitLeader(machines ...int) (leader int, err error) {
	err = await("a leader", patience, func() bool {
		leader = s.leader(machines...)
		return leader >= 0
	})
	return leader, err
}

// reads reports whether a control process returns the manifest.
func (s *system) reads(i int) bool {
	status, text, err := call(http.MethodGet, "http://"+controlAddress(i)+"/Config.Get", "", operatorTime)
	return err == nil && status == http.StatusOK && strings.Contains(text, `"version"`)
}

// endProcess ends a process of this run and waits for its end.
func (s *system) endProcess(name string, sig syscall.Signal) {
	s.signal(name, sig)
	s.mu.Lock()
	cmd := s.processes[name]
	delete(s.processes, name)
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// playGhost plays a planned replacement of a control machine while the leader is frozen: the new
// machine joins meanwhile. It is replaced as planned itself later. Then the leader's machine is
// lost for good and replaced.
func playGhost(p *play) error {
	sys, err := startControls(p)
	if err != nil {
		return err
	}
	for {
		frozen, err := sys.replaceTwice()
		if err != nil {
			return err
		}
		err = sys.replaceLeaders(frozen)
		if !errors.Is(err, errNotMet) || p.elapsed() > lastAttempt {
			return err
		}
		p.note("once more: %v", err)
	}
}

// errNotMet means that the frozen process leads again although no request to join was left.
var errNotMet = errors.New("the frozen process leads, and the manifest comes back")

// replaceTwice replaces a machine as planned while the leader is frozen, and the new one later.
// It returns the leader.
func (s *system) replaceTwice() (first int, err error) {
	if first, err = s.awaitLeader(s.members...); err != nil {
		return first, err
	}
	s.note("control-%d leads", first)
	if s.trouble {
		s.signal(fmt.Sprint("control-", first), syscall.SIGSTOP)
	}
	time.Sleep(addAfter)
	added, err := s.addControl()
	if err != nil {
		return first, err
	}
	time.Sleep(freezeFor - addAfter)
	if s.trouble {
		s.signal(fmt.Sprint("control-", first), syscall.SIGCONT)
	}
	if err := s.finishReplacement(added, first); err != nil {
		return first, err
	}
	second, err := s.addControl()
	if err != nil {
		return first, err
	}
	return first, s.replaceBy(added, second)
}

// startControls starts three control processes and has a manifest acknowledged.
func startControls(p *play) (*system, error) {
	sys := &system{play: p, controls: voters, members: []int{0, 1, 2}}
	if err := sys.start(); err != nil {
		return nil, err
	}
	manifest := fmt.Sprintf(manifestGhost, 7)
	err := await("control answers", patience, func() bool {
		status, _, err := call(http.MethodPost, "http://"+controlAddress(0)+"/Config.Put", manifest, operatorTime)
		return err == nil && status < 300
	})
	p.note("operator: manifest 7 is acknowledged: %v", err == nil)
	return sys, err
}

// addControl starts a control process on a new machine with an empty disk.
func (s *system) addControl() (machine int, err error) {
	machine = s.controls
	s.controls++
	return machine, s.startControl(machine, false)
}

// finishReplacement stops a machine that an added one replaces: neither the leader nor the one
// that was frozen.
func (s *system) finishReplacement(added, frozen int) error {
	if err := s.awaitAll(append([]int{added}, s.members...)); err != nil {
		return err
	}
	leader, err := s.awaitLeader(s.members...)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(s.members, func(i int) bool { return i != leader && i != frozen })
	return s.replaceBy(s.members[i], added)
}

// replaceBy stops a machine as planned, once the new one has had its time.
func (s *system) replaceBy(old, added int) error {
	if err := s.awaitAll(append([]int{added}, s.members...)); err != nil {
		return err
	}
	time.Sleep(catchUp)
	s.endProcess(fmt.Sprint("control-", old), syscall.SIGTERM)
	s.note("the machine of control-%d is removed as planned, control-%d takes its place", old, added)
	s.members = append(slices.DeleteFunc(s.members, func(i int) bool { return i == old }), added)
	time.Sleep(catchUp)
	return nil
}

// awaitAll waits until control processes return the manifest.
func (s *system) awaitAll(machines []int) error {
	for _, i := range machines {
		if err := await(fmt.Sprintf("control-%d returns the manifest", i), patience, func() bool { return s.reads(i) }); err != nil {
			return err
		}
	}
	s.note("operator: control processes %v return the manifest", machines)
	return nil
}

// replaceLeaders takes the machine of the leader away for good and adds an empty one, until
// the process that was frozen leads. Without the disruption it does so three times.
func (s *system) replaceLeaders(frozen int) error {
	for round := 1; s.elapsed() < lastLoss && (s.trouble || round <= 3); round++ {
		leader, err := s.awaitLeader(s.members...)
		if err != nil {
			return err
		}
		if leader == frozen && s.trouble {
			return errNotMet
		}
		// A machine without power is silent: its process stands still before it is killed.
		s.signal(fmt.Sprint("control-", leader), syscall.SIGSTOP)
		time.Sleep(darkFor)
		s.endProcess(fmt.Sprint("control-", leader), syscall.SIGKILL)
		s.note("the machine of control-%d is lost for good; two of three are left", leader)
		s.members = slices.DeleteFunc(s.members, func(i int) bool { return i == leader })
		machine, err := s.addControl()
		if err != nil {
			return err
		}
		s.members = append(s.members, machine)
		if err := s.readBack(); err != nil {
			return err
		}
		time.Sleep(catchUp)
		if err := s.readBack(); err != nil {
			return err
		}
		if leader := s.leader(s.members...); leader == frozen && s.trouble {
			return errNotMet
		}
	}
	return nil
}

// readBack reads the manifest from all control processes until one returns it.
func (s *system) readBack() error {
	started := time.Now()
	for n := 0; time.Since(started) < readFor; n++ {
		i := s.members[n%len(s.members)]
		if s.reads(i) {
			s.note("operator: control-%d returns the manifest %.1f s after the loss", i, time.Since(started).Seconds())
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, i := range s.members {
		status, text, err := call(http.MethodGet, "http://"+controlAddress(i)+"/Config.Get", "", operatorTime)
		s.note("operator: GET /Config.Get at control-%d: %d %q %v", i, status, text, err)
	}
	return fmt.Errorf("%w: CONFIG: the acknowledged manifest does not come for %v after one machine of three was lost and replaced", errBroken, readFor)
}
