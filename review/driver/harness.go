// Command driver plays the cases of the review: it starts the project's own programs as
// processes on loopback addresses, with stand-ins for servers, clients and the operator.
package main

import (
	"bytes"
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errSetup marks a case that could not run.
var errSetup = errors.New("the case could not run")

const (
	controls   = 3
	machines   = 8 // machines is the number of addresses for programs.
	revokeMs   = 5000
	drainMs    = 2000
	contactMs  = 3000
	graceS     = 8
	routeHost  = "a.example"
	beatPeriod = 1200 * time.Millisecond
)

// deployment is a small system: three control processes and some entries.
type deployment struct {
	folder    string
	binary    string
	base      string // base is the beginning of the loopback addresses of this run.
	ports     map[string]int
	seeds     []string
	processes map[string]*exec.Cmd
	templates map[string]string
	record    *record
	mu        sync.Mutex // mu guards processes where the case is ended from outside.
}

// current is the deployment of this run, to be ended if the run is.
var current atomic.Pointer[deployment]

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// newDeployment prepares a deployment with free ports on loopback addresses of its own.
func newDeployment(rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "papayaseam-review-")
	if err != nil {
		return nil, err
	}
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		return nil, err
	}
	d := &deployment{
		folder: folder, binary: filepath.Join(root, "target", "papayaseam"), processes: map[string]*exec.Cmd{},
		templates: map[string]string{}, record: rec, ports: map[string]int{},
	}
	for _, name := range []string{"control", "entry"} {
		text, err := os.ReadFile(filepath.Join(root, "deploy", name+".ini"))
		if err != nil {
			return nil, err
		}
		d.templates[name] = string(text)
	}
	pid := os.Getpid()
	d.base = fmt.Sprintf("127.%d.%d", 64+pid>>8&0x3f, pid&0xff)
	current.Store(d)
	if err := d.choosePorts(); err != nil {
		return d, err
	}
	for machine := range controls {
		d.seeds = append(d.seeds, d.address(machine, d.ports["control"]))
	}
	return d, nil
}

// choosePorts chooses ports that are free at all addresses of this run.
func (d *deployment) choosePorts() error {
	names := []string{"inner", "control", "front", "ready", "entry-metrics", "control-metrics"}
	for first := 21300; first < 21400; first += len(names) {
		free := true
		for i, name := range names {
			d.ports[name] = first + i
			for machine := range machines {
				listener, err := net.Listen("tcp", d.address(machine, first+i))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("%w: no ports are free", errSetup)
}

func (d *deployment) ip(machine int) string { return fmt.Sprintf("%s.%d", d.base, 10+machine) }

func (d *deployment) address(machine, port int) string {
	return net.JoinHostPort(d.ip(machine), strconv.Itoa(port))
}

func (d *deployment) front(machine int) string { return d.address(machine, d.ports["front"]) }

// startControl starts the control process of a machine.
func (d *deployment) startControl(machine int, first bool) error {
	return d.start("control", machine, map[string]string{
		"{{bootstrap}}": strconv.FormatBool(first), "{{data_dir}}": filepath.Join(d.folder, fmt.Sprint("data-", machine)),
	})
}

// startEntry starts the entry of a machine.
func (d *deployment) startEntry(machine int) error { return d.start("entry", machine, nil) }

func (d *deployment) start(role string, machine int, more map[string]string) error {
	name := fmt.Sprint(role, "-", machine)
	values := map[string]string{
		"{{node_name}}": name, "{{region}}": "r", "{{zone}}": fmt.Sprint("z", machine%3), "{{ip}}": d.ip(machine),
		"{{internal_ports.0}}": strconv.Itoa(d.ports["inner"]), "{{listen_addrs.control}}": d.address(machine, d.ports["control"]),
		"{{listen_addrs.front}}": d.front(machine), "{{listen_addrs.ready}}": d.address(machine, d.ports["ready"]),
		"{{seed_nodes}}": strings.Join(d.seeds, ","), "{{fault_tolerance.machines}}": "1", "{{bounds.stall_ms}}": "6000",
		"{{bounds.grace_s}}": strconv.Itoa(graceS), "{{limits.memory_mb}}": "284", "{{bounds.revoke_ms}}": strconv.Itoa(revokeMs),
		"{{bounds.retry_budget_ratio}}": "0.2",
	}
	for key, value := range more {
		values[key] = value
	}
	settings := strings.NewReplacer(":9464", ":"+strconv.Itoa(d.ports["entry-metrics"]), ":9465", ":"+strconv.Itoa(d.ports["control-metrics"])).Replace(d.templates[role])
	for key, value := range values {
		settings = strings.ReplaceAll(settings, key, value)
	}
	file := filepath.Join(d.folder, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(d.binary, "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	d.processes[name] = cmd
	d.record.add("start %s", name)
	return nil
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, s syscall.Signal) {
	_ = d.processes[name].Process.Signal(s)
	d.record.add("signal %s to %s", s, name)
}

// kill kills a process and waits for its end.
func (d *deployment) kill(name string) {
	_ = d.processes[name].Process.Kill()
	d.await(name)
	d.record.add("killed %s", name)
}

// await waits for the end of a process.
func (d *deployment) await(name string) {
	_ = d.processes[name].Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.processes, name)
}

// end kills all processes and removes their folder.
func (d *deployment) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, cmd := range d.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(d.processes, name)
	}
	_ = os.RemoveAll(d.folder)
}

// leader returns the machine whose control process leads, by the processes' logs.
func (d *deployment) leader() int {
	best, leader := -1, -1
	for machine := range controls {
		if d.processes[fmt.Sprint("control-", machine)] == nil {
			continue
		}
		data, _ := os.ReadFile(filepath.Join(d.folder, fmt.Sprint("control-", machine, ".log")))
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, "leader changed") {
				continue
			}
			term := 0
			if _, after, ok := strings.Cut(line, "term="); ok {
				_, _ = fmt.Sscanf(after, "%d", &term)
			}
			switch leads := strings.Contains(line, "role=leader"); {
			case leads && term >= best:
				best, leader = term, machine
			case !leads && leader == machine && term >= best:
				leader = -1
			}
		}
	}
	return leader
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// ready reports whether an entry says that it is ready.
func (d *deployment) ready(machine int) bool {
	response, err := http.Get("http://" + d.address(machine, d.ports["ready"]) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// put sends a manifest to the control processes until one acknowledges it, and returns
// when that was.
func (d *deployment) put(manifest map[string]any) (time.Time, error) {
	body, err := json.Marshal(manifest)
	if err != nil {
		return time.Time{}, err
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, seed := range d.seeds {
			status, text, err := post(seed, "/Config.Put", nil, body)
			if err == nil && status == http.StatusOK {
				d.record.add("operator: manifest %v acknowledged by %s", manifest["version"], seed)
				return time.Now(), nil
			}
			if err == nil && status == http.StatusBadRequest {
				return time.Time{}, fmt.Errorf("%w: manifest refused: %s", errSetup, text)
			}
		}
	}
	return time.Time{}, fmt.Errorf("%w: no acknowledgement of the manifest", errSetup)
}

// operator is the client of the stand-ins towards the programs. It opens a connection
// for each call.
var operator = &http.Client{
	Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func post(address, path string, header map[string]string, body []byte) (int, string, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := operator.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// route returns a route of the manifest to a plain service.
func route(name, kind, service string, public bool) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000, "target_latency_ms": 300,
		"priority": 1, "service": service, "max_attempts": 2, "public": public,
	}
}

// manifest returns a manifest with plain services.
func manifest(version int, routes []map[string]any, services []string, tenants []map[string]any) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// server is a stand-in of a server of a plain service.
type server struct {
	id, service, address, zone string
	born                       int64
	http                       *http.Server
	listener                   net.Listener
	record                     *record
	run                        func(s *server, w http.ResponseWriter, r *http.Request, id string)
	seeds                      []string
	stop                       chan struct{}

	mu       sync.Mutex
	sequence int
	home     string
}

// startServer starts a server that announces itself.
func (d *deployment) startServer(id, service string, zone int, run func(s *server, w http.ResponseWriter, r *http.Request, id string)) (*server, error) {
	listener, err := net.Listen("tcp", d.ip(20)+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, address: listener.Addr().String(), zone: fmt.Sprint("z", zone%3), born: time.Now().UnixMilli(), listener: listener,
		record: d.record, run: run, seeds: d.seeds, stop: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat()
	return s, nil
}

// beat announces the server every beatPeriod until it stops.
func (s *server) beat() {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		s.announce("ready")
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// say sends a call about this server to the control processes, the home first, until one
// acknowledges it. It returns the address of that one.
func (s *server) say(path string, body []byte) string {
	s.mu.Lock()
	targets := append([]string{s.home}, s.seeds...)
	s.mu.Unlock()
	for _, target := range targets {
		if target == "" {
			continue
		}
		status, text, err := post(target, path, map[string]string{"Content-Type": "application/json"}, body)
		if err != nil || status != http.StatusOK {
			continue
		}
		var answer struct {
			Home string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal([]byte(text), &answer)
		s.mu.Lock()
		s.home = answer.Home
		s.mu.Unlock()
		return target
	}
	return ""
}

func (s *server) announce(state string) string {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": state, "cold_remaining_ms": 0,
		"seq_no": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	return s.say("/Instances.Heartbeat/"+s.id, body)
}

// leave says that the server is gone, without a word before. It calls acknowledged as
// soon as a control process has acknowledged it, and returns the address of that one.
func (s *server) leave(acknowledged func()) string {
	close(s.stop)
	body, _ := json.Marshal(map[string]any{"born": s.born})
	s.mu.Lock()
	targets := append([]string{s.home}, s.seeds...)
	s.mu.Unlock()
	for _, target := range targets {
		if target == "" {
			continue
		}
		response, err := operator.Post("http://"+target+"/Instances.Leave/"+s.id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		if response.StatusCode == http.StatusOK {
			acknowledged()
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return target
		}
	}
	return ""
}

// hasLeft reports whether the server has said that it is gone.
func (s *server) hasLeft() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// exit ends the server as a process that exits: nothing listens, all channels close.
func (s *server) exit() {
	_ = s.http.Close()
	s.record.add("server %s exits", s.id)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Papayaseam-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Papayaseam-Attempt-Id")
	w.Header().Set("Papayaseam-Attempt-Id", id)
	if expect := r.Header.Get("Papayaseam-Expect-Instance"); expect != "" && expect != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.run(s, w, r, id)
}

// answerOK runs a request and answers it.
func answerOK(s *server, w http.ResponseWriter, r *http.Request, id string) {
	s.record.add("server %s runs %s %s of tenant %q", s.id, id, r.URL.Path, r.Header.Get("Papayaseam-Tenant"))
	w.Header().Set("Papayaseam-Server-Seal", "seal-"+s.id+"-"+id)
	_, _ = io.WriteString(w, "done by "+s.id)
}
