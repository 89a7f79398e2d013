package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	innerPort   = 20301
	readyPort   = 20302
	frontPort   = 20303
	controlPort = 20304
	metricsPort = 20305
	host        = "desk.example"
	key         = "k1aaaaaaaaaaaaaaaaaa"
)

// lab is a small deployment on loopback: control processes, entries, stand-in servers and
// an operator. It ends every process that it started.
type lab struct {
	trouble bool
	folder  string
	binary  string
	start   time.Time
	base    int

	recordMu sync.Mutex
	record   *os.File

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	waits     sync.WaitGroup
	controls  int
	zones     []string
	servers   []*server
	cancel    context.CancelFunc
	ctx       context.Context
	loads     sync.WaitGroup
	beats     sync.WaitGroup
}

func newLab(record string, zones []string) (*lab, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/papayaseam")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &lab{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, binary: binary, start: time.Now(), base: os.Getpid(), record: file,
		processes: map[string]*exec.Cmd{}, zones: zones, cancel: cancel, ctx: ctx,
	}, nil
}

// note writes one line of the record, with the seconds since the start.
func (l *lab) note(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns the loopback address of a machine.
func (l *lab) ip(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+machine, l.base>>8&0xff, l.base&0xff)
}

func (l *lab) controlAddress(i int) string {
	return net.JoinHostPort(l.ip(i), strconv.Itoa(controlPort))
}

func (l *lab) entryAddress(i int) string {
	return net.JoinHostPort(l.ip(50+i), strconv.Itoa(frontPort))
}

func (l *lab) seeds() string {
	var list []string
	for i := range l.controls {
		list = append(list, l.controlAddress(i))
	}
	return strings.Join(list, ",")
}

func (l *lab) zone(i int) string { return l.zones[i%len(l.zones)] }

// run starts a process with the command of the deploy file and rendered settings.
func (l *lab) run(name, settings string) error {
	file := filepath.Join(l.folder, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(l.binary, "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=8") // The machines of the deployment have one core.
	if err := cmd.Start(); err != nil {
		return err
	}
	l.mu.Lock()
	l.processes[name] = cmd
	l.mu.Unlock()
	l.waits.Go(func() { _ = cmd.Wait() })
	l.note("process %s started, pid %d", name, cmd.Process.Pid)
	return nil
}

func (l *lab) startControl(i int, first bool) error {
	return l.run(fmt.Sprint("control-", i), fmt.Sprintf(`[process]
name = control-%d
roles = direct-control
region = r
failure-domain = %s
max-descriptors = 4100

[direct]
ip = %s
inner-port = %d
listen = %s
metrics-listen = %s:%d
seeds = %s
first-start = %t
data-folder = %s
failure-domains = %s
disks-lost-at-once = 1
group-stall-ms = 5000
grace-s = 8
memory-mb = 284
`, i, l.zone(i), l.ip(i), innerPort, l.controlAddress(i), l.ip(i), metricsPort, l.seeds(), first, filepath.Join(l.folder, fmt.Sprint("data-", i)), strings.Join(l.zones, ",")))
}

func (l *lab) startEntry(i int) error {
	ip := l.ip(50 + i)
	return l.run(fmt.Sprint("entry-", i), fmt.Sprintf(`[process]
name = entry-%d
roles = direct-entry
region = r
failure-domain = %s
max-descriptors = 4100

[direct]
ip = %s
inner-port = %d
listen = %s
ready-listen = %s:%d
ready-path = /readiness
metrics-listen = %s:%d
seeds = %s
key-removal-ms = 5000
evacuate-ms = 5000
retry-ratio = 0.2
grace-s = 8
memory-mb = 284
`, i, l.zone(i), ip, innerPort, l.entryAddress(i), ip, readyPort, ip, metricsPort, l.seeds()))
}

func (l *lab) signal(name string, s syscall.Signal) {
	l.mu.Lock()
	cmd := l.processes[name]
	l.mu.Unlock()
	l.note("signal %v to %s", s, name)
	_ = cmd.Process.Signal(s)
}

// stop ends everything that the lab started.
func (l *lab) stop() {
	l.cancel()
	l.mu.Lock()
	for _, cmd := range l.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	l.mu.Unlock()
	l.waits.Wait()
	l.loads.Wait()
	for _, s := range l.servers {
		s.end()
	}
	l.beats.Wait()
	l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Fprintln(os.Stderr, l.folder)
	}
}

// send sends one call on a connection of its own, which is closed at the time limit.
func send(method, url string, header map[string]string, body string, limit time.Duration) (int, string, http.Header, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	if body == "" {
		request.Body, request.ContentLength = nil, 0
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), response.Header, err
}

// operate is the operator: it sends an order to the nodes in the given order, a second each,
// until one acknowledges it, and returns when that was.
func (l *lab) operate(path, body string, nodes ...int) (time.Time, error) {
	limit := time.Now().Add(20 * time.Second)
	for try := 0; time.Now().Before(limit); try++ {
		node := nodes[min(try, len(nodes)-1)]
		if try >= len(nodes) {
			node = nodes[try%len(nodes)]
			time.Sleep(100 * time.Millisecond)
		}
		status, answer, _, err := send(http.MethodPost, "http://"+l.controlAddress(node)+path, map[string]string{"Content-Type": "application/json"}, body, time.Second)
		l.note("operator: %s to control-%d: status %d %s %v", path, node, status, strings.TrimSpace(answer), err != nil)
		if err == nil && status == http.StatusOK {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s was not acknowledged", path)
}

// leads reports whether a control process says that it leads.
func (l *lab) leads(i int) bool {
	_, text, _, err := send(http.MethodGet, fmt.Sprintf("http://%s:%d/metrics", l.ip(i), metricsPort), nil, "", time.Second)
	return err == nil && strings.Contains(text, "papayaseam_control_leads 1")
}

// leader waits for the leader.
func (l *lab) leader() int {
	for range 100 {
		for i := range l.controls {
			if l.leads(i) {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return -1
}

type routeSpec struct {
	name, kind, service string
	timeoutMs           int
	attempts            int
	public              bool
}

type serviceSpec struct {
	name     string
	coldPerS float64
}

func (r routeSpec) describe() map[string]any {
	return map[string]any{
		"name": r.name, "host": host, "path_prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeoutMs,
		"target_latency_ms": 300, "priority": 1, "service": r.service, "max_attempts": r.attempts, "public": r.public, "session_affinity": false,
		"stream_resume": r.kind == "streaming", "target_gap_ms": 300,
	}
}

func (s serviceSpec) describe() map[string]any {
	spec := map[string]any{"name": s.name, "health_path": "/health", "max_connections": 600, "protocol": "h1", "tls": false}
	if s.coldPerS > 0 {
		spec["cold_start_s"], spec["cold_per_s"] = coldStart.Seconds(), s.coldPerS
	}
	return spec
}

func manifest(version int, routes []routeSpec, services []serviceSpec) string {
	m := map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{key}, "priority": 1}},
	}
	var rs, ss []any
	for _, r := range routes {
		rs = append(rs, r.describe())
	}
	for _, s := range services {
		ss = append(ss, s.describe())
	}
	m["routes"], m["services"] = rs, ss
	data, _ := json.Marshal(m)
	return string(data)
}

// server is a stand-in server. It announces itself and answers requests.
type server struct {
	lab               *lab
	id, service, zone string
	address           string
	slots             int
	work              time.Duration
	http              *http.Server
	cancel            context.CancelFunc

	mu        sync.Mutex
	born      int64
	seq       int
	coldUntil time.Time
	cold      time.Duration // cold is how long the server is cold after a start.
	state     string
	beatAt    string
	arrivals  []arrival
	conns     map[net.Conn]bool

	step    time.Duration // step is how far the time of day of its machine is off.
	crashed atomic.Bool
	open    atomic.Int64
	stream  func(w http.ResponseWriter, r *http.Request, attempt string) // stream answers in place of the usual answer; nil for that.
}

type arrival struct {
	at   time.Time
	id   string
	path string
	cold bool
}

func (l *lab) newServer(id, service, zone string, slots int, work time.Duration, address string) (*server, error) {
	s := &server{lab: l, id: id, service: service, zone: zone, slots: slots, work: work, state: "ready", conns: map[net.Conn]bool{}, address: address}
	l.servers = append(l.servers, s)
	return s, s.begin()
}

// begin starts a boot of the server, at the address of the last one if there was one.
func (s *server) begin() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.lab.ctx)
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.born, s.seq, s.cancel, s.beatAt = time.Now().Add(s.step).UnixMilli(), 0, cancel, ""
	s.coldUntil = time.Now().Add(s.cold)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[c] = true
		}
		if state == http.StateClosed {
			delete(s.conns, c)
		}
	}}
	server := s.http
	s.mu.Unlock()
	s.lab.note("server %s of %s in zone %s begins at %s, born %d", s.id, s.service, s.zone, s.address, s.born)
	go func() { _ = server.Serve(listener) }()
	s.lab.beats.Go(func() { s.beat(ctx) })
	return nil
}

// end crashes the server: nothing listens any more, and all connections are reset.
func (s *server) end() {
	s.mu.Lock()
	cancel, server := s.cancel, s.http
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	cancel()
	_ = server.Close()
}

func (s *server) coldMs() int64 {
	return max(0, time.Until(s.coldUntil).Milliseconds())
}

func (s *server) announcement() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	data, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "cold_remaining_ms": s.coldMs(), "seq_no": s.seq, "born": s.born,
	})
	return data
}

// beat sends heartbeats about every 1.2 s.
func (s *server) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	node := int(s.id[len(s.id)-1])
	for {
		data := s.announcement()
		for range 4 {
			s.mu.Lock()
			address := s.beatAt
			s.mu.Unlock()
			if address == "" {
				node++
				address = s.lab.controlAddress(node % s.lab.controls)
			}
			response, err := client.Post("http://"+address+"/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(data))
			if err == nil {
				var answer struct {
					Addr string `json:"heartbeat_addr"`
				}
				_ = json.NewDecoder(response.Body).Decode(&answer)
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					s.mu.Lock()
					s.beatAt = answer.Addr
					s.mu.Unlock()
					break
				}
			}
			s.mu.Lock()
			s.beatAt = ""
			s.mu.Unlock()
			if ctx.Err() != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if r.URL.Path == "/health" {
		s.mu.Lock()
		w.Header().Set("Papayaseam-Instance-Id", s.id)
		w.Header().Set("Papayaseam-Cold-Ms", strconv.FormatInt(s.coldMs(), 10))
		s.mu.Unlock()
		return
	}
	attempt := r.Header.Get("Papayaseam-Attempt-Id")
	w.Header().Set("Papayaseam-Attempt-Id", attempt)
	if expect := r.Header.Get("Papayaseam-Expect-Instance"); expect != "" && expect != s.id {
		w.Header().Set("Papayaseam-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	cold := at.Before(s.coldUntil)
	s.arrivals = append(s.arrivals, arrival{at: at, id: attempt, path: r.URL.Path, cold: cold})
	s.mu.Unlock()
	s.lab.note("%s runs %s %s", s.id, attempt, r.URL.Path)
	if s.stream != nil {
		s.stream(w, r, attempt)
		return
	}
	time.Sleep(s.work)
	w.Header().Set("Papayaseam-Server-Seal", "seal."+s.id+"."+attempt)
	w.Header().Set("Papayaseam-Server-Load", fmt.Sprintf("1,0,%d", s.slots))
	fmt.Fprintf(w, "%s %s %d", s.id, r.URL.Path, len(body))
}

func (s *server) since(t time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []arrival
	for _, a := range s.arrivals {
		if a.at.After(t) {
			list = append(list, a)
		}
	}
	return list
}

// request sends one request of a client to an entry.
func (l *lab) request(entry int, id, path, body string, deadline time.Duration) (int, string, http.Header, error) {
	return send(http.MethodPost, "http://"+l.entryAddress(entry)+path, map[string]string{
		"Host": host, "Papayaseam-Attempt-Id": id, "Papayaseam-Deadline-Ms": strconv.Itoa(int(deadline.Milliseconds())), "Authorization": "Bearer " + key,
	}, body, deadline)
}

// ready waits until an entry says that it is ready.
func (l *lab) ready(entry int) bool {
	for range 200 {
		status, _, _, err := send(http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", l.ip(50+entry), readyPort), nil, "", time.Second)
		if err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// load sends requests to the entries in turn, about so many a second, until the lab ends.
func (l *lab) load(prefix string, perS int, deadline time.Duration, entries ...int) {
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
			entry := entries[n%len(entries)]
			id := fmt.Sprintf("%s%06d", strings.Trim(prefix, "/"), n)
			calls.Go(func() {
				status, _, _, err := l.request(entry, id, prefix+id, "body "+id, deadline)
				l.note("client: %s by entry-%d: status %d failed %v", id, entry, status, err != nil)
			})
		}
	})
}

// up starts control processes, entries and the first manifest.
func (l *lab) up(controls, entries int, document string) error {
	l.controls = controls
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
	var nodes []int
	for i := range controls {
		nodes = append(nodes, i)
	}
	if _, err := l.operate("/Config.Put", document, nodes...); err != nil {
		return err
	}
	for i := range entries {
		if !l.ready(i) {
			return fmt.Errorf("entry-%d is not ready", i)
		}
	}
	return nil
}
