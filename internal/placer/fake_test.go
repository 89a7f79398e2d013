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
	planStep  = 50 * time.Millisecond
	joinAgain = 200 * time.Millisecond
	formTime  = 300 * time.Millisecond
	stall     = 6 * time.Second
)

// engine is a stand-in for one endpoint. It does what it is told: it opens a
// group without a look at the other members, and obeys late orders unless its
// fences refuse them.
type engine struct {
	view    messenger.EndpointView
	report  messenger.EndpointReport
	domain  string
	alive   bool
	cut     bool // cut engines do not answer control, but serve.
	fence   int
	epoch   int
	members []string
	until   time.Duration // until is when a join or an opening ends.
	next    string        // next is the state after it.
	lost    time.Duration // lost is when a member of its open group was lost; 0 while none was.
	stageAt time.Duration
	staging string
}

// late is an order that is carried out after its time.
type late struct {
	at    time.Duration
	order Order
	token int
}

// world drives a placer against engines and checks the rules of groups.
type world struct {
	now     time.Duration
	placer  *Placer
	term    int
	token   int
	engines []*engine
	ready   map[string]map[string]bool // ready maps group and list to the members that were ever ready in it.
	late    []late
	delay   func() time.Duration // delay draws how late an order is carried out; negative loses its answer only.
	demand  map[string]float64
	broken  []string
	orders  int
	loads   int
}

var testEngine = describer.Engine{
	Slots: 34, MaxLoadsPerSec: 3, MaxConcurrentLoads: 6, MaxCachedModels: 1,
	Models: []describer.Model{
		{Name: "large", GroupSize: 4, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 2, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	},
}

func newWorld(domains, size int) *world {
	w := &world{ready: map[string]map[string]bool{}, delay: func() time.Duration { return 0 }, demand: map[string]float64{}}
	for d := range domains {
		for i := range size {
			w.add(fmt.Sprintf("e%d-%d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	w.elect()
	return w
}

func (w *world) add(id, domain string) *engine {
	e := &engine{
		view:   messenger.EndpointView{Instance: id, Born: int(w.now/time.Millisecond) + 1, Service: "s", Slots: 34, FailureDomain: domain},
		domain: domain, alive: true,
	}
	e.report.FabricDomain = domain
	w.engines = append(w.engines, e)
	return e
}

// elect begins a new term with an empty placer.
func (w *world) elect() {
	w.term++
	w.token = 0
	w.placer = New(w.term, WithStallTimeout(stall+time.Second))
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.view.Instance == id {
			return e
		}
	}
	return nil
}

// run passes time in steps of one plan.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *world) step() {
	w.now += planStep
	for _, e := range w.engines {
		w.progress(e)
	}
	due := w.late
	w.late = nil
	for _, l := range due {
		if l.at > w.now {
			w.late = append(w.late, l)
			continue
		}
		w.carryOut(l.order, l.token)
	}
	for _, order := range w.placer.Update(w.plan()) {
		w.orders++
		w.token++
		token := w.term*EpochsPerTerm + w.token
		if delay := w.delay(); delay > 0 {
			w.late = append(w.late, late{w.now + delay, order, token})
			if order.Op == OpStage {
				w.placer.RecordStageFailure(order.Instance)
			}
			continue
		}
		w.carryOut(order, token)
	}
}

func (w *world) plan() PlanMsg {
	msg := PlanMsg{Now: w.now, Service: "s", Engine: testEngine, Demand: w.demand}
	for _, e := range w.engines {
		seen := tracker.Endpoint{View: e.view, Report: e.report, LastHeard: w.now, ReportedAt: w.now}
		if !e.alive || e.cut {
			seen.LastHeard = w.now - time.Hour
			seen.FailingSince = w.now - time.Hour
			seen.FailedCalls = MinMisses
		}
		msg.Endpoints = append(msg.Endpoints, seen)
	}
	return msg
}

// progress ends what an engine has under way.
func (w *world) progress(e *engine) {
	if !e.alive {
		return
	}
	if e.next != "" && w.now >= e.until {
		e.report.State = e.next
		e.next = ""
		if e.report.State == MemberReady {
			w.noteReady(e)
			e.report.Models = []string{w.modelOf(e.report.Group)}
		}
		if e.report.State == MemberOpen {
			w.checkWhole(e)
		}
	}
	if e.staging != "" && w.now >= e.stageAt {
		e.report.Staged = []string{e.staging}
		e.staging = ""
		e.report.Busy = false
	}
	w.standStill(e)
}

// standStill breaks an open head some time after it lost a member.
func (w *world) standStill(e *engine) {
	if e.report.State != MemberOpen && e.report.State != MemberClosing {
		return
	}
	whole := true
	for _, id := range e.members {
		m := w.engine(id)
		whole = whole && m != nil && m.alive && m.report.Group == e.report.Group && m.report.Epoch == e.report.Epoch
	}
	switch {
	case whole:
		e.lost = 0
	case e.lost == 0:
		e.lost = w.now
	case w.now-e.lost >= stall:
		e.report.State = MemberBroken
	}
}

func (w *world) modelOf(group string) string {
	for _, m := range testEngine.Models {
		if len(group) > len(m.Name) && group[:len(m.Name)] == m.Name {
			return m.Name
		}
	}
	return ""
}

func key(e *engine) string { return fmt.Sprint(e.report.Group, e.report.Epoch, e.members) }

func (w *world) noteReady(e *engine) {
	if w.ready[key(e)] == nil {
		w.ready[key(e)] = map[string]bool{}
	}
	w.ready[key(e)][e.view.Instance] = true
}

// checkWhole notes a head that serves although a member was never ready.
func (w *world) checkWhole(e *engine) {
	model, _ := testEngine.Model(w.modelOf(e.report.Group))
	if len(e.members) != model.GroupSize || len(w.ready[key(e)]) != model.GroupSize {
		w.broken = append(w.broken, fmt.Sprintf("%s opened with %d of %d members ever ready", key(e), len(w.ready[key(e)]), model.GroupSize))
	}
}

// carryOut lets an engine obey an order, unless its fences refuse it.
func (w *world) carryOut(o Order, token int) {
	e := w.engine(o.Instance)
	if e == nil || !e.alive || e.cut || e.view.Born != o.Born {
		return
	}
	if token < e.fence || (o.Op == OpJoin && o.Epoch < e.epoch) {
		w.placer.RecordRefusal(o.Group)
		return
	}
	e.fence = token
	mine := e.report.Group == o.Group && e.report.Epoch == o.Epoch
	switch o.Op {
	case OpJoin:
		w.join(e, o)
	case OpOpen:
		if mine && e.report.State == MemberReady && e.report.Orders == o.AcceptedOrders && e.members[0] == e.view.Instance {
			e.next, e.until = MemberOpen, w.now+formTime
			e.report.Orders++
		}
	case OpClose:
		if mine && e.report.State == MemberOpen {
			e.report.State, e.next, e.until = MemberClosing, MemberReady, w.now+time.Second
			e.report.Orders++
		}
	case OpLeave:
		if mine {
			e.report.Group, e.report.Epoch, e.report.State, e.next = "", 0, "", ""
			e.report.Orders++
		}
	case OpStage:
		if e.staging == "" {
			model, _ := testEngine.Model(o.Model)
			e.staging, e.stageAt = o.Model, w.now+model.ColdLoadTime
			e.report.Busy = true
			w.loads++
			e.report.Orders++
		}
	}
}

func (w *world) join(e *engine, o Order) {
	if o.Epoch < e.epoch || (o.Group == e.report.Group && o.Epoch == e.report.Epoch) {
		return
	}
	w.checkFree(e, o)
	model, _ := testEngine.Model(o.Model)
	takes := model.ColdLoadTime
	switch {
	case slices.Contains(e.report.Models, o.Model):
		takes = joinAgain
	case slices.Contains(e.report.Staged, o.Model):
		takes = model.WarmLoadTime
	default:
		w.loads++
		e.report.Staged = []string{o.Model}
	}
	e.epoch = o.Epoch
	e.members = o.Members
	e.report.Group, e.report.Epoch, e.report.State = o.Group, o.Epoch, MemberJoining
	e.report.Rank = slices.Index(o.Members, e.view.Instance)
	e.next, e.until = MemberReady, w.now+takes
	e.report.Orders++
}

// checkFree notes a join that takes a member from a group whose head still
// serves or stands still.
func (w *world) checkFree(e *engine, o Order) {
	if e.report.Group == "" || len(e.members) == 0 {
		return
	}
	head := w.engine(e.members[0])
	serving := head != nil && head.alive && head.report.Group == e.report.Group && head.report.Epoch == e.report.Epoch &&
		(head.report.State == MemberOpen || head.report.State == MemberClosing)
	if serving {
		w.broken = append(w.broken, fmt.Sprintf("%s joins %s while the head of %s serves", e.view.Instance, o.Group, e.report.Group))
	}
}

// open counts the groups of a model that serve with all members.
func (w *world) open(model string) int {
	n := 0
	for _, e := range w.engines {
		if e.alive && e.report.State == MemberOpen && e.lost == 0 && w.modelOf(e.report.Group) == model {
			n++
		}
	}
	return n
}

// crash ends an engine for good, in silence.
func (w *world) crash(id string) { w.engine(id).alive = false }

// restart starts an engine anew, with nothing loaded.
func (w *world) restart(id string) {
	e := w.engine(id)
	staged := e.report.Staged
	*e = engine{view: e.view, domain: e.domain, alive: true}
	e.view.Born = int(w.now/time.Millisecond) + 1
	e.report.FabricDomain = e.domain
	e.report.Staged = staged
}
