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

// kept is an attempt's answer at a leader.
type kept struct {
	request string
	data    string
	final   *messenger.Frame
}

// leader is a group's side process with its endpoint.
type leader struct {
	name     string
	life     int
	token    admitter.TokenIssuer
	machine  *admitter.Machine
	attempts map[string]*kept
}

// packet is one message under way. It belongs to a connection, which may go
// silent; packets may also be delivered late or out of order.
type packet struct {
	connection int
	order      int // order keeps the packets of one connection in sequence.
	deliver    func()
}

// caller is one logical request, which may be sent again with the same key.
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

// world drives entries, leaders and control in virtual time.
type world struct {
	t         *rapid.T
	now       time.Duration
	leaders   []*leader
	callers   []*caller
	control   *registrar.Registrar
	index     int
	packets   []packet
	silent    map[int]bool
	order     int
	ids       int
	starts    map[string]int // starts counts per logical request.
	byAttempt map[string]int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, control: registrar.New(), silent: map[int]bool{}, starts: map[string]int{}, byAttempt: map[string]int{}}
	for i := range 3 {
		l := &leader{name: fmt.Sprintf("g%d", i)}
		w.leaders = append(w.leaders, l)
		w.restart(l)
	}
	return w
}

// restart starts a leader's side process anew, without memory.
func (w *world) restart(l *leader) {
	l.life++
	l.token = admitter.NewTokenIssuer(fmt.Sprintf("%s-%d", l.name, l.life))
	l.machine = admitter.New(admitter.WithConcurrencyLimit(2), admitter.WithQueueLimit(3))
	l.machine.Update(w.now, admitter.OpenMsg{})
	l.attempts = map[string]*kept{}
}

func (w *world) post(connection int, deliver func()) {
	w.order++
	w.packets = append(w.packets, packet{connection, w.order, deliver})
}

// answerFor is the whole answer to a logical request.
func answerFor(request string) string { return strings.Repeat("answer to "+request+". ", 3) }

// logical names a request by its key where it has one.
func (c *caller) logical() string {
	if c.key != "" {
		return c.key
	}
	return c.id
}

func (w *world) call(key string, repeatable bool) *caller {
	w.ids++
	c := &caller{id: fmt.Sprintf("r%d", w.ids), key: key, repeatable: repeatable}
	c.machine = dispatcher.New(dispatcher.Request{
		ID: c.id, Organisation: "o", Key: key, Fingerprint: c.logical(), Repeatable: repeatable,
	}, func() string {
		w.ids++
		return fmt.Sprintf("%s/%d", c.logical(), w.ids)
	})
	w.callers = append(w.callers, c)
	w.feed(c, dispatcher.StartMsg{})
	return c
}

func (w *world) newConnection(c *caller) int {
	w.ids++
	c.connection = w.ids
	return c.connection
}

// back sends something to the caller over a connection; the caller listens to
// its newest connection only.
func (w *world) back(c *caller, connection int, msg dispatcher.Msg) {
	w.post(connection, func() {
		if c.connection == connection {
			w.feed(c, msg)
		}
	})
}

func (w *world) feed(c *caller, msg dispatcher.Msg) {
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
		case dispatcher.ReportEffect:
			w.back(c, w.newConnection(c), dispatcher.ReportedMsg{Crashes: 1})
		case dispatcher.FinishEffect:
			c.finish = &effect
			w.checkFinish(c)
		}
	}
}

func (w *world) choose(c *caller, effect dispatcher.ChooseEffect) {
	msg := dispatcher.ChosenMsg{Kind: "no-group", Message: "none left"}
	for _, l := range w.leaders {
		if !effect.Excluded[l.name] {
			msg = dispatcher.ChosenMsg{Target: dispatcher.Target{Group: l.name, Address: l.name, Incarnation: l.token.TokenAt(w.now)}}
			break
		}
	}
	w.back(c, w.newConnection(c), msg)
}

// claim commits at control; the answer may get lost or the command be sent
// again, as an entry does that asks another control process.
func (w *world) claim(c *caller, effect dispatcher.ClaimEffect) {
	connection := w.newConnection(c)
	w.post(connection, func() {
		w.index++
		answer := w.control.Update(registrar.CommandMsg{Index: w.index, Command: messenger.Command{Kind: registrar.CommandClaim, Claim: &effect.Request}})
		w.back(c, connection, dispatcher.ClaimedMsg{Answer: answer[0].(registrar.ClaimEffect).Answer})
	})
}

func (w *world) leader(name string) *leader {
	return w.leaders[slices.IndexFunc(w.leaders, func(l *leader) bool { return l.name == name })]
}

func (w *world) send(c *caller, effect dispatcher.SendEffect) {
	c.attempts = append(c.attempts, effect.Attempt)
	connection := w.newConnection(c)
	w.post(connection, func() {
		l := w.leader(effect.Target.Group)
		if !l.token.Accepts(effect.Target.Incarnation, w.now) {
			w.back(c, connection, dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: effect.Attempt, Final: true, Verdict: "not-run", Kind: "stale-token"}})
			return
		}
		if l.machine.State(effect.Attempt) == admitter.Unknown {
			l.attempts[effect.Attempt] = &kept{request: c.logical()}
		}
		w.admit(l, admitter.SubmitMsg{Attempt: admitter.Attempt{ID: effect.Attempt, Organisation: "o"}})
		w.stream(c, connection, l, effect.Attempt, 0)
	})
}

// admit executes the admission's effects at a leader.
func (w *world) admit(l *leader, msg admitter.Msg) (revoked admitter.RevokedEffect) {
	for _, effect := range l.machine.Update(w.now, msg) {
		switch effect := effect.(type) {
		case admitter.StartEffect:
			w.starts[l.attempts[effect.ID].request]++
			w.byAttempt[effect.ID]++
		case admitter.RefuseEffect:
			if l.attempts[effect.ID] == nil {
				l.attempts[effect.ID] = &kept{}
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

// stream sends what there is of an answer, as one frame and perhaps the last.
func (w *world) stream(c *caller, connection int, l *leader, id string, offset int) {
	k := l.attempts[id]
	if k == nil {
		w.back(c, connection, dispatcher.BrokenMsg{Sent: true})
		return
	}
	if len(k.data) > offset {
		w.back(c, connection, dispatcher.FrameMsg{Frame: messenger.Frame{Attempt: id, Offset: offset, Data: []byte(k.data[offset:])}})
	}
	if k.final == nil {
		w.back(c, connection, dispatcher.BrokenMsg{Sent: true})
		return
	}
	final := *k.final
	final.Attempt, final.Final, final.Offset, final.Length = id, true, len(k.data), len(k.data)
	w.back(c, connection, dispatcher.FrameMsg{Frame: final})
}

func (w *world) attach(c *caller, effect dispatcher.AttachEffect) {
	connection := w.newConnection(c)
	w.post(connection, func() {
		l := w.leader(effect.Target.Group)
		if l.attempts[effect.Attempt] == nil {
			w.back(c, connection, dispatcher.BrokenMsg{Sent: true, Unknown: true})
			return
		}
		w.stream(c, connection, l, effect.Attempt, effect.Offset)
	})
}

func (w *world) revoke(c *caller, effect dispatcher.RevokeEffect) {
	connection := w.newConnection(c)
	w.post(connection, func() {
		l := w.leader(effect.Target.Group)
		remembered := l.token.WithinRetention(effect.Target.Incarnation, w.now, l.machine.Retention())
		revoked := w.admit(l, admitter.RevokeMsg{ID: effect.Attempt, WithinRetention: remembered})
		w.back(c, connection, dispatcher.RevokedMsg{NotRun: revoked.NotRun, State: string(revoked.State)})
	})
}

// checkFinish checks the verdict against what really happened so far.
func (w *world) checkFinish(c *caller) {
	if c.finish.Verdict == dispatcher.Answered && c.received != answerFor(c.logical()) {
		w.t.Fatalf("request %s was answered %q", c.logical(), c.received)
	}
	w.checkNotRun(c)
}

// checkNotRun checks that no attempt of a request that was refused with "not
// run" was started, at any time.
func (w *world) checkNotRun(c *caller) {
	if c.finish == nil || c.finish.Verdict != dispatcher.NotRun {
		return
	}
	for _, id := range c.attempts {
		if w.byAttempt[id] > 0 {
			w.t.Fatalf("request %s was refused with not-run, but attempt %s started", c.logical(), id)
		}
	}
}

func (w *world) check() {
	for _, c := range w.callers {
		if n := w.starts[c.logical()]; n > 1 && (!c.repeatable || c.key != "") {
			w.t.Fatalf("request %s started %d times", c.logical(), n)
		}
		w.checkNotRun(c)
	}
}

// TestRequestHistories drives random orders of faults against the real
// machines of entry, leader and control: late, lost and reordered messages,
// connections that go silent, leaders that restart without memory, crashed
// endpoints, queues that fill, callers that send again through another entry.
func TestRequestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			w.randomStep()
			w.check()
		}
	})
}

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
		w.call(key, rapid.Bool().Draw(t, "repeatable") && key == "")
	case action < 16:
		w.admit(l, admitter.StartMsg{})
	case action == 16:
		w.finishOne(l)
	case action == 17:
		w.restart(l)
	case action == 18 && len(w.packets) > 0:
		w.silence()
	case action == 19:
		w.admit(l, admitter.AbortAllMsg{})
	}
}

// deliverRandom delivers a packet; packets of one connection keep their order.
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

// silence breaks the newest connection of a caller while what was sent over it
// may still arrive later.
func (w *world) silence() {
	i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "silent")
	for _, c := range w.callers {
		if c.finish == nil && c.connection == w.packets[i].connection {
			w.newConnection(c)
			w.feed(c, dispatcher.BrokenMsg{Sent: true, Refused: rapid.Bool().Draw(w.t, "refused")})
			return
		}
	}
}

// finishOne lets a running attempt produce more of its answer, or end.
func (w *world) finishOne(l *leader) {
	var running []string
	for id, k := range l.attempts {
		if k.final == nil && l.machine.State(id) == admitter.Running {
			running = append(running, id)
		}
	}
	if len(running) == 0 {
		return
	}
	slices.Sort(running)
	id := rapid.SampledFrom(running).Draw(w.t, "attempt")
	k := l.attempts[id]
	whole := answerFor(k.request)
	k.data = whole[:min(len(whole), len(k.data)+20)]
	if len(k.data) == len(whole) {
		k.final = &messenger.Frame{Verdict: "answered"}
		w.admit(l, admitter.FinishMsg{ID: id})
	}
}
