package placer

import (
	"fmt"
	"slices"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"
)

const (
	planInterval   = 50 * time.Millisecond
	rejoinDuration = 200 * time.Millisecond
	openDuration   = 300 * time.Millisecond
	stallLimit     = 6 * time.Second
)

// fakeEndpoint is a stand-in for one endpoint. It does what it is told: it opens a
// group without a look at the other members, and obeys late orders unless its
// fences refuse them.
type fakeEndpoint struct {
	view         messenger.EndpointView
	report       messenger.EndpointReport
	domain       string
	alive        bool
	partitioned  bool // cut engines do not answer control, but serve.
	highestToken int
	highestEpoch int
	members      []string
	nextAt       time.Duration // until is when a join or an opening ends.
	nextState    string        // next is the state after it.
	memberLostAt time.Duration // lost is when a member of its open group was lost; 0 while none was.
	stagedAt     time.Duration
	staging      string
}

// delayedOrder is an order that is carried out after its time.
type delayedOrder struct {
	deliverAt time.Duration
	order     Order
	token     int
}

// cluster drives a placer against engines and checks the rules of groups.
type cluster struct {
	now        time.Duration
	placer     *Placer
	term       int
	token      int
	endpoints  []*fakeEndpoint
	everReady  map[string]map[string]bool // ready maps group and list to the members that were ever ready in it.
	delayed    []delayedOrder
	orderDelay func() time.Duration // delay draws how late an order is carried out; negative loses its answer only.
	demand     map[string]float64
	violations []string
	orderCount int
	loadCount  int
}

var testEngine = describer.Engine{
	Slots: 34, LoadsPerSec: 3, LoadsAtOnce: 6, KeptModels: 1,
	Models: []describer.Model{
		{Name: "large", Size: 4, Share: 0.5, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 2, Share: 0.5, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	},
}

func newCluster(domains, size int) *cluster {
	w := &cluster{everReady: map[string]map[string]bool{}, orderDelay: func() time.Duration { return 0 }, demand: map[string]float64{}}
	for d := range domains {
		for i := range size {
			w.add(fmt.Sprintf("e%d-%d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	w.startTerm()
	return w
}

func (w *cluster) add(id, domain string) *fakeEndpoint {
	e := &fakeEndpoint{
		view:   messenger.EndpointView{Instance: id, Born: int(w.now/time.Millisecond) + 1, Service: "s", Slots: 34, FailureDomain: domain},
		domain: domain, alive: true,
	}
	e.report.FabricDomain = domain
	w.endpoints = append(w.endpoints, e)
	return e
}

// startTerm begins a new term with an empty placer.
func (w *cluster) startTerm() {
	w.term++
	w.token = 0
	w.placer = New(w.term, WithStallTimeout(stallLimit+time.Second))
}

func (w *cluster) endpoint(id string) *fakeEndpoint {
	for _, e := range w.endpoints {
		if e.view.Instance == id {
			return e
		}
	}
	return nil
}

// run passes time in steps of one plan.
func (w *cluster) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *cluster) step() {
	w.now += planInterval
	for _, e := range w.endpoints {
		w.completePending(e)
	}
	due := w.delayed
	w.delayed = nil
	for _, l := range due {
		if l.deliverAt > w.now {
			w.delayed = append(w.delayed, l)
			continue
		}
		w.deliver(l.order, l.token)
	}
	for _, order := range w.placer.Update(w.planMsg()) {
		w.orderCount++
		w.token++
		token := w.term*EpochsPerTerm + w.token
		if delay := w.orderDelay(); delay > 0 {
			w.delayed = append(w.delayed, delayedOrder{w.now + delay, order, token})
			if order.Op == OpStage {
				w.placer.RecordStageFailure(order.Instance)
			}
			continue
		}
		w.deliver(order, token)
	}
}

func (w *cluster) planMsg() PlanMsg {
	msg := PlanMsg{Now: w.now, Service: "s", Engine: testEngine, Demand: w.demand}
	for _, e := range w.endpoints {
		seen := tracker.Endpoint{View: e.view, Report: e.report, LastHeard: w.now, ReportedAt: w.now}
		if !e.alive || e.partitioned {
			seen.LastHeard = w.now - time.Hour
			seen.FailingSince = w.now - time.Hour
			seen.FailedCalls = MinFailedCalls
		}
		msg.Endpoints = append(msg.Endpoints, seen)
	}
	return msg
}

// completePending ends what an engine has under way.
func (w *cluster) completePending(e *fakeEndpoint) {
	if !e.alive {
		return
	}
	if e.nextState != "" && w.now >= e.nextAt {
		e.report.State = e.nextState
		e.nextState = ""
		if e.report.State == MemberReady {
			w.recordReady(e)
			e.report.Models = []string{w.modelOf(e.report.Group)}
		}
		if e.report.State == MemberOpen {
			w.checkOpened(e)
		}
	}
	if e.staging != "" && w.now >= e.stagedAt {
		e.report.Staged = []string{e.staging}
		e.staging = ""
		e.report.Busy = false
	}
	w.breakStalledHead(e)
}

// breakStalledHead breaks an open head some time after it lost a member.
func (w *cluster) breakStalledHead(e *fakeEndpoint) {
	if e.report.State != MemberOpen && e.report.State != MemberClosing {
		return
	}
	whole := true
	for _, id := range e.members {
		m := w.endpoint(id)
		whole = whole && m != nil && m.alive && m.report.Group == e.report.Group && m.report.Epoch == e.report.Epoch
	}
	switch {
	case whole:
		e.memberLostAt = 0
	case e.memberLostAt == 0:
		e.memberLostAt = w.now
	case w.now-e.memberLostAt >= stallLimit:
		e.report.State = MemberBroken
	}
}

func (w *cluster) modelOf(group string) string {
	for _, m := range testEngine.Models {
		if len(group) > len(m.Name) && group[:len(m.Name)] == m.Name {
			return m.Name
		}
	}
	return ""
}

func groupKey(e *fakeEndpoint) string { return fmt.Sprint(e.report.Group, e.report.Epoch, e.members) }

func (w *cluster) recordReady(e *fakeEndpoint) {
	if w.everReady[groupKey(e)] == nil {
		w.everReady[groupKey(e)] = map[string]bool{}
	}
	w.everReady[groupKey(e)][e.view.Instance] = true
}

// checkOpened notes a head that serves although a member was never ready.
func (w *cluster) checkOpened(e *fakeEndpoint) {
	model, _ := testEngine.Model(w.modelOf(e.report.Group))
	if len(e.members) != model.Size || len(w.everReady[groupKey(e)]) != model.Size {
		w.violations = append(w.violations, fmt.Sprintf("%s opened with %d of %d members ever ready", groupKey(e), len(w.everReady[groupKey(e)]), model.Size))
	}
}

// deliver lets an engine obey an order, unless its fences refuse it.
func (w *cluster) deliver(o Order, token int) {
	e := w.endpoint(o.Instance)
	if e == nil || !e.alive || e.partitioned || e.view.Born != o.BootTime {
		return
	}
	if token < e.highestToken || (o.Op == OpJoin && o.Epoch < e.highestEpoch) {
		w.placer.RecordRefusal(o.Group)
		return
	}
	e.highestToken = token
	mine := e.report.Group == o.Group && e.report.Epoch == o.Epoch
	switch o.Op {
	case OpJoin:
		w.join(e, o)
	case OpOpen:
		if mine && e.report.State == MemberReady && e.report.Orders == o.AcceptedOrders && e.members[0] == e.view.Instance {
			e.nextState, e.nextAt = MemberOpen, w.now+openDuration
			e.report.Orders++
		}
	case OpClose:
		if mine && e.report.State == MemberOpen {
			e.report.State, e.nextState, e.nextAt = MemberClosing, MemberReady, w.now+time.Second
			e.report.Orders++
		}
	case OpLeave:
		if mine {
			e.report.Group, e.report.Epoch, e.report.State, e.nextState = "", 0, "", ""
			e.report.Orders++
		}
	case OpStage:
		if e.staging == "" {
			model, _ := testEngine.Model(o.Model)
			e.staging, e.stagedAt = o.Model, w.now+model.Load
			e.report.Busy = true
			w.loadCount++
			e.report.Orders++
		}
	}
}

func (w *cluster) join(e *fakeEndpoint, o Order) {
	if o.Epoch < e.highestEpoch || (o.Group == e.report.Group && o.Epoch == e.report.Epoch) {
		return
	}
	w.checkHeadStopped(e, o)
	model, _ := testEngine.Model(o.Model)
	takes := model.Load
	switch {
	case slices.Contains(e.report.Models, o.Model):
		takes = rejoinDuration
	case slices.Contains(e.report.Staged, o.Model):
		takes = model.Warm
	default:
		w.loadCount++
		e.report.Staged = []string{o.Model}
	}
	e.highestEpoch = o.Epoch
	e.members = o.Members
	e.report.Group, e.report.Epoch, e.report.State = o.Group, o.Epoch, MemberJoining
	e.report.Rank = slices.Index(o.Members, e.view.Instance)
	e.nextState, e.nextAt = MemberReady, w.now+takes
	e.report.Orders++
}

// checkHeadStopped notes a join that takes a member from a group whose head still
// serves or stands still.
func (w *cluster) checkHeadStopped(e *fakeEndpoint, o Order) {
	if e.report.Group == "" || len(e.members) == 0 {
		return
	}
	head := w.endpoint(e.members[0])
	serving := head != nil && head.alive && head.report.Group == e.report.Group && head.report.Epoch == e.report.Epoch &&
		(head.report.State == MemberOpen || head.report.State == MemberClosing)
	if serving {
		w.violations = append(w.violations, fmt.Sprintf("%s joins %s while the head of %s serves", e.view.Instance, o.Group, e.report.Group))
	}
}

// openGroups counts the groups of a model that serve with all members.
func (w *cluster) openGroups(model string) int {
	n := 0
	for _, e := range w.endpoints {
		if e.alive && e.report.State == MemberOpen && e.memberLostAt == 0 && w.modelOf(e.report.Group) == model {
			n++
		}
	}
	return n
}

// crash ends an engine for good, in silence.
func (w *cluster) crash(id string) { w.endpoint(id).alive = false }

// restart starts an engine anew, with nothing loaded.
func (w *cluster) restart(id string) {
	e := w.endpoint(id)
	staged := e.report.Staged
	*e = fakeEndpoint{view: e.view, domain: e.domain, alive: true}
	e.view.Born = int(w.now/time.Millisecond) + 1
	e.report.FabricDomain = e.domain
	e.report.Staged = staged
}
