package granter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// engine is a fake endpoint that obeys any order, old fencing numbers or not.
type engine struct {
	up      bool
	started int
	loaded  string
	number  int
	group   string
	checks  bool
}

func (e *engine) obey(order messenger.Order) {
	if !e.up || (e.checks && order.FencingNumber < e.number) {
		return
	}
	e.number = order.FencingNumber
	e.loaded, e.group = "", ""
	if order.Action != ActionUnload {
		e.loaded = fmt.Sprintf("%s:%s:%d", order.Model, order.Version, order.Rank)
		e.group = order.Group
	}
}

// node is one instance: side process and engine, with a clock of its own that
// runs a little fast or slow.
type node struct {
	name    string
	machine *Machine
	engine  engine
	rate    float64
	paused  time.Duration
	config  int
}

type letter struct {
	to      string
	due     time.Duration
	renew   *messenger.RenewRequest
	renewed *RenewAnswerMsg
	notice  *messenger.WithdrawNotice
	order   *messenger.Order
	started int
}

// world drives instances in virtual time.
type world struct {
	t       testingT
	now     time.Duration
	nodes   []*node
	letters []letter
	history []map[string]messenger.GroupSpec
	cut     map[string]bool
	epoch   int
	served  int
	answer  messenger.RenewAnswer
}

type testingT interface {
	Fatalf(format string, args ...any)
}

func newWorld(t testingT, n int) *world {
	w := &world{t: t, cut: map[string]bool{}, history: []map[string]messenger.GroupSpec{{}}}
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		w.nodes = append(w.nodes, &node{name: name, machine: New(name, 0), rate: 1, engine: engine{up: true, checks: i%2 == 0}})
	}
	return w
}

func (w *world) clock(n *node) time.Duration { return time.Duration(float64(w.now) * n.rate) }

func (w *world) node(name string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })]
}

// assign commits a new membership, as control would: no instance is in two
// active groups of the newest configuration.
func (w *world) assign(group string, members ...int) {
	next := map[string]messenger.GroupSpec{}
	for name, spec := range w.history[len(w.history)-1] {
		keep := name != group
		for _, i := range members {
			keep = keep && !slices.ContainsFunc(spec.Members, func(m messenger.Member) bool { return m.Instance == w.nodes[i].name })
		}
		if keep {
			next[name] = spec
		}
	}
	w.epoch++
	spec := messenger.GroupSpec{Model: "m", Version: "v", Epoch: w.epoch, Active: true, MayLoad: true}
	for _, i := range members {
		spec.Members = append(spec.Members, messenger.Member{Instance: w.nodes[i].name, Address: w.nodes[i].name})
	}
	if len(members) > 0 {
		next[group] = spec
	}
	w.history = append(w.history, next)
}

// configure lets an instance learn a configuration not older than its last.
func (w *world) configure(n *node, index int) {
	n.config = max(n.config, index)
	assignment := Assignment{}
	for name, spec := range w.history[n.config] {
		for rank, m := range spec.Members {
			if m.Instance == n.name {
				assignment = Assignment{Group: name, Spec: spec, Rank: rank}
			}
		}
	}
	w.update(n, ConfigMsg{Assignment: assignment})
}

func (w *world) announce(n *node) {
	w.update(n, EndpointMsg{Endpoint: Endpoint{
		Up: n.engine.up, Incarnation: fmt.Sprint(n.engine.started), Loaded: n.engine.loaded, FencingNumber: n.engine.number,
	}})
}

func (w *world) update(n *node, msg Msg) {
	if n.paused > w.now {
		return
	}
	for _, effect := range n.machine.Update(w.clock(n), msg) {
		switch effect := effect.(type) {
		case OrderEffect:
			w.letters = append(w.letters, letter{to: n.name, due: w.now, order: &effect.Order, started: n.engine.started})
		case RenewEffect:
			w.letters = append(w.letters, letter{to: effect.Member.Instance, due: w.now, renew: &effect.Request})
		case WithdrawEffect:
			w.letters = append(w.letters, letter{to: effect.Leader.Instance, due: w.now, notice: &effect.Notice})
		case AnswerEffect:
			w.answer = effect.Answer
		}
	}
}

// deliver hands over one message; renewals are answered to their leader.
func (w *world) deliver(i int) {
	l := w.letters[i]
	w.letters = slices.Delete(w.letters, i, i+1)
	n := w.node(l.to)
	switch {
	case l.order != nil:
		if l.started == n.engine.started {
			n.engine.obey(*l.order)
		}
		return
	case n.paused > w.now || w.cut[n.name]:
		return
	case l.renew != nil && !w.cut[l.renew.Leader]:
		w.update(n, RenewMsg{Request: *l.renew})
		w.letters = append(w.letters, letter{to: l.renew.Leader, due: w.now, renewed: &RenewAnswerMsg{Group: l.renew.Group, Answer: w.answer}})
	case l.renewed != nil:
		w.update(n, *l.renewed)
	case l.notice != nil:
		w.update(n, WithdrawMsg{Notice: *l.notice})
	}
}

// check is the invariant: whoever may dispatch holds all its members, and no
// instance is held by two that may dispatch.
func (w *world) check() {
	holder := map[string]string{}
	for _, n := range w.nodes {
		if n.paused > w.now || !n.machine.MayDispatch(w.clock(n)) {
			continue
		}
		w.served++
		lead, _ := n.machine.LedAssignment()
		for _, m := range lead.Spec.Members {
			if other, taken := holder[m.Instance]; taken {
				w.t.Fatalf("at %v %s is a member of %s and of %s epoch %d", w.now, m.Instance, other, lead.Group, lead.Spec.Epoch)
			}
			holder[m.Instance] = fmt.Sprintf("%s epoch %d", lead.Group, lead.Spec.Epoch)
			w.checkMember(lead, m.Instance)
		}
	}
}

// checkMember checks that a member's engine stands where its leader relies on
// it, unless the engine has just died and its side process could not yet say so.
func (w *world) checkMember(lead Assignment, name string) {
	e := w.node(name).engine
	if e.loaded != "" && (e.number != lead.Spec.Epoch || e.group != lead.Group) {
		w.t.Fatalf("at %v %s epoch %d may dispatch while the engine of %s serves %s under %d", w.now, lead.Group, lead.Spec.Epoch, name, e.group, e.number)
	}
}

// pass lets time go on with a tick at each instance that is not paused.
func (w *world) pass(d time.Duration) {
	w.now += d
	for _, n := range w.nodes {
		w.update(n, TickMsg{})
	}
	w.check()
}

// settle runs without faults for a while.
func (w *world) settle(d time.Duration) {
	for end := w.now + d; w.now < end; {
		for _, n := range w.nodes {
			w.configure(n, len(w.history)-1)
			w.announce(n)
		}
		for len(w.letters) > 0 {
			w.deliver(0)
			w.check()
		}
		w.pass(100 * time.Millisecond)
	}
}

// TestGroupHistories drives random orders of faults: late and lost messages,
// cuts, pauses, clocks of other rates, crashed engines, side processes that
// restart without memory, instances moved between groups, late configuration.
func TestGroupHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		for _, n := range w.nodes {
			n.rate = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate")
		}
		w.assign("a", 0, 1)
		w.settle(5 * time.Second)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			w.randomStep(t)
			w.check()
		}
		for _, n := range w.nodes {
			n.paused = 0
			n.engine.up = true
		}
		clear(w.cut)
		w.assign("a", 0, 1)
		w.assign("b", 2, 3)
		w.settle(75 * time.Second)
		for _, leader := range []int{0, 2} {
			n := w.nodes[leader]
			if !n.machine.MayDispatch(w.clock(n)) {
				t.Fatalf("the group of %s does not serve after the faults ended", n.name)
			}
		}
	})
}

func (w *world) randomStep(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "instance")
	switch action := rapid.IntRange(0, 16).Draw(t, "action"); {
	case action < 4 && len(w.letters) > 0:
		w.deliver(rapid.IntRange(0, len(w.letters)-1).Draw(t, "message"))
	case action < 7:
		w.pass(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	case action == 7:
		w.announce(n)
	case action == 8:
		w.configure(n, rapid.IntRange(n.config, len(w.history)-1).Draw(t, "index"))
	case action == 9:
		w.randomAssign(t)
	case action == 10:
		n.paused = w.now + time.Duration(rapid.IntRange(100, 8000).Draw(t, "pause"))*time.Millisecond
	case action == 11:
		n.machine = New(n.name, w.clock(n))
	case action == 12:
		n.engine = engine{up: rapid.Bool().Draw(t, "up"), started: n.engine.started + 1, checks: n.engine.checks}
	case action == 13:
		w.cut[n.name] = !w.cut[n.name]
	case action == 14 && len(w.letters) > 0:
		w.letters = slices.Delete(w.letters, 0, 1)
	case action == 15:
		w.settle(2 * time.Second)
	case action == 16:
		other := rapid.SampledFrom(w.nodes).Draw(t, "other")
		w.update(n, ConnClosedMsg{Address: other.name})
		w.update(n, MemberDownMsg{Group: n.machine.held.Group, Epoch: n.machine.held.Spec.Epoch, Instance: other.name})
	}
}

func (w *world) randomAssign(t *rapid.T) {
	group := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group")
	members := rapid.SampledFrom([][]int{{}, {0, 1}, {1, 2}, {2, 3}, {3, 0}, {1, 0}, {0, 1, 2}}).Draw(t, "members")
	w.assign(group, members...)
}

func TestGroupServesOnlyWithEveryGrant(t *testing.T) {
	w := newWorld(t, 3)
	w.assign("a", 0, 1, 2)
	w.settle(6 * time.Second)
	leader := w.nodes[0]
	assert.Assert(t, leader.machine.MayDispatch(w.clock(leader)))
	w.cut["i2"] = true
	w.settle(4 * time.Second)
	assert.Assert(t, !leader.machine.MayDispatch(w.clock(leader)))
}

func TestPausedLeaderFindsItsGrantsExpired(t *testing.T) {
	w := newWorld(t, 2)
	w.assign("a", 0, 1)
	w.settle(6 * time.Second)
	leader := w.nodes[0]
	w.now += 4 * time.Second
	assert.Assert(t, !leader.machine.MayDispatch(w.clock(leader)))
}

func TestCrashedEndpointIsWithdrawnAtOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.assign("a", 0, 1)
	w.settle(6 * time.Second)
	w.nodes[1].engine = engine{}
	w.announce(w.nodes[1])
	for len(w.letters) > 0 {
		w.deliver(0)
	}
	assert.Assert(t, !w.nodes[0].machine.MayDispatch(w.clock(w.nodes[0])))
}

func TestRestartedSideWaitsOutTheLongestGrant(t *testing.T) {
	m := New("i0", 0)
	m.Update(0, EndpointMsg{Endpoint: Endpoint{Up: true, Incarnation: "1"}})
	effects := m.Update(time.Second, RenewMsg{Request: messenger.RenewRequest{Group: "a", Epoch: 1, GrantMs: 3000}})
	answer := effects[0].(AnswerEffect).Answer
	assert.Equal(t, answer.Reason, "starting")
}

func TestRestartedSideOrdersItsEndpointOut(t *testing.T) {
	m := New("i0", 0)
	effects := m.Update(0, EndpointMsg{Endpoint: Endpoint{Up: true, Incarnation: "1", Loaded: "m:v:0", FencingNumber: 4}})
	assert.Equal(t, effects[0].(OrderEffect).Order.Action, "unload")
}

func TestLeavingMemberDrainsTheGroup(t *testing.T) {
	w := newWorld(t, 2)
	w.assign("a", 0, 1)
	w.settle(6 * time.Second)
	leader := w.nodes[0]
	w.update(leader, RunningCountMsg{Count: 1})
	w.update(w.nodes[1], LeaveMsg{})
	w.settle(3 * time.Second)
	assert.Assert(t, !leader.machine.MayDispatch(w.clock(leader)), "new work after the grace")
	assert.Assert(t, leader.machine.Complete(w.clock(leader)), "running work was cut")
	w.update(leader, RunningCountMsg{Count: 0})
	w.settle(time.Second)
	assert.Assert(t, w.nodes[1].machine.Idle(w.clock(w.nodes[1])))
}

func TestNewEpochWaitsForRunningWork(t *testing.T) {
	w := newWorld(t, 3)
	w.assign("a", 0, 1)
	w.settle(6 * time.Second)
	leader := w.nodes[0]
	w.update(leader, RunningCountMsg{Count: 1})
	w.assign("a", 0, 2)
	w.settle(10 * time.Second)
	assert.Assert(t, leader.machine.Complete(w.clock(leader)), "running work was cut")
	assert.Assert(t, !leader.machine.MayDispatch(w.clock(leader)))
	w.update(leader, RunningCountMsg{Count: 0})
	w.settle(5 * time.Second)
	lead, _ := leader.machine.LedAssignment()
	assert.Equal(t, lead.Spec.Epoch, 2)
	assert.Assert(t, leader.machine.MayDispatch(w.clock(leader)))
}

// TestGrantEndsBeforeThePromise gives the leader a slow clock and the member a
// fast one, and cuts them off from each other: the leader must stop before the
// member is free to promise itself elsewhere.
func TestGrantEndsBeforeThePromise(t *testing.T) {
	w := newWorld(t, 2)
	leader, member := w.nodes[0], w.nodes[1]
	leader.rate, member.rate = 0.99, 1.01
	w.assign("a", 0, 1)
	w.settle(6 * time.Second)
	assert.Assert(t, leader.machine.Complete(w.clock(leader)))
	w.cut["i1"] = true
	for range 400 {
		w.pass(10 * time.Millisecond)
		serving := leader.machine.Complete(w.clock(leader))
		assert.Assert(t, !serving || member.machine.promised(w.clock(member)), "at %v the member is free while its leader serves", w.now)
	}
	assert.Assert(t, !leader.machine.Complete(w.clock(leader)))
}

// TestLateAnswerDoesNotStretchTheGrant holds a member's answer back for two
// seconds: the grant counts from the sending of the renewal.
func TestLateAnswerDoesNotStretchTheGrant(t *testing.T) {
	w := newWorld(t, 2)
	leader, member := w.nodes[0], w.nodes[1]
	w.assign("a", 0, 1)
	w.settle(6 * time.Second)
	for len(w.letters) == 0 {
		w.pass(50 * time.Millisecond)
	}
	w.deliver(0)
	for range 40 {
		w.pass(50 * time.Millisecond)
	}
	w.deliver(slices.IndexFunc(w.letters, func(l letter) bool { return l.renewed != nil }))
	w.letters = nil
	for range 40 {
		w.pass(50 * time.Millisecond)
		serving := leader.machine.Complete(w.clock(leader))
		assert.Assert(t, !serving || member.machine.promised(w.clock(member)), "at %v the member is free while its leader serves", w.now)
	}
}
