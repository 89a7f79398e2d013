//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	controls  = 3
	entries   = 1
	innerPort = "20301"
	readyPort = "20302"
	frontPort = "20303"
	ctrlPort  = "20304"
	host      = "cases.example"
	// patience is how long a case waits for what must happen without a disruption.
	patience = 30 * time.Second
	pollStep = 50 * time.Millisecond
)

// lab is one small deployment: three control processes and one entry.
type lab struct {
	program, folder string
	base            string // base holds the first two parts of all loopback addresses.
	record          *os.File
	startedAt       time.Time
	client          *http.Client
	attempts        atomic.Int64

	mu        sync.Mutex
	closed    bool // closed is whether nothing more is started.
	processes map[string]*exec.Cmd
	cutTo     *cutPath // cutTo is the path of the servers to one control process, if that is cut.
}

func newLab(program, recordFile string) (*lab, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	l := &lab{
		record: record, startedAt: time.Now(),
		base:      fmt.Sprintf("127.%d.%d", 100+pid>>8&0x7f, pid&0xff),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		processes: map[string]*exec.Cmd{},
	}
	l.program, err = filepath.Abs(program)
	if err == nil {
		_, err = os.Stat(l.program)
	}
	if err == nil {
		l.folder, err = os.MkdirTemp("", "review-")
	}
	if err != nil {
		l.note("could not run: %v", err)
		return nil, errors.Join(err, record.Close())
	}
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%7.3f %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) controlIP(i int) string { return fmt.Sprintf("%s.%d", l.base, 10+i) }

func (l *lab) entryIP(i int) string { return fmt.Sprintf("%s.%d", l.base, 50+i) }

func (l *lab) controlAddress(i int) string { return net.JoinHostPort(l.controlIP(i), ctrlPort) }

func (l *lab) entryAddress(i int) string { return net.JoinHostPort(l.entryIP(i), frontPort) }

func zone(i int) string { return fmt.Sprint("z", i%controls) }

// start starts a process with the command of the deploy file.
func (l *lab) start(name, settings string) error {
	if err := l.begin(name, settings); err != nil {
		return err
	}
	l.note("process %s started", name)
	return nil
}

// begin starts a process that close ends; after close it starts none.
func (l *lab) begin(name, settings string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errors.New("the lab is closed")
	}
	file := filepath.Join(l.folder, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(l.program, "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	l.processes[name] = cmd
	return nil
}

func (l *lab) seeds() string {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, l.controlAddress(i))
	}
	return strings.Join(seeds, ",")
}

func (l *lab) startControl(i int, first bool) error {
	name := fmt.Sprint("control-", i)
	return l.start(name, fmt.Sprintf(`[process]
name = %s
roles = direct-control
region = r
failure-domain = %s
max-descriptors = 4100
[direct]
ip = %s
inner-port = %s
listen = %s
seeds = %s
first-start = %t
data-folder = %s
failure-domains = z0,z1,z2
disks-lost-at-once = 1
group-stall-ms = 6000
grace-s = 8
memory-mb = 284
`, name, zone(i), l.controlIP(i), innerPort, l.controlAddress(i), l.seeds(), first, filepath.Join(l.folder, "data-"+name)))
}

func (l *lab) startEntry(i int) error {
	name := fmt.Sprint("entry-", i)
	return l.start(name, fmt.Sprintf(`[process]
name = %s
roles = direct-entry
region = r
failure-domain = %s
max-descriptors = 4100
[direct]
ip = %s
inner-port = %s
listen = %s
ready-listen = %s
ready-path = /readiness
seeds = %s
key-removal-ms = 5000
evacuate-ms = 5000
retry-ratio = 0.2
grace-s = 8
memory-mb = 284
`, name, zone(i), l.entryIP(i), innerPort, l.entryAddress(i), net.JoinHostPort(l.entryIP(i), readyPort), l.seeds()))
}

// startAll starts all processes and declares the configuration.
func (l *lab) startAll(document string) error {
	for i := range controls {
		if err := l.startControl(i, true); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := l.startEntry(i); err != nil {
			return err
		}
	}
	if !l.await(func() bool { return l.operate("/Config.Put", document) }) {
		return errors.New("no configuration is acknowledged")
	}
	l.note("configuration acknowledged")
	return nil
}

// await waits for a condition and reports whether it came to hold.
func (l *lab) await(condition func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pollStep) {
		if condition() {
			return true
		}
	}
	return false
}

// operate sends an operator's call to one control process after another.
func (l *lab) operate(path, body string) bool {
	for i := range controls {
		status, _, err := l.send(http.MethodPost, "http://"+l.controlAddress(i)+path, body, time.Second)
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// send sends one request with an attempt id of its own.
func (l *lab) send(method, url, body string, timeout time.Duration) (int, string, error) {
	return l.sendWith(context.Background(), method, url, body, timeout)
}

func (l *lab) sendWith(ctx context.Context, method, url, body string, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set("Papayaseam-Attempt-Id", fmt.Sprintf("a%d", l.attempts.Add(1)))
	request.Header.Set("Papayaseam-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	response, err := l.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, string(data), err
}

// signal sends a signal to a process that this lab started.
func (l *lab) signal(name string, s syscall.Signal) error {
	l.mu.Lock()
	cmd := l.processes[name]
	l.mu.Unlock()
	if cmd == nil {
		return errors.New(name + " does not run")
	}
	l.note("signal %v to %s", s, name)
	return cmd.Process.Signal(s)
}

// close ends all processes.
func (l *lab) close() {
	l.mu.Lock()
	l.closed = true
	processes := l.processes
	l.processes = map[string]*exec.Cmd{}
	l.mu.Unlock()
	for _, cmd := range processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Println(l.folder)
	}
	_ = l.record.Close()
}

// leader returns the number of the control process that sends the others their entries.
func (l *lab) leader() (int, bool) {
	for i := range controls {
		text, err := os.ReadFile(filepath.Join(l.folder, fmt.Sprintf("control-%d.log", i)))
		if err != nil {
			continue
		}
		lines := strings.Split(string(text), "\n")
		role := ""
		for _, line := range lines {
			if strings.Contains(line, "leader changed") {
				role = line
			}
		}
		if strings.Contains(role, "role=leader") {
			return i, true
		}
	}
	return 0, false
}

// beat is what a server says of itself.
type beat struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_remaining_ms"`
	SeqNo   int    `json:"seq_no"`
	Born    int64  `json:"born"`
}

// server is a stand-in of a plain server.
type server struct {
	l        *lab
	id, zone string
	service  string
	address  string
	born     int64
	seq      atomic.Int64
	http     *http.Server
	lives    context.Context // lives ends with the boot, and what it sends with it.
	stop     context.CancelFunc
	known    bool // known is whether a control process has acknowledged this boot.
	ends     sync.WaitGroup
	ran      atomic.Int64
	state    atomic.Value
	draining atomic.Bool
}

// startServer starts a boot of a server under an id, at an address or a free port.
func (l *lab) startServer(id, service, inZone, address string) (*server, error) {
	if address == "" {
		address = l.base + ".90:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{l: l, id: id, zone: inZone, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	s.lives, s.stop = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: patience}
	s.ends.Go(func() { _ = s.http.Serve(listener) })
	s.ends.Go(s.beats)
	l.note("server %s started at %s, born %d", id, s.address, s.born)
	return s, nil
}

// end ends the boot.
func (s *server) end() {
	s.stop()
	_ = s.http.Close()
	s.ends.Wait()
	s.l.note("server %s born %d ended", s.id, s.born)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Papayaseam-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Papayaseam-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("Papayaseam-Attempt-Id")
	if attempt == "" {
		w.Header().Set("Papayaseam-Instance-Id", s.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.ran.Add(1)
	s.l.note("server %s born %d runs %s", s.id, s.born, attempt)
	w.Header().Set("Papayaseam-Attempt-Id", attempt)
	w.Header().Set("Papayaseam-Server-Seal", "seal-"+attempt)
	_, _ = io.WriteString(w, "answer to "+attempt)
}

// pathTo returns the address at which servers reach a control process now.
func (l *lab) pathTo(i int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.cutTo; p != nil && p.target == l.controlAddress(i) && time.Now().Before(p.heals) {
		return p.address()
	}
	return l.controlAddress(i)
}

// beats announces the server about every 1.2 s until it ends.
func (s *server) beats() {
	for {
		state := "ready"
		if s.draining.Load() {
			state = "draining"
		}
		s.beat(state)
		select {
		case <-s.lives.Done():
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *server) beat(state string) {
	body, _ := json.Marshal(beat{Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: 6, State: state, SeqNo: int(s.seq.Add(1)), Born: s.born})
	for i := range controls {
		status, _, err := s.l.sendWith(s.lives, http.MethodPost, "http://"+s.l.pathTo(i)+"/Instances.Heartbeat/"+s.id, string(body), time.Second)
		if err == nil && status/100 == 2 {
			if !s.known {
				s.known = true
				s.l.note("server %s born %d is acknowledged", s.id, s.born)
			}
			return
		}
	}
}
