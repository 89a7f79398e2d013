package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The times of a server stand-in, as its manifest declares them.
const (
	beatInterval = 1200 * time.Millisecond
	loadTime     = 2 * time.Second
	warmTime     = 500 * time.Millisecond
	rejoinTime   = 200 * time.Millisecond
	formTime     = 300 * time.Millisecond
	stallTime    = 6 * time.Second
)

// The states of a member.
const (
	stateJoining = "joining"
	stateReady   = "ready"
	stateOpen    = "open"
	stateClosing = "closing"
	stateBroken  = "broken"
)

// order is an order to a server.
type order struct {
	Op           string   `json:"op"`
	Group        string   `json:"group"`
	Epoch        int      `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	FencingToken int      `json:"fencing_token"`
	Precondition *int     `json:"precondition"`
}

// server is a stand-in for a model server, as the pages describe one.
type server struct {
	*recorder
	id, zone, address string
	fleet             *fleet
	born              int64
	listener          net.Listener

	mu         sync.Mutex
	beats      int
	accepted   int // accepted is seq_no: the orders that began something.
	fence      int
	epoch      int // epoch is the highest that this life has seen.
	group      string
	groupEpoch int
	rank       int
	members    []string
	state      string
	model      string // model is the one of the last group.
	staged     string
	changes    int // changes counts what ends a timer that runs.
	stalledAt  time.Time
	cutUntil   time.Time // cutUntil is when control reaches the server again.
}

// fleet is all servers, and what the rule's check has found.
type fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	order   []*server
	broken  []string
	onOpen  func(s *server) (late time.Duration) // onOpen is asked at each order to open.
}

func (f *fleet) violation(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, text)
}

func (f *fleet) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// add starts a server and its heartbeats.
func (f *fleet) add(r *recorder, id, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{recorder: r, id: id, zone: zone, address: listener.Addr().String(), fleet: f, born: time.Now().UnixMilli(), listener: listener}
	f.servers[id] = s
	f.order = append(f.order, s)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("POST /order", s.takeOrder)
	go func() { _ = http.Serve(listener, mux) }()
	go s.announce()
	go s.watchMembers()
	return nil
}

// cut reports whether the server is partitioned from control.
func (s *server) cut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.cutUntil)
}

// silent holds a call of control as long as the server is cut off, and reports whether it
// was: nothing of such a call reaches the server.
func (s *server) silent(r *http.Request) bool {
	if !s.cut() {
		return false
	}
	<-r.Context().Done()
	return true
}

// said returns what the server says of itself; mu is held.
func (s *server) said() map[string]any {
	out := map[string]any{"born": s.born, "stage": "both", "busy": s.state == stateJoining, "domain": "d0", "models": []any{}, "staged": []any{}}
	if s.staged != "" {
		out["staged"] = []string{s.staged}
	}
	if s.group != "" {
		out["group"] = map[string]any{"name": s.group, "epoch": s.groupEpoch, "rank": s.rank, "state": s.state}
		if s.state != stateJoining {
			out["models"] = []any{map[string]any{"name": s.model, "version": 1, "adapters": []string{}}}
		}
	}
	return out
}

func (s *server) report(w http.ResponseWriter, r *http.Request) {
	if s.silent(r) {
		return
	}
	if r.Header.Get("Papayaseam-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	out := s.said()
	out["seq_no"] = s.accepted
	s.mu.Unlock()
	for name, value := range map[string]any{"queued": 0, "active": 0, "kv_used": 0, "kv_total": 1860000, "handles": 0, "pace": 1.0} {
		out[name] = value
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (s *server) takeOrder(w http.ResponseWriter, r *http.Request) {
	if s.silent(r) {
		return
	}
	if r.Header.Get("Papayaseam-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	data, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Op == "open" {
		if late := s.fleet.onOpen(s); late > 0 {
			s.note("%s gets the order to open %s; it gives no answer, and carries it out %.1f s later", s.id, o.Group, late.Seconds())
			time.AfterFunc(late, func() { s.carryOut(o) })
			<-r.Context().Done()
			return
		}
	}
	w.WriteHeader(s.carryOut(o))
}

// carryOut carries an order out and returns the status of its answer.
func (s *server) carryOut(o order) int {
	s.mu.Lock()
	status := s.apply(o)
	s.mu.Unlock()
	s.note("%s %s %s epoch %d: %d", s.id, o.Op, o.Group, o.Epoch, status)
	if status == http.StatusAccepted {
		go s.beat()
	}
	return status
}

func (s *server) apply(o order) int {
	if o.FencingToken < s.fence {
		return http.StatusPreconditionFailed
	}
	s.fence = o.FencingToken
	if o.Precondition != nil && *o.Precondition != s.accepted {
		return http.StatusConflict
	}
	if o.Op == "join" {
		return s.join(o)
	}
	if o.Op == "stage" {
		if s.staged == o.Model {
			return http.StatusOK
		}
		s.accepted++
		time.AfterFunc(loadTime, func() { s.mu.Lock(); s.staged = o.Model; s.mu.Unlock(); s.beat() })
		return http.StatusAccepted
	}
	if o.Group != s.group || o.Epoch != s.groupEpoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "open":
		return s.open()
	case "close":
		if s.state != stateOpen {
			return http.StatusOK
		}
		s.accepted++
		s.set(stateReady)
		return http.StatusAccepted
	case "leave":
		s.accepted++
		s.group, s.groupEpoch, s.rank, s.members = "", 0, 0, nil
		s.set("")
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

// set changes the state and ends the timers that run; mu is held.
func (s *server) set(state string) {
	s.state = state
	s.changes++
	s.stalledAt = time.Time{}
}

// after changes the state after a time, unless it has changed meanwhile; mu is held.
func (s *server) after(d time.Duration, from, to string) {
	change := s.changes
	time.AfterFunc(d, func() {
		s.mu.Lock()
		same := s.changes == change && s.state == from
		if same {
			s.set(to)
			if to == stateReady {
				s.staged = s.model
			}
		}
		s.mu.Unlock()
		if same {
			s.note("%s is %s in %s", s.id, to, s.group)
			s.beat()
		}
	})
}

func (s *server) join(o order) int {
	same := o.Group == s.group && o.Epoch == s.groupEpoch
	switch {
	case o.Epoch < s.epoch, same && !slices.Equal(o.Members, s.members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	}
	if s.group != "" {
		s.checkTwo(o)
	}
	join := loadTime
	switch o.Model {
	case s.model:
		join = rejoinTime
	case s.staged:
		join = warmTime
	}
	s.accepted++
	s.epoch, s.group, s.groupEpoch, s.members, s.model = o.Epoch, o.Group, o.Epoch, o.Members, o.Model
	s.rank = slices.Index(o.Members, s.id)
	s.set(stateJoining)
	s.after(join, stateJoining, stateReady)
	return http.StatusAccepted
}

// checkTwo is the rule TWO: a server takes a join of another group while the head of its
// group is open or closing, or stands still and isn't yet broken; mu is held.
func (s *server) checkTwo(o order) {
	state, epoch := s.state, s.groupEpoch
	if head := s.members[0]; head != s.id {
		h := s.fleet.servers[head]
		h.mu.Lock()
		state, epoch = h.state, h.groupEpoch
		if h.group != s.group {
			epoch = -1
		}
		h.mu.Unlock()
	}
	if epoch == s.groupEpoch && (state == stateOpen || state == stateClosing) {
		text := fmt.Sprintf("TWO: %s takes a join of %s while the head %s of its group %s, which it has not left, is %s", s.id, o.Group, s.members[0], s.group, state)
		s.note("%s", text)
		s.fleet.violation(text)
	}
}

func (s *server) open() int {
	switch s.state {
	case stateOpen:
		return http.StatusOK
	case stateReady:
		s.accepted++
		s.changes++
		s.after(formTime, stateReady, stateOpen)
		return http.StatusAccepted
	}
	return http.StatusConflict
}

// watchMembers breaks the group of an open head whose member has left once the head has
// stood still for the stall time.
func (s *server) watchMembers() {
	for ; ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		open, group, epoch, members := s.state == stateOpen, s.group, s.groupEpoch, s.members
		s.mu.Unlock()
		if !open {
			continue
		}
		whole := true
		for _, id := range members {
			m := s.fleet.servers[id]
			m.mu.Lock()
			whole = whole && m.group == group && m.groupEpoch == epoch
			m.mu.Unlock()
		}
		s.mu.Lock()
		switch {
		case s.state != stateOpen || whole:
			s.stalledAt = time.Time{}
		case s.stalledAt.IsZero():
			s.stalledAt = time.Now()
		case time.Since(s.stalledAt) >= stallTime:
			s.set(stateBroken)
		}
		s.mu.Unlock()
	}
}

// announce sends heartbeats.
func (s *server) announce() {
	for ; ; time.Sleep(beatInterval) {
		s.beat()
	}
}

// beat sends a heartbeat to one control process after another until one acknowledges it.
func (s *server) beat() {
	if s.cut() {
		return
	}
	s.mu.Lock()
	s.beats++
	out := s.said()
	for name, value := range map[string]any{
		"service": "engine", "address": s.address, "zone": s.zone, "version": "v1", "slots": 34, "state": "ready", "cold_remaining_ms": 0, "seq_no": s.beats,
	} {
		out[name] = value
	}
	s.mu.Unlock()
	body, _ := json.Marshal(out)
	for i := range 3 {
		status, _, err := call(http.MethodPost, "http://"+controlAddress(i)+"/Instances.Heartbeat/"+s.id, string(body), time.Second)
		if err == nil && status < 300 {
			return
		}
	}
}
