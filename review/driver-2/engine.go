package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// pool is a service of model servers that form groups. Its mutex guards all of them, so that
// what one server does can be judged by the state of the others at that moment.
type pool struct {
	lab     *lab
	service string
	models  map[string]modelSpec

	mu      sync.Mutex
	servers map[string]*engine
	traffic bool     // traffic is set by the first request; loads before it take a tenth.
	two     []string // two lists the breaks of the rule TWO.
}

type modelSpec struct {
	size        int
	load, warm  time.Duration
	share, pace float64
}

const (
	formTime  = 300 * time.Millisecond
	reportLag = 200 * time.Millisecond
	stallTime = 5 * time.Second
)

// group is what a server knows of its membership.
type group struct {
	Name    string `json:"name"`
	Epoch   int    `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
	model   string
}

// state is what a server reports of itself.
type state struct {
	at     time.Time
	orders int
	staged []string
	model  string // model is the one that it has loaded; empty for none.
	group  *group
	active int
}

// engine is one model server.
type engine struct {
	pool                      *pool
	id, zone, domain, address string
	born                      int64
	http                      *http.Server
	changed                   chan struct{}

	// The mutex of the pool guards the fields below.
	seq, maxEpoch, maxToken int
	lastModel               string
	now                     state
	history                 []state
	beatAt                  string
}

func (l *lab) newPool(service string, models map[string]modelSpec) *pool {
	return &pool{lab: l, service: service, models: models, servers: map[string]*engine{}}
}

func (p *pool) add(id, zone, domain string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{pool: p, id: id, zone: zone, domain: domain, address: listener.Addr().String(), born: time.Now().UnixMilli(), changed: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Papayaseam-Instance-Id", id) })
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	e.http = &http.Server{Handler: mux}
	p.mu.Lock()
	p.servers[id] = e
	e.record()
	p.mu.Unlock()
	p.lab.note("server %s of %s in zone %s, domain %s, at %s", id, p.service, zone, domain, e.address)
	go func() { _ = e.http.Serve(listener) }()
	p.lab.beats.Go(func() { e.beat(p.lab.ctx) })
	return nil
}

func (p *pool) end() {
	for _, e := range p.servers {
		_ = e.http.Close()
	}
}

// record keeps the state for later reports, which lag, and has it announced at once; the
// pool's mutex is held.
func (e *engine) record() {
	s := e.now
	s.at = time.Now()
	s.staged = slices.Clone(s.staged)
	if s.group != nil {
		copied := *s.group
		s.group = &copied
	}
	e.history = append(e.history, s)
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (s state) describe(fields map[string]any, domain string) {
	models := []any{}
	if s.model != "" {
		models = append(models, map[string]any{"name": s.model, "version": 1, "adapters": []any{}})
	}
	fields["stage"], fields["models"], fields["domain"] = "both", models, domain
	fields["staged"] = append([]string{}, s.staged...)
	if s.group != nil {
		fields["group"] = s.group
	}
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if !e.meant(w, r) {
		return
	}
	e.pool.mu.Lock()
	shown := e.history[0]
	for _, s := range e.history {
		if time.Since(s.at) >= reportLag {
			shown = s
		}
	}
	fields := map[string]any{"busy": false, "seq_no": shown.orders, "queued": 0, "active": shown.active, "kv_used": 0, "kv_total": 100000, "handles": 0, "pace": 1.0, "born": e.born}
	shown.describe(fields, e.domain)
	data, _ := json.Marshal(fields)
	e.pool.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// meant refuses a call for another server.
func (e *engine) meant(w http.ResponseWriter, r *http.Request) bool {
	if expect := r.Header.Get("Papayaseam-Expect-Instance"); expect == "" || expect == e.id {
		return true
	}
	w.Header().Set("Papayaseam-Attempt-Id", r.Header.Get("Papayaseam-Attempt-Id"))
	w.Header().Set("Papayaseam-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

type order struct {
	Op           string   `json:"op"`
	Group        string   `json:"group"`
	Epoch        int      `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	CloseMode    string   `json:"close_mode"`
	FencingToken int      `json:"fencing_token"`
	Precondition *int     `json:"precondition"`
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.meant(w, r) {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.pool.mu.Lock()
	status := e.take(o)
	e.pool.mu.Unlock()
	e.pool.lab.note("%s is ordered: %s group %s epoch %d members %v: %d", e.id, o.Op, o.Group, o.Epoch, o.Members, status)
	w.WriteHeader(status)
}

// take carries out an order; the pool's mutex is held.
func (e *engine) take(o order) int {
	if o.FencingToken < e.maxToken {
		return http.StatusPreconditionFailed
	}
	e.maxToken = max(e.maxToken, o.FencingToken)
	if o.Precondition != nil && *o.Precondition != e.now.orders {
		return http.StatusConflict
	}
	g := e.now.group
	same := g != nil && g.Name == o.Group && g.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return e.join(o, same)
	case "open":
		switch {
		case !same || g.Rank != 0:
			return http.StatusConflict
		case g.State == "open":
			return http.StatusOK
		case g.State != "ready":
			return http.StatusConflict
		}
		e.now.orders++
		e.record()
		e.later(formTime, o, func(g *group) bool { return g.State == "ready" }, func(g *group) { g.State = "open" })
		return http.StatusAccepted
	case "close":
		switch {
		case !same || g.Rank != 0:
			return http.StatusConflict
		case g.State == "ready":
			return http.StatusOK
		}
		e.now.orders++
		g.State = "closing"
		if o.CloseMode == "cutover" || e.now.active == 0 {
			g.State = "ready"
		}
		e.record()
		return http.StatusAccepted
	case "leave":
		if !same {
			return http.StatusOK
		}
		e.now.orders++
		e.now.group, e.now.model = nil, ""
		e.record()
		return http.StatusOK
	case "stage":
		e.now.orders++
		e.record()
		model := o.Model
		time.AfterFunc(e.loadTime(e.pool.models[model]), func() {
			e.pool.mu.Lock()
			defer e.pool.mu.Unlock()
			e.now.staged = []string{model}
			e.record()
		})
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

func (e *engine) loadTime(m modelSpec) time.Duration {
	if !e.pool.traffic {
		return m.load / 10
	}
	return m.load
}

// join takes a membership; the pool's mutex is held.
func (e *engine) join(o order, same bool) int {
	g := e.now.group
	switch {
	case o.Epoch < e.maxEpoch, same && !slices.Equal(g.members, o.Members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	case !slices.Contains(o.Members, e.id):
		return http.StatusBadRequest
	}
	if g != nil {
		head := e.pool.servers[g.members[0]].now.group
		if head != nil && head.Name == g.Name && head.Epoch == g.Epoch && (head.State == "open" || head.State == "closing") {
			broken := fmt.Sprintf("%s takes a join of %s while %s, the head of its group %s, is %s", e.id, o.Group, g.members[0], g.Name, head.State)
			e.pool.two = append(e.pool.two, broken)
			go e.pool.lab.note("TWO: %s", broken)
		}
	}
	model := e.pool.models[o.Model]
	delay := e.loadTime(model)
	switch {
	case e.lastModel == o.Model:
		delay = 200 * time.Millisecond
	case slices.Contains(e.now.staged, o.Model):
		delay = model.warm
	}
	e.maxEpoch = o.Epoch
	e.now.orders++
	e.now.model = ""
	e.now.group = &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: "joining", members: o.Members, model: o.Model}
	e.record()
	e.later(delay, o, func(g *group) bool { return g.State == "joining" }, func(g *group) {
		g.State = "ready"
		e.lastModel, e.now.model, e.now.staged = o.Model, o.Model, []string{o.Model}
	})
	return http.StatusAccepted
}

// later changes a membership after a while, if it is still as it has to be.
func (e *engine) later(delay time.Duration, o order, still func(g *group) bool, change func(g *group)) {
	time.AfterFunc(delay, func() {
		e.pool.mu.Lock()
		defer e.pool.mu.Unlock()
		if g := e.now.group; g != nil && g.Name == o.Group && g.Epoch == o.Epoch && still(g) {
			change(g)
			e.record()
			go e.pool.lab.note("%s: group %s is %s", e.id, g.Name, g.State)
		}
	})
}

// whole reports whether all members of a head's group are in it; the pool's mutex is held.
func (e *engine) whole() bool {
	g := e.now.group
	if g == nil {
		return false
	}
	for _, id := range g.members {
		m := e.pool.servers[id].now.group
		if m == nil || m.Name != g.Name || m.Epoch != g.Epoch {
			return false
		}
	}
	return true
}

func (e *engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Papayaseam-Not-Executed", "1")
	w.Header().Set("At-Server", e.id)
	w.WriteHeader(status)
}

// serveRequest streams events as long as the group is whole.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Papayaseam-Attempt-Id")
	if !e.meant(w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Papayaseam-Attempt-Id", attempt)
	e.pool.mu.Lock()
	e.pool.traffic = true
	g := e.now.group
	switch {
	case g != nil && g.Rank != 0:
		e.pool.mu.Unlock()
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	case g == nil || g.State != "open" || g.model != r.Header.Get("Papayaseam-Model"):
		e.pool.mu.Unlock()
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	e.now.active++
	e.record()
	e.pool.mu.Unlock()
	e.pool.lab.note("%s runs %s in group %s", e.id, attempt, g.Name)
	defer func() {
		e.pool.mu.Lock()
		defer e.pool.mu.Unlock()
		e.now.active--
		if e.now.group != nil && e.now.group.State == "closing" && e.now.active == 0 {
			e.now.group.State = "ready"
		}
		e.record()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Papayaseam-Server-Seal", "seal."+e.id+"."+attempt)
	w.Header().Set("Papayaseam-Weight-Versions", "1")
	next := 1
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &next)
	if r.Header.Get("Last-Event-Id") != "" {
		next++
	}
	flusher := http.NewResponseController(w)
	for ; next <= 12; next++ {
		for stood := time.Duration(0); ; stood += 10 * time.Millisecond {
			e.pool.mu.Lock()
			whole, mine := e.whole(), e.now.group != nil && e.now.group.Name == g.Name && e.now.group.State != "ready"
			e.pool.mu.Unlock()
			if !mine || stood > stallTime || r.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			if whole {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, attempt, next)
		_ = flusher.Flush()
	}
}

func (e *engine) announcement() []byte {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.seq++
	fields := map[string]any{
		"service": e.pool.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "seq_no": e.seq, "born": e.born,
	}
	e.history[len(e.history)-1].describe(fields, e.domain)
	data, _ := json.Marshal(fields)
	return data
}

// beat sends heartbeats about every 1.2 s, and at once after a change of the membership.
func (e *engine) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	node := int(e.id[len(e.id)-1])
	last := ""
	for {
		e.pool.mu.Lock()
		g := e.now.group
		shown := "none"
		if g != nil {
			shown = fmt.Sprint(g.Name, g.Epoch, g.State)
		}
		e.pool.mu.Unlock()
		last = shown
		for range 4 {
			address := e.beatAt
			if address == "" {
				node++
				address = e.pool.lab.controlAddress(node % e.pool.lab.controls)
			}
			response, err := client.Post("http://"+address+"/Instances.Heartbeat/"+e.id, "application/json", bytes.NewReader(e.announcement()))
			e.beatAt = ""
			if err != nil {
				continue
			}
			var answer struct {
				Addr string `json:"heartbeat_addr"`
			}
			_ = json.NewDecoder(response.Body).Decode(&answer)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				e.beatAt = answer.Addr
				break
			}
		}
		for due := time.Now().Add(1200 * time.Millisecond); time.Now().Before(due); {
			select {
			case <-ctx.Done():
				return
			case <-time.After(10 * time.Millisecond):
			case <-e.changed:
			}
			e.pool.mu.Lock()
			shown := "none"
			if g := e.now.group; g != nil {
				shown = fmt.Sprint(g.Name, g.Epoch, g.State)
			}
			e.pool.mu.Unlock()
			if shown != last {
				break
			}
		}
	}
}
