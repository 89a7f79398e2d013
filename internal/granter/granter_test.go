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

// fakeEndpoint is an endpoint that executes every order. It rejects orders with
// old fencing numbers only if checksFencing is set.
type fakeEndpoint struct {
	up            bool
	incarnation   int
	loaded        string
	fencingNumber int
	group         string
	checksFencing bool
}

func (e *fakeEndpoint) execute(order messenger.Order) {
	if !e.up || (e.checksFencing && order.FencingNumber < e.fencingNumber) {
		return
	}
	e.fencingNumber = order.FencingNumber
	e.loaded, e.group = "", ""
	if order.Action != ActionUnload {
		e.loaded = fmt.Sprintf("%s:%s:%d", order.Model, order.Version, order.Rank)
		e.group = order.Group
	}
}

// node is one instance, a side process and its endpoint. Its clock may run
// slightly fast or slow.
type node struct {
	name        string
	machine     *Machine
	endpoint    fakeEndpoint
	clockRate   float64
	pausedUntil time.Duration
	configIndex int
}

// message is a message in flight to a side process or, for an order, to its
// endpoint. Exactly one of the pointers is set.
type message struct {
	to          string
	sentAt      time.Duration
	renew       *messenger.RenewRequest
	renewAnswer *RenewAnswerMsg
	withdraw    *messenger.WithdrawNotice
	order       *messenger.Order
	incarnation int
}

// simulation runs instances in virtual time.
type simulation struct {
	t                testingT
	now              time.Duration
	nodes            []*node
	inFlight         []message
	configs          []map[string]messenger.GroupSpec
	isolated         map[string]bool
	epoch            int
	mayDispatchCount int
	lastAnswer       messenger.RenewAnswer
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Fatalf(format string, args ...any)
}

func newSimulation(t testingT, n int) *simulation {
	s := &simulation{t: t, isolated: map[string]bool{}, configs: []map[string]messenger.GroupSpec{{}}}
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		s.nodes = append(s.nodes, &node{name: name, machine: New(name, 0), clockRate: 1, endpoint: fakeEndpoint{up: true, checksFencing: i%2 == 0}})
	}
	return s
}

// clock returns the current time on the instance's own clock.
func (s *simulation) clock(n *node) time.Duration { return time.Duration(float64(s.now) * n.clockRate) }

func (s *simulation) node(name string) *node {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })]
}

// assign commits a configuration with a new membership of a group. Like the
// control process, it puts no instance in two active groups: groups that share a
// member with the new one are removed.
func (s *simulation) assign(group string, members ...int) {
	next := map[string]messenger.GroupSpec{}
	for name, spec := range s.configs[len(s.configs)-1] {
		keep := name != group
		for _, i := range members {
			keep = keep && !slices.ContainsFunc(spec.Members, func(m messenger.Member) bool { return m.Instance == s.nodes[i].name })
		}
		if keep {
			next[name] = spec
		}
	}
	s.epoch++
	spec := messenger.GroupSpec{Model: "m", Version: "v", Epoch: s.epoch, Active: true, MayLoad: true}
	for _, i := range members {
		spec.Members = append(spec.Members, messenger.Member{Instance: s.nodes[i].name, Address: s.nodes[i].name})
	}
	if len(members) > 0 {
		next[group] = spec
	}
	s.configs = append(s.configs, next)
}

// configure gives an instance the configuration with this index, or the last one
// it received if that is newer.
func (s *simulation) configure(n *node, index int) {
	n.configIndex = max(n.configIndex, index)
	assignment := Assignment{}
	for name, spec := range s.configs[n.configIndex] {
		for rank, m := range spec.Members {
			if m.Instance == n.name {
				assignment = Assignment{Group: name, Spec: spec, Rank: rank}
			}
		}
	}
	s.update(n, ConfigMsg{Assignment: assignment})
}

// announce gives the side process the current state of its endpoint.
func (s *simulation) announce(n *node) {
	s.update(n, EndpointMsg{Endpoint: Endpoint{
		Up: n.endpoint.up, Incarnation: fmt.Sprint(n.endpoint.incarnation), Loaded: n.endpoint.loaded, FencingNumber: n.endpoint.fencingNumber,
	}})
}

// update passes a message to an instance that isn't paused and puts the resulting
// messages in flight.
func (s *simulation) update(n *node, msg Msg) {
	if n.pausedUntil > s.now {
		return
	}
	for _, effect := range n.machine.Update(s.clock(n), msg) {
		switch effect := effect.(type) {
		case OrderEffect:
			s.inFlight = append(s.inFlight, message{to: n.name, sentAt: s.now, order: &effect.Order, incarnation: n.endpoint.incarnation})
		case RenewEffect:
			s.inFlight = append(s.inFlight, message{to: effect.Member.Instance, sentAt: s.now, renew: &effect.Request})
		case WithdrawEffect:
			s.inFlight = append(s.inFlight, message{to: effect.Leader.Instance, sentAt: s.now, withdraw: &effect.Notice})
		case AnswerEffect:
			s.lastAnswer = effect.Answer
		}
	}
}

// deliver delivers one message in flight. The answer to a renewal is put in
// flight to the leader.
func (s *simulation) deliver(i int) {
	msg := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	n := s.node(msg.to)
	switch {
	case msg.order != nil:
		if msg.incarnation == n.endpoint.incarnation {
			n.endpoint.execute(*msg.order)
		}
		return
	case n.pausedUntil > s.now || s.isolated[n.name]:
		return
	case msg.renew != nil && !s.isolated[msg.renew.Leader]:
		s.update(n, RenewMsg{Request: *msg.renew})
		s.inFlight = append(s.inFlight, message{to: msg.renew.Leader, sentAt: s.now, renewAnswer: &RenewAnswerMsg{Group: msg.renew.Group, Answer: s.lastAnswer}})
	case msg.renewAnswer != nil:
		s.update(n, *msg.renewAnswer)
	case msg.withdraw != nil:
		s.update(n, WithdrawMsg{Notice: *msg.withdraw})
	}
}

// checkInvariant checks that no instance is a member of two groups whose leaders
// may dispatch, and that the endpoints of these groups' members are in the right
// group and epoch.
func (s *simulation) checkInvariant() {
	groupOf := map[string]string{}
	for _, n := range s.nodes {
		if n.pausedUntil > s.now || !n.machine.MayDispatch(s.clock(n)) {
			continue
		}
		s.mayDispatchCount++
		assignment, _ := n.machine.LedAssignment()
		for _, m := range assignment.Spec.Members {
			if other, found := groupOf[m.Instance]; found {
				s.t.Fatalf("at %v %s is a member of both %s and %s epoch %d", s.now, m.Instance, other, assignment.Group, assignment.Spec.Epoch)
			}
			groupOf[m.Instance] = fmt.Sprintf("%s epoch %d", assignment.Group, assignment.Spec.Epoch)
			s.checkMemberEndpoint(assignment, m.Instance)
		}
	}
}

// checkMemberEndpoint checks that a member's endpoint is in its leader's group and
// epoch. An endpoint with nothing loaded passes: it has just crashed, and its side
// process had no time to report it.
func (s *simulation) checkMemberEndpoint(assignment Assignment, name string) {
	e := s.node(name).endpoint
	if e.loaded != "" && (e.fencingNumber != assignment.Spec.Epoch || e.group != assignment.Group) {
		s.t.Fatalf("at %v %s epoch %d may dispatch while the endpoint of %s is in group %s with fencing number %d", s.now, assignment.Group, assignment.Spec.Epoch, name, e.group, e.fencingNumber)
	}
}

// advance moves the time forward by d and sends a tick to each instance that
// isn't paused.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	for _, n := range s.nodes {
		s.update(n, TickMsg{})
	}
	s.checkInvariant()
}

// runFor runs the simulation for d in steps of 100 ms. In each step all instances
// receive the newest configuration and every message is delivered.
func (s *simulation) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		for _, n := range s.nodes {
			s.configure(n, len(s.configs)-1)
			s.announce(n)
		}
		for len(s.inFlight) > 0 {
			s.deliver(0)
			s.checkInvariant()
		}
		s.advance(100 * time.Millisecond)
	}
}

// TestGroupsStayExclusiveUnderRandomFaults guards against two leaders that
// dispatch to the same instance. It applies random sequences of faults: late and
// lost messages, partitions, pauses, clock drift, crashed endpoints, side
// processes that restart without state or are cut off from a living endpoint,
// instances moved between groups and late configuration. When the faults end, both
// groups must serve again.
func TestGroupsStayExclusiveUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 4)
		for _, n := range s.nodes {
			n.clockRate = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate")
		}
		s.assign("a", 0, 1)
		s.runFor(5 * time.Second)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			s.randomStep(t)
			s.checkInvariant()
		}
		for _, n := range s.nodes {
			n.pausedUntil = 0
			n.endpoint.up = true
		}
		clear(s.isolated)
		s.assign("a", 0, 1)
		s.assign("b", 2, 3)
		s.runFor(75 * time.Second)
		for _, leader := range []int{0, 2} {
			n := s.nodes[leader]
			if !n.machine.MayDispatch(s.clock(n)) {
				t.Fatalf("the group led by %s does not serve after the faults ended", n.name)
			}
		}
	})
}

// randomStep applies one random fault, message delivery or passage of time.
func (s *simulation) randomStep(t *rapid.T) {
	n := rapid.SampledFrom(s.nodes).Draw(t, "instance")
	switch action := rapid.IntRange(0, 17).Draw(t, "action"); {
	case action < 4 && len(s.inFlight) > 0:
		s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"))
	case action < 7:
		s.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	case action == 7:
		s.announce(n)
	case action == 8:
		s.configure(n, rapid.IntRange(n.configIndex, len(s.configs)-1).Draw(t, "index"))
	case action == 9:
		s.randomAssign(t)
	case action == 10:
		n.pausedUntil = s.now + time.Duration(rapid.IntRange(100, 8000).Draw(t, "pause"))*time.Millisecond
	case action == 11:
		n.machine = New(n.name, s.clock(n))
	case action == 12:
		n.endpoint = fakeEndpoint{up: rapid.Bool().Draw(t, "up"), incarnation: n.endpoint.incarnation + 1, checksFencing: n.endpoint.checksFencing}
	case action == 13:
		s.isolated[n.name] = !s.isolated[n.name]
	case action == 14 && len(s.inFlight) > 0:
		s.inFlight = slices.Delete(s.inFlight, 0, 1)
	case action == 15:
		s.runFor(2 * time.Second)
	case action == 16:
		other := rapid.SampledFrom(s.nodes).Draw(t, "other")
		s.update(n, ConnClosedMsg{Address: other.name})
		s.update(n, MemberDownMsg{Group: n.machine.current.Group, Epoch: n.machine.current.Spec.Epoch, Instance: other.name})
	case action == 17:
		s.update(n, EndpointMsg{})
	}
}

// randomAssign commits a random membership for one of two groups; groups may be
// dissolved by it.
func (s *simulation) randomAssign(t *rapid.T) {
	group := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group")
	members := rapid.SampledFrom([][]int{{}, {0, 1}, {1, 2}, {2, 3}, {3, 0}, {1, 0}, {0, 1, 2}}).Draw(t, "members")
	s.assign(group, members...)
}

// TestGroupStopsServingWhenOneGrantExpires guards against dispatching while one
// member is partitioned from its leader.
func TestGroupStopsServingWhenOneGrantExpires(t *testing.T) {
	s := newSimulation(t, 3)
	s.assign("a", 0, 1, 2)
	s.runFor(6 * time.Second)
	leader := s.nodes[0]
	assert.Assert(t, leader.machine.MayDispatch(s.clock(leader)))
	s.isolated["i2"] = true
	s.runFor(4 * time.Second)
	assert.Assert(t, !leader.machine.MayDispatch(s.clock(leader)))
}

// TestPausedLeaderFindsItsGrantsExpired guards against a leader that dispatches
// after a pause, before it has handled any message.
func TestPausedLeaderFindsItsGrantsExpired(t *testing.T) {
	s := newSimulation(t, 2)
	s.assign("a", 0, 1)
	s.runFor(6 * time.Second)
	leader := s.nodes[0]
	s.now += 4 * time.Second
	assert.Assert(t, !leader.machine.MayDispatch(s.clock(leader)))
}

// TestEndpointCrashWithdrawsGrant guards against dispatching until the grant
// expires although a member's endpoint has crashed.
func TestEndpointCrashWithdrawsGrant(t *testing.T) {
	s := newSimulation(t, 2)
	s.assign("a", 0, 1)
	s.runFor(6 * time.Second)
	s.nodes[1].endpoint = fakeEndpoint{}
	s.announce(s.nodes[1])
	for len(s.inFlight) > 0 {
		s.deliver(0)
	}
	assert.Assert(t, !s.nodes[0].machine.MayDispatch(s.clock(s.nodes[0])))
}

// TestRestartedSideProcessWaitsOutLongestGrant guards against a grant that
// conflicts with a promise forgotten in the restart.
func TestRestartedSideProcessWaitsOutLongestGrant(t *testing.T) {
	m := New("i0", 0)
	m.Update(0, EndpointMsg{Endpoint: Endpoint{Up: true, Incarnation: "1"}})
	effects := m.Update(time.Second, RenewMsg{Request: messenger.RenewRequest{Group: "a", Epoch: 1, GrantMs: 3000}})
	answer := effects[0].(AnswerEffect).Answer
	assert.Equal(t, answer.Reason, "starting")
}

// TestRestartedSideProcessUnloadsEndpoint guards against an endpoint that keeps
// its role of before its side process restarted.
func TestRestartedSideProcessUnloadsEndpoint(t *testing.T) {
	m := New("i0", 0)
	effects := m.Update(0, EndpointMsg{Endpoint: Endpoint{Up: true, Incarnation: "1", Loaded: "m:v:0", FencingNumber: 4}})
	assert.Equal(t, effects[0].(OrderEffect).Order.Action, "unload")
}

// TestLeavingMemberDrainsGroup guards against aborting running work, or accepting
// new work, when a member leaves.
func TestLeavingMemberDrainsGroup(t *testing.T) {
	s := newSimulation(t, 2)
	s.assign("a", 0, 1)
	s.runFor(6 * time.Second)
	leader := s.nodes[0]
	s.update(leader, RunningCountMsg{Count: 1})
	s.update(s.nodes[1], LeaveMsg{})
	s.runFor(3 * time.Second)
	assert.Assert(t, !leader.machine.MayDispatch(s.clock(leader)), "new work is accepted after the grace period")
	assert.Assert(t, leader.machine.Complete(s.clock(leader)), "running work was aborted")
	s.update(leader, RunningCountMsg{Count: 0})
	s.runFor(time.Second)
	assert.Assert(t, s.nodes[1].machine.Idle(s.clock(s.nodes[1])))
}

// TestNewEpochWaitsForRunningWork guards against a change of membership that
// aborts running work before the drain timeout.
func TestNewEpochWaitsForRunningWork(t *testing.T) {
	s := newSimulation(t, 3)
	s.assign("a", 0, 1)
	s.runFor(6 * time.Second)
	leader := s.nodes[0]
	s.update(leader, RunningCountMsg{Count: 1})
	s.assign("a", 0, 2)
	s.runFor(10 * time.Second)
	assert.Assert(t, leader.machine.Complete(s.clock(leader)), "running work was aborted")
	assert.Assert(t, !leader.machine.MayDispatch(s.clock(leader)))
	s.update(leader, RunningCountMsg{Count: 0})
	s.runFor(5 * time.Second)
	assignment, _ := leader.machine.LedAssignment()
	assert.Equal(t, assignment.Spec.Epoch, 2)
	assert.Assert(t, leader.machine.MayDispatch(s.clock(leader)))
}

// TestGrantExpiresBeforePromise guards against clock drift that lets a member's
// promise expire before its leader's grant: with a slow clock at the leader, a fast
// one at the member and no connection between them, the leader must stop first.
func TestGrantExpiresBeforePromise(t *testing.T) {
	s := newSimulation(t, 2)
	leader, member := s.nodes[0], s.nodes[1]
	leader.clockRate, member.clockRate = 0.99, 1.01
	s.assign("a", 0, 1)
	s.runFor(6 * time.Second)
	assert.Assert(t, leader.machine.Complete(s.clock(leader)))
	s.isolated["i1"] = true
	for range 400 {
		s.advance(10 * time.Millisecond)
		serving := leader.machine.Complete(s.clock(leader))
		assert.Assert(t, !serving || member.machine.promiseActive(s.clock(member)), "at %v the promise has expired while the leader serves", s.now)
	}
	assert.Assert(t, !leader.machine.Complete(s.clock(leader)))
}

// TestLateAnswerDoesNotExtendGrant guards against a grant counted from the receipt
// of an answer instead of the sending of the renewal. It delays an answer by two
// seconds.
func TestLateAnswerDoesNotExtendGrant(t *testing.T) {
	s := newSimulation(t, 2)
	leader, member := s.nodes[0], s.nodes[1]
	s.assign("a", 0, 1)
	s.runFor(6 * time.Second)
	for len(s.inFlight) == 0 {
		s.advance(50 * time.Millisecond)
	}
	s.deliver(0)
	for range 40 {
		s.advance(50 * time.Millisecond)
	}
	s.deliver(slices.IndexFunc(s.inFlight, func(msg message) bool { return msg.renewAnswer != nil }))
	s.inFlight = nil
	for range 40 {
		s.advance(50 * time.Millisecond)
		serving := leader.machine.Complete(s.clock(leader))
		assert.Assert(t, !serving || member.machine.promiseActive(s.clock(member)), "at %v the promise has expired while the leader serves", s.now)
	}
}
