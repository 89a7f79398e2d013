package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	innerPort   = "20301"
	controlPort = "20302"
	// voters is the number of control processes with a disk; they are the seeds.
	voters    = 3
	lastStart = 250 * time.Millisecond
	// operatorTime is how long a caller of control waits before it tries another node.
	operatorTime = time.Second
	patience     = 25 * time.Second
)

// system is the control processes of one installation.
type system struct {
	*play
	mu        sync.Mutex // mu guards processes.
	controls  int
	processes map[string]*exec.Cmd
	members   []int // members are the control machines with a disk, where they change.
}

// ip returns the address of a machine, different for each run.
func ip(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 150+machine, 1+pid>>8&0x7f, 1+pid&0x7f)
}

func controlAddress(i int) string { return net.JoinHostPort(ip(i), controlPort) }

// start starts all processes with settings like those of deploy/control.ini.
func (s *system) start() error {
	s.processes = map[string]*exec.Cmd{}
	s.atEnd(s.stop)
	// The first one comes last, within the 0.3 s in which all machines start.
	for i := s.controls - 1; i >= 0; i-- {
		if i == 0 {
			time.Sleep(lastStart)
		}
		if err := s.startControl(i, true); err != nil {
			return err
		}
	}
	return nil
}

// startControl starts a control process; first says that the whole system starts.
func (s *system) startControl(i int, first bool) error {
	data := filepath.Join(s.folder, fmt.Sprint("data-", i))
	return s.startProcess(fmt.Sprint("control-", i), "direct-control", i, fmt.Sprintf(
		"listen = %s\nmetrics-listen = %s\nfirst-start = %t\ndata-folder = %s\nfailure-domains = z0, z1, z2\ndisks-lost-at-once = 1\ngroup-stall-ms = 6000\n",
		controlAddress(i), net.JoinHostPort(ip(i), metricsPort), first, data))
}

func (s *system) startProcess(name, role string, machine int, settings string) error {
	var seeds []string
	members := s.members
	if members == nil {
		members = []int{0, 1, 2}
	}
	for _, i := range members {
		seeds = append(seeds, controlAddress(i))
	}
	text := fmt.Sprintf(
		"[process]\nname = %s\nroles = %s\nregion = r\nfailure-domain = z%d\nmax-descriptors = 4100\n[direct]\nip = %s\ninner-port = %s\nseeds = %s\ngrace-s = 8\nmemory-mb = 284\n%s",
		name, role, machine%3, ip(machine), innerPort, strings.Join(seeds, ", "), settings)
	file := filepath.Join(s.folder, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.binary, "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	// A machine of the pages shows its processes one core.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	s.processes[name] = cmd
	s.note("%s started on %s", name, ip(machine))
	return nil
}

// signal sends a signal to a process of this run.
func (s *system) signal(name string, sig syscall.Signal) {
	s.note("%s gets the signal %q", name, sig)
	s.mu.Lock()
	defer s.mu.Unlock()
	if cmd := s.processes[name]; cmd != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// stop ends all processes of this run.
func (s *system) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range s.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	s.processes = map[string]*exec.Cmd{}
}

// call makes one call within a time and closes its channel at the end.
func call(method, url, body string, within time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, string(data), err
}

// await waits for a condition.
func await(what string, within time.Duration, condition func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("waited in vain: %s", what)
}
