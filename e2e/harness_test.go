package e2e

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"papayaseam/internal/addresser"
	"papayaseam/internal/faker"
	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"gotest.tools/v3/assert"
)

const (
	patience = 60 * time.Second
	apiKey   = "counter-key"
)

var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "papayaseam-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "papayaseam")
	build := exec.Command("go", "build", "-o", binary, "../cmd/papayaseam")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one started process.
type process struct {
	name    string
	address string
	file    string
	cmd     *exec.Cmd
	ended   chan error
	log     string
}

// system is a whole deployment in small.
type system struct {
	t         testing.TB
	folder    string
	places    []string
	peers     string
	controls  []string
	processes map[string]*process
	entries   []string
	endpoints map[string]string
	sides     map[string]string
	forwards  map[string]*forward // forwards stand before the processes named here.
}

// deployment is the shape of a system.
type deployment struct {
	region    string
	places    []string
	model     string
	service   string
	instances int
	services  int
	step      int
	forwarded []string // forwarded names sides to put a forwarder before.
	restart   int
	slow      string // slow names an instance whose endpoint takes five times as long for a token.
	first     int    // first is the time to an endpoint's first byte in milliseconds.

	forwardControls bool // forwardControls puts a forwarder before each control process.
}

func harrowQuill() deployment {
	return deployment{region: "maine", places: []string{"portland", "camden", "bangor"}, model: "verse-8b", service: "orders", instances: 5, services: 2, step: 20, restart: 1000}
}

func taisetsu() deployment {
	return deployment{region: "hokkaido", places: []string{"asahikawa", "biei", "furano"}, model: "keeper-8b", service: "collections", instances: 5, services: 2, step: 20, restart: 1000}
}

// start starts a deployment: three control processes, two entries, and the
// given number of instances in one fabric domain.
func start(t testing.TB, d deployment) *system {
	s := &system{
		t: t, folder: t.TempDir(), places: d.places, processes: map[string]*process{},
		endpoints: map[string]string{}, sides: map[string]string{}, forwards: map[string]*forward{},
	}
	t.Cleanup(s.stop)
	var pairs []string
	var listens []string
	for i := range 3 {
		listen := addresser.Next()
		address := listen
		name := fmt.Sprintf("control-%d", i+1)
		if d.forwardControls {
			s.forwards[name] = newForward(t, listen)
			address = s.forwards[name].address
		}
		listens = append(listens, listen)
		s.controls = append(s.controls, address)
		pairs = append(pairs, name+"="+address)
	}
	s.peers = strings.Join(pairs, ", ")
	for i, listen := range listens {
		s.control(i+1, listen, d)
	}
	for i := range 2 {
		s.entry(i+1, d)
	}
	for i := range d.instances {
		s.instance(fmt.Sprintf("instance-%d", i+1), "", i, d)
	}
	for i := range d.services {
		s.instance(fmt.Sprintf("%s-%d", d.service, i+1), d.service, i, d)
	}
	return s
}

func (s *system) control(n int, listen string, d deployment) {
	name := fmt.Sprintf("control-%d", n)
	s.run(name, listen, fmt.Sprintf("[process]\nroles = control\nname = %s\nregion = %s\nfailure-domain = %s\nlisten = %s\nadvertise = %s\n[control]\npeers = %s\ndata-folder = %s\n",
		name, d.region, s.places[(n-1)%3], listen, s.controls[n-1], s.peers, filepath.Join(s.folder, name)))
}

func (s *system) entry(n int, d deployment) {
	name, inner, api := fmt.Sprintf("entry-%d", n), addresser.Next(), addresser.Next()
	s.entries = append(s.entries, api)
	s.run(name, inner, fmt.Sprintf("[process]\nroles = entry\nname = %s\nregion = %s\nfailure-domain = %s\nlisten = %s\n[control]\npeers = %s\n[entry]\nlisten = %s\n",
		name, d.region, s.places[n%3], inner, s.peers, api))
}

// instance starts an endpoint and the side process beside it.
func (s *system) instance(name, service string, place int, d deployment) {
	side, endpoint := addresser.Next(), addresser.Next()
	s.sides[name], s.endpoints[name] = side, endpoint
	advertise := side
	for _, forwarded := range d.forwarded {
		if forwarded == name {
			s.forwards[name] = newForward(s.t, side)
			advertise = s.forwards[name].address
		}
	}
	common := fmt.Sprintf("name = %s\nregion = %s\nfailure-domain = %s\nfabric-domain = fabric-1\n", name, d.region, s.places[place%3])
	s.run(name, side, fmt.Sprintf("[process]\nroles = side\n%slisten = %s\nadvertise = %s\n[control]\npeers = %s\n[side]\n", common, side, advertise, s.peers))
	step := d.step
	if name == d.slow {
		step *= 5
	}
	serviceLine := ""
	if service != "" {
		serviceLine = "service = " + service + "\n"
	}
	s.run(name+"-endpoint", endpoint, fmt.Sprintf("[process]\nroles = fake-endpoint\n%s[control]\npeers = %s\n[fake-endpoint]\nlisten = %s\nside = %s\nstep-ms = %d\nfirst-token-ms = %d\nrestart-ms = %d\nchecks-fencing = %t\n%s",
		common, s.peers, endpoint, side, step, max(d.first, 50), d.restart, place%2 == 0, serviceLine))
}

// run writes the settings and starts a process.
func (s *system) run(name, address, settings string) {
	file := filepath.Join(s.folder, name+".ini")
	assert.NilError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	p := &process{name: name, address: address, file: file, log: filepath.Join(s.folder, name+".log")}
	s.processes[name] = p
	s.launch(p)
}

func (s *system) launch(p *process) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(s.t, err)
	p.cmd = exec.Command(binary, "run", "--settings", p.file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(s.t, p.cmd.Start())
	p.ended = make(chan error, 1)
	cmd, ended := p.cmd, p.ended
	go func() {
		ended <- cmd.Wait()
		_ = log.Close()
	}()
}

// signal sends a signal to a process.
func (s *system) signal(name string, sig syscall.Signal) {
	assert.NilError(s.t, s.processes[name].cmd.Process.Signal(sig))
}

// kill ends a process without warning and waits for its end.
func (s *system) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	p := s.processes[name]
	err := <-p.ended
	p.ended <- err
}

// awaitEnd waits for a process to end by itself.
func (s *system) awaitEnd(name string) error {
	select {
	case err := <-s.processes[name].ended:
		s.processes[name].ended <- err
		return err
	case <-time.After(patience):
		s.fail("process %s did not end", name)
		return nil
	}
}

func (s *system) stop() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.ended
	}
	if s.t.Failed() {
		s.showLogs()
	}
}

// showLogs prints the last lines of all processes' logs.
func (s *system) showLogs() {
	for name, p := range s.processes {
		data, _ := os.ReadFile(p.log)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		s.t.Logf("--- %s\n%s", name, strings.Join(lines[max(0, len(lines)-12):], "\n"))
	}
}

func (s *system) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf(format, args...)
}

// until waits for a condition.
func (s *system) until(what string, condition func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.fail("waited in vain until %s", what)
}

// ticketText is the declaration of a deployment.
func ticketText(number int, author string, d deployment, groups int) string {
	sum := sha256.Sum256([]byte(apiKey))
	return fmt.Sprintf("[ticket]\nnumber = %d\nauthor = %s\nreason = test\n[model %s]\nversion = v%d\nmembers = 2\ngroups = %d\nparallel = 8\nload-ms = 200\n[service %s]\nrepeatable = false\n[organisation counter]\nweight = 1\nkeys-sha256 = %s\n",
		number, author, d.model, number, groups, d.service, hex.EncodeToString(sum[:]))
}

// command runs the command line and returns its output and exit code.
func (s *system) command(args ...string) (string, int) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "PAPAYASEAM_CONTROL="+strings.Join(s.controls, ","))
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// submit submits a ticket by the command line.
func (s *system) submit(text string, args ...string) (string, int) {
	file, err := os.CreateTemp(s.folder, "ticket-*.ini")
	assert.NilError(s.t, err)
	_, err = file.WriteString(text)
	assert.NilError(s.t, err)
	assert.NilError(s.t, file.Close())
	return s.command(append([]string{"ticket", "submit", file.Name()}, args...)...)
}

// declare submits the deployment's ticket and waits until its groups serve.
func (s *system) declare(d deployment, groups int) {
	s.t.Helper()
	out, code := s.submit(ticketText(1, "hana", d, groups), "--wait", "30s")
	assert.Equal(s.t, code, 0, out)
	s.untilServing(groups + d.services)
}

func (s *system) untilServing(groups int) {
	s.t.Helper()
	s.until(fmt.Sprintf("%d groups serve", groups), func() bool {
		n := 0
		for _, group := range s.status().Groups {
			if group.Ready {
				n++
			}
		}
		return n >= groups
	})
}

// untilListening waits until a restarted entry takes connections.
func (s *system) untilListening(entry int) {
	s.t.Helper()
	s.until(fmt.Sprintf("entry %d listens", entry), func() bool {
		conn, err := net.DialTimeout("tcp", s.entries[entry], time.Second)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
}

func (s *system) status() messenger.StatusReport {
	client := transporter.NewClient()
	for _, address := range s.controls {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		var report messenger.StatusReport
		err := client.Get(ctx, "http://"+address+"/v1/status", &report)
		cancel()
		if err == nil {
			return report
		}
	}
	return messenger.StatusReport{}
}

// group returns the state of a group by its name.
func (s *system) group(name string) messenger.GroupState {
	for _, group := range s.status().Groups {
		if group.Name == name {
			return group
		}
	}
	return messenger.GroupState{}
}

// reply is a caller's view of one request.
type reply struct {
	status int
	text   string
	whole  bool // whole is set where a stream ended with its end mark.
	err    messenger.ErrorBody
	broken error
}

// chat sends a model request; onWord is called for each piece of a stream.
func (s *system) chat(entry int, d deployment, prompt string, tokens int, stream bool, onWord func(n int)) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, d.model, stream, tokens, prompt)
	response, err := s.post(entry, "/v1/chat/completions", body, nil)
	if err != nil {
		return reply{broken: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode}
	if response.StatusCode != http.StatusOK || !stream {
		r.readWhole(response.Body)
		return r
	}
	scanner := bufio.NewScanner(response.Body)
	for n := 0; scanner.Scan(); {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.whole = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
			Error messenger.ErrorBody
		}
		if json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		r.err = chunk.Error
		for _, choice := range chunk.Choices {
			r.text += choice.Delta.Content
			if n++; onWord != nil {
				onWord(n)
			}
		}
	}
	r.broken = scanner.Err()
	return r
}

func (r *reply) readWhole(body io.Reader) {
	data, err := io.ReadAll(body)
	r.broken = err
	var answer struct {
		Choices []struct {
			Message struct{ Content string }
		}
		Error messenger.ErrorBody
	}
	if json.Unmarshal(data, &answer) == nil && len(answer.Choices) > 0 {
		r.text = answer.Choices[0].Message.Content
		r.whole = true
		return
	}
	r.err = answer.Error
	if r.status < http.StatusBadRequest {
		r.text = string(data)
		r.whole = true
	}
}

// order sends a call to the plain service.
func (s *system) order(entry int, d deployment, body, key string) reply {
	response, err := s.post(entry, "/services/"+d.service+"/new", body, map[string]string{"Idempotency-Key": key})
	if err != nil {
		return reply{broken: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode}
	r.readWhole(response.Body)
	return r
}

func (s *system) post(entry int, path, body string, headers map[string]string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	s.t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entries[entry]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return http.DefaultClient.Do(request)
}

// expected is the whole answer of the fake engine.
func expected(prompt string, tokens int) string {
	return strings.Join(faker.Words(prompt, tokens), " ")
}

// runs sums how often endpoints started anything of a service.
func (s *system) runs(prefix string) int {
	total := 0
	for name, address := range s.endpoints {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		var runs map[string]int
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := transporter.NewClient().Get(ctx, "http://"+address+"/v1/runs", &runs)
		cancel()
		if err != nil {
			continue
		}
		for _, n := range runs {
			total += n
		}
	}
	return total
}

// acceptDirect submits a small ticket over HTTP until it is accepted.
func (s *system) acceptDirect(number int, d deployment) {
	s.t.Helper()
	ticket := messenger.Ticket{Number: number, Author: "hana", Reason: "many", Objects: []messenger.Object{{
		Kind: "objective", Name: "verses", Objective: &messenger.ObjectiveSpec{Measure: "requests", Target: d.model, PromisedMs: number, Percent: 99},
	}}}
	s.until("a ticket is accepted", func() bool {
		for _, address := range s.controls {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			var answer messenger.CommandAnswer
			err := transporter.NewClient().Call(ctx, "http://"+address+"/v1/tickets", ticket, &answer)
			cancel()
			if err == nil && answer.Ticket != nil && answer.Ticket.Accepted {
				return true
			}
		}
		return false
	})
}
