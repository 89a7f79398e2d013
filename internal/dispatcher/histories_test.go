package dispatcher_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/admitter"
	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"

	"pgregory.net/rapid"
)

// storedResponse is what a leader keeps of an attempt's response.
type storedResponse struct {
	request string
	data    string
	final   *messenger.Frame
}

// leader is the leader of a group: a side process and its endpoint.
type leader struct {
	name        string
	incarnation int
	token       admitter.TokenIssuer
	machine     *admitter.Machine
	attempts    map[string]*storedResponse
}

// packet is a message in flight on a connection. Packets of different connections
// are delivered in any order, also after the caller gave up the connection.
type packet struct {
	connection int
	sequence   int // sequence orders the packets by the time they were sent.
	deliver    func()
}

// caller sends one request. Several callers with the same key share one logical
// request.
type caller struct {
	id         string
	key        string
	repeatable bool
	machine    *dispatcher.Machine
	connection int
	received   string
	finish     *dispatcher.FinishEffect
	attempts   []string
	foreign    bool
}

// world simulates entries, leaders and control in virtual time.
type world struct {
	t               *rapid.T
	now             time.Duration
	leaders         []*leader
	callers         []*caller
	control         *registrar.Registrar
	logIndex        int
	packets         []packet
	silent          map[int]bool
	lastSequence    int
	lastID          int
	starts          map[string]int // starts counts the started attempts of each logical request.
	startsByAttempt map[string]int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, control: registrar.New(), silent: map[int]bool{}, starts: map[string]int{}, startsByAttempt: map[string]int{}}
	for i := range 3 {
		l := &leader{name: fmt.Sprintf("g%d", i)}
		w.leaders = append(w.leaders, l)
		w.restart(l)
	}
	return w
}

// restart replaces a leader's process by a new one that lost all state.
func (w *world) restart(l *leader) {
	l.incarnation++
	l.token = admitter.NewTokenIssuer(fmt.Sprintf("%s-%d", l.name, l.incarnation))
	l.machine = admitter.New(admitter.WithConcurrencyLimit(2), admitter.WithQueueLimit(3))
	l.machine.Update(w.now, admitter.OpenMsg{})
	l.attempts = map[string]*storedResponse{}
}

// enqueue adds a packet to those in flight.
func (w *world) enqueue(connection int, deliver func()) {
	w.lastSequence++
	w.packets = append(w.packets, packet{connection, w.lastSequence, deliver})
}

// responseFor returns the complete response to a logical request.
func responseFor(request string) string { return strings.Repeat("answer to "+request+". ", 3) }

// logicalID returns the idempotency key, or the request ID if there is none.
func (c *caller) logicalID() string {
	if c.key != "" {
		return c.key
	}
	return c.id
}

// submit starts a request; callers with the same key share one logical request.
func (w *world) submit(key string, repeatable bool) *caller {
	w.lastID++
	c := &caller{id: fmt.Sprintf("r%d", w.lastID), key: key, repeatable: repeatable}
	c.machine = dispatcher.New(dispatcher.Request{
		ID: c.id, Organisation: "o", IdempotencyKey: key, Fingerprint: c.logicalID(), Repeatable: repeatable,
	}, func() string {
		w.lastID++
		return fmt.Sprintf("%s/%d", c.logicalID(), w.lastID)
	})
	w.callers = append(w.callers, c)
	w.update(c, dispatcher.StartMsg{})
	return c
}

// newConnection opens a connection for a caller and abandons its previous one.
func (w *world) newConnection(c *caller) int {
	w.lastID++
	c.connection = w.lastID
	return c.connection
}

// reply sends a message to a caller over a connection. The caller ignores it unless
// this is its newest connection.
func (w *world) reply(c *caller, connection int, msg dispatcher.Msg) {
	w.enqueue(connection, func() {
		if c.connection == connection {
			w.update(c, msg)
		}
	})
}

// update passes a message to a caller's machine and executes the effects.
func (w *world) update(c *caller, msg dispatcher.Msg) {
	for _, effect := range c.machine.Update(w.now, msg) {
		switch effect := effect.(type) {
		case dispatcher.ChooseEffect:
			w.choose(c, effect)
		case dispatcher.ClaimEffect:
			w.claim(c, effect)
		case dispatcher.SendEffect:
			w.send(c, effect)
		case dispatcher.AttachEffect:
			w.attach(c, effect)
		case dispatcher.RevokeEffect:
			w.revoke(c, effect)
		case dispatcher.DeliverEffect:
			if effect.Frame.Offset == 0 {
				c.received = ""
			}
			c.received += string(effect.Frame.Data)
		case dispatcher.ReportCrashEffect:
			w.reply(c, w.newConnection(c), dispatcher.CrashReportedMsg{CrashedReplicas: 1})
		case dispatcher.FinishEffect:
			c.finish = &effect
			w.checkVerdict(c)
		}
	}
}

// choose picks the first leader that is not excluded.
func (w *world) choose(c *caller, effect dispatcher.ChooseEffect) {
	msg := dispatcher.ChosenMsg{Kind: "no-group", Message: "none left"}
	for _, l := range w.leaders {
		if !effect.Excluded[l.name] {
			msg = dispatcher.ChosenMsg{Target: dispatcher.Target{Group: l.name, Address: l.name, Incarnation: l.token.TokenAt(w.now)}}
			break
		}
	}
	w.reply(c, w.newConnection(c), msg)
}

// claim commits the claim at control. The reply is lost if the caller has opened a
// newer connection by then.
func (w *world) claim(c *caller, effect dispatcher.ClaimEffect) {
	connection := w.newConnection(c)
	w.enqueue(connection, func() {
		w.logIndex++
		effects := w.control.Update(registrar.CommandMsg{Index: w.logIndex, Command: messenger.Command{Kind: registrar.CommandClaim, Claim: &effect.Request}})
		w.reply(c, connection, dispatcher.ClaimedMsg{Answer: effects[0].(registrar.ClaimEffect).Answer})
	})
}

func (w *world) leader(name string) *leader {
	return w.leaders[slices.IndexFunc(w.leaders, func(l *leader) bool { return l.name == name })]
}

func (w *world) send(c *caller, effect dispatcher.SendEffect) {
	c.attempts = append(c.attempts, effect.Attempt)
	connection := w.newConnection(c)
	w.enqueue(connection, func() {
		l := w.leader(effect.Target.Group)
		if !l.token.Accepts(effect.Target.Incarnation, w.now) {
			w.reply(c, connection, dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: effect.Attempt, Final: true, Verdict: "not-run", Kind: "stale-token"}})
			return
		}
		if l.machine.State(effect.Attempt) == admitter.Unknown {
			l.attempts[effect.Attempt] = &storedResponse{request: c.logicalID()}
		}
		w.admit(l, admitter.SubmitMsg{Attempt: admitter.Attempt{ID: effect.Attempt, Organisation: "o"}})
		w.stream(c, connection, l, effect.Attempt, 0)
	})
}

// admit updates a leader's admission and executes the effects.
func (w *world) admit(l *leader, msg admitter.Msg) (revoked admitter.RevokedEffect) {
	for _, effect := range l.machine.Update(w.now, msg) {
		switch effect := effect.(type) {
		case admitter.StartEffect:
			w.starts[l.attempts[effect.ID].request]++
			w.startsByAttempt[effect.ID]++
		case admitter.RefuseEffect:
			if l.attempts[effect.ID] == nil {
				l.attempts[effect.ID] = &storedResponse{}
			}
			l.attempts[effect.ID].final = &messenger.Frame{Verdict: "not-run", Kind: effect.Kind}
		case admitter.RevokedEffect:
			revoked = effect
		case admitter.EvictEffect:
			delete(l.attempts, effect.ID)
		case admitter.AbortEffect:
			l.attempts[effect.ID].final = &messenger.Frame{Verdict: "may-have-run", Kind: "group-incomplete"}
		}
	}
	return revoked
}

// stream sends what the leader has of a response from an offset on, then the final
// frame if the attempt ended, or else breaks the connection.
func (w *world) stream(c *caller, connection int, l *leader, id string, offset int) {
	response := l.attempts[id]
	if response == nil {
		w.reply(c, connection, dispatcher.ConnectionLostMsg{Sent: true})
		return
	}
	if len(response.data) > offset {
		w.reply(c, connection, dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: id, Offset: offset, Data: []byte(response.data[offset:])}})
	}
	if response.final == nil {
		w.reply(c, connection, dispatcher.ConnectionLostMsg{Sent: true})
		return
	}
	final := *response.final
	final.Attempt, final.Final, final.Offset, final.Length = id, true, len(response.data), len(response.data)
	w.reply(c, connection, dispatcher.FrameMsg{Frame: final})
}

func (w *world) attach(c *caller, effect dispatcher.AttachEffect) {
	connection := w.newConnection(c)
	w.enqueue(connection, func() {
		l := w.leader(effect.Target.Group)
		if l.attempts[effect.Attempt] == nil {
			w.reply(c, connection, dispatcher.ConnectionLostMsg{Sent: true, AttemptUnknown: true})
			return
		}
		w.stream(c, connection, l, effect.Attempt, effect.Offset)
	})
}

func (w *world) revoke(c *caller, effect dispatcher.RevokeEffect) {
	connection := w.newConnection(c)
	w.enqueue(connection, func() {
		l := w.leader(effect.Target.Group)
		remembered := l.token.WithinRetention(effect.Target.Incarnation, w.now, l.machine.Retention())
		revoked := w.admit(l, admitter.RevokeMsg{ID: effect.Attempt, WithinRetention: remembered})
		w.reply(c, connection, dispatcher.RevokedMsg{NotRun: revoked.NotRun, State: string(revoked.State)})
	})
}

// checkVerdict compares the verdict with what happened so far.
func (w *world) checkVerdict(c *caller) {
	if c.finish.Verdict == dispatcher.Answered && c.received != responseFor(c.logicalID()) {
		w.t.Fatalf("request %s was answered %q", c.logicalID(), c.received)
	}
	w.checkNotRun(c)
}

// checkNotRun checks that no attempt of a request with the verdict "not run" was
// started, neither before nor after the verdict.
func (w *world) checkNotRun(c *caller) {
	if c.finish == nil || c.finish.Verdict != dispatcher.NotRun {
		return
	}
	for _, id := range c.attempts {
		if w.startsByAttempt[id] > 0 {
			w.t.Fatalf("request %s was refused with not-run, but attempt %s started", c.logicalID(), id)
		}
	}
}

// check fails if a request that must not be repeated was started twice, or if a
// verdict "not run" is wrong.
func (w *world) check() {
	for _, c := range w.callers {
		if n := w.starts[c.logicalID()]; n > 1 && (!c.repeatable || c.key != "") {
			w.t.Fatalf("request %s started %d times", c.logicalID(), n)
		}
		w.checkNotRun(c)
	}
}

// TestRequestHistories runs random sequences of faults against the real state
// machines of entry, leader and control. It guards against wrong verdicts, repeated
// runs and corrupt responses after late, lost and reordered messages, broken
// connections, leaders that restart without state, crashed endpoints, full queues,
// and callers that send the same request again through another entry.
func TestRequestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			w.randomStep()
			w.check()
		}
	})
}

// randomStep delivers a packet, advances the clock, submits a request, changes a
// leader or breaks a connection.
func (w *world) randomStep() {
	t := w.t
	l := rapid.SampledFrom(w.leaders).Draw(t, "leader")
	switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
	case action < 8:
		w.deliverRandom()
	case action < 10:
		w.now += time.Duration(rapid.SampledFrom([]int{1, 100, 2000, 30_000, 130_000}).Draw(t, "ms")) * time.Millisecond
		for _, other := range w.leaders {
			w.admit(other, admitter.TickMsg{})
		}
	case action < 13:
		key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
		w.submit(key, rapid.Bool().Draw(t, "repeatable") && key == "")
	case action < 16:
		w.admit(l, admitter.StartMsg{})
	case action == 16:
		w.advanceAttempt(l)
	case action == 17:
		w.restart(l)
	case action == 18 && len(w.packets) > 0:
		w.breakConnection()
	case action == 19:
		w.admit(l, admitter.AbortAllMsg{})
	}
}

// deliverRandom delivers the oldest packet of a random connection.
func (w *world) deliverRandom() {
	if len(w.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "packet")
	connection := w.packets[i].connection
	i = slices.IndexFunc(w.packets, func(p packet) bool { return p.connection == connection })
	p := w.packets[i]
	w.packets = slices.Delete(w.packets, i, i+1)
	p.deliver()
}

// breakConnection breaks the newest connection of a caller. Packets that the caller
// sent over it may still arrive.
func (w *world) breakConnection() {
	i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "silent")
	for _, c := range w.callers {
		if c.finish == nil && c.connection == w.packets[i].connection {
			w.newConnection(c)
			w.update(c, dispatcher.ConnectionLostMsg{Sent: true, ConnectionRefused: rapid.Bool().Draw(w.t, "refused")})
			return
		}
	}
}

// advanceAttempt makes a random running attempt produce more of its response, and
// ends the attempt when the response is complete.
func (w *world) advanceAttempt(l *leader) {
	var running []string
	for id, response := range l.attempts {
		if response.final == nil && l.machine.State(id) == admitter.Running {
			running = append(running, id)
		}
	}
	if len(running) == 0 {
		return
	}
	slices.Sort(running)
	id := rapid.SampledFrom(running).Draw(w.t, "attempt")
	response := l.attempts[id]
	complete := responseFor(response.request)
	response.data = complete[:min(len(complete), len(response.data)+20)]
	if len(response.data) == len(complete) {
		response.final = &messenger.Frame{Verdict: "answered"}
		w.admit(l, admitter.FinishMsg{ID: id})
	}
}
