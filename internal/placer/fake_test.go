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

// fakeEndpoint simulates an endpoint that relies on the placer for safety: it opens a
// group without checking the other members, and obeys delayed orders unless their
// fencing token or epoch is outdated.
type fakeEndpoint struct {
	view         messenger.EndpointView
	report       messenger.EndpointReport
	domain       string
	alive        bool
	partitioned  bool // partitioned endpoints serve but cannot be reached by the control process.
	refuses      bool // refuses means that a cut refuses the connections of the control process to a partitioned endpoint, or that it crashed on a running instance.
	refusedSince time.Duration
	known        messenger.EndpointReport // known is the report as of the last contact.
	highestToken int
	highestEpoch int
	members      []string
	lastModel    string        // lastModel is the model of the last group that the endpoint was ready in.
	nextAt       time.Duration // nextAt is when the pending state change takes effect.
	nextState    string        // nextState is the state after a pending join, open or close; "" if none is pending.
	memberLostAt time.Duration // memberLostAt is when a member of its open group was lost; 0 if none was.
	stagedAt     time.Duration
	staging      string
}

// delayedOrder is an order that an endpoint has received and carries out late.
type delayedOrder struct {
	deliverAt time.Duration
	order     Order
	token     int
}

// cluster simulates endpoints under the orders of a placer, in virtual time, and
// records violations of the rules for groups.
type cluster struct {
	now        time.Duration
	placer     *Placer
	term       int
	token      int
	endpoints  []*fakeEndpoint
	everReady  map[string]map[string]bool // everReady holds the instances that were ever ready, by group key.
	delayed    []delayedOrder
	orderDelay func(Order) time.Duration // orderDelay returns how late an order is carried out, without an answer; 0 answers it at once.
	demand     map[string]float64
	evacuated  []string // evacuated are the evacuated failure domains.
	streams    bool     // streams means that each serving group delivers events all the time, of which the control process knows.
	lastEvents map[string]time.Duration
	violations []string // violations describes each breach of a rule.
	orderCount int
	loadCount  int
}

var testEngine = describer.Engine{
	Slots: 34, MaxLoadsPerSec: 3, MaxConcurrentLoads: 6, MaxCachedModels: 1,
	Models: []describer.Model{
		{Name: "large", GroupSize: 4, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 2, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	},
}

// newCluster returns a cluster of the given number of fabric domains of the given
// size.
func newCluster(domains, size int) *cluster {
	c := &cluster{everReady: map[string]map[string]bool{}, orderDelay: func(Order) time.Duration { return 0 }, demand: map[string]float64{}}
	for d := range domains {
		for i := range size {
			c.add(fmt.Sprintf("e%d-%d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	c.startTerm()
	return c
}

// add starts an endpoint in a fabric domain.
func (c *cluster) add(id, domain string) *fakeEndpoint {
	e := &fakeEndpoint{
		view:   messenger.EndpointView{Instance: id, Born: int(c.now/time.Millisecond) + 1, Service: "s", Slots: 34, FailureDomain: domain},
		domain: domain, alive: true,
	}
	e.report.FabricDomain = domain
	c.endpoints = append(c.endpoints, e)
	return e
}

// startTerm starts a new leadership term with an empty placer.
func (c *cluster) startTerm() {
	c.term++
	c.token = 0
	c.placer = New(c.term, WithStallTimeout(stallLimit+time.Second))
}

// endpoint returns an endpoint by its instance, or nil.
func (c *cluster) endpoint(id string) *fakeEndpoint {
	for _, e := range c.endpoints {
		if e.view.Instance == id {
			return e
		}
	}
	return nil
}

// run simulates d in steps of one plan interval.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// step simulates one plan interval.
func (c *cluster) step() {
	c.now += planInterval
	for _, e := range c.endpoints {
		c.completePending(e)
	}
	delayed := c.delayed
	c.delayed = nil
	for _, d := range delayed {
		if d.deliverAt > c.now {
			c.delayed = append(c.delayed, d)
			continue
		}
		c.deliver(d.order, d.token)
	}
	for _, order := range c.placer.Update(c.planMsg()) {
		c.orderCount++
		c.token++
		token := c.term*EpochsPerTerm + c.token
		if !c.reaches(order) {
			continue
		}
		if delay := c.orderDelay(order); delay > 0 {
			c.delayed = append(c.delayed, delayedOrder{c.now + delay, order, token})
			if order.Op == OpStage {
				c.placer.RecordStageFailure(order.Instance)
			}
			continue
		}
		c.deliver(order, token)
	}
}

// reaches reports whether an order reaches its endpoint now.
func (c *cluster) reaches(o Order) bool {
	e := c.endpoint(o.Instance)
	return e != nil && e.alive && !e.partitioned
}

// planMsg returns the placer's input for the current state.
func (c *cluster) planMsg() PlanMsg {
	msg := PlanMsg{Now: c.now, Service: "s", Engine: testEngine, Demand: c.demand, Evacuated: c.evacuated}
	if c.streams {
		msg.LastEvents, msg.ProgressingHeads = c.sightings()
	}
	for _, e := range c.endpoints {
		msg.Endpoints = append(msg.Endpoints, c.tracked(e))
	}
	return msg
}

// staleProgress is how long streams that stand still may be taken for moving.
const staleProgress = 900 * time.Millisecond

// sightings returns what entries tell of the streams of all heads that run: the time of
// the last event, and whether it counts as progress.
func (c *cluster) sightings() (last map[string]time.Duration, progressing map[string]bool) {
	last, progressing = map[string]time.Duration{}, map[string]bool{}
	for _, e := range c.endpoints {
		if !e.alive || e.report.State != MemberOpen {
			continue
		}
		id := e.view.Instance
		last[id] = c.lastEvents[id]
		if e.memberLostAt == 0 {
			last[id] = c.now
		}
		progressing[id] = c.now-last[id] < staleProgress
	}
	c.lastEvents = last
	return last, progressing
}

// tracked returns what the control process knows of an endpoint.
func (c *cluster) tracked(e *fakeEndpoint) tracker.Endpoint {
	reachable := e.alive && !e.partitioned
	if reachable {
		e.known, e.refusedSince = e.report, 0
	}
	endpoint := tracker.Endpoint{View: e.view, Report: e.known, LastHeard: c.now, ReportedAt: c.now}
	switch {
	case reachable:
	case e.refuses:
		if e.refusedSince == 0 {
			e.refusedSince = c.now
		}
		endpoint.FailingSince, endpoint.FailedCalls, endpoint.RefusedSince = e.refusedSince, 1, e.refusedSince
	default:
		endpoint.LastHeard = c.now - time.Hour
		endpoint.FailingSince = c.now - time.Hour
		endpoint.FailedCalls = MinFailedCalls
	}
	return endpoint
}

// completePending applies the state changes and loads of an endpoint that are due.
func (c *cluster) completePending(e *fakeEndpoint) {
	if !e.alive {
		return
	}
	if e.nextState != "" && c.now >= e.nextAt {
		e.report.State = e.nextState
		e.nextState = ""
		if e.report.State == MemberReady {
			c.recordReady(e)
			e.lastModel = c.modelOf(e.report.Group)
			e.report.Models = []string{e.lastModel}
		}
		if e.report.State == MemberOpen {
			c.checkOpened(e)
		}
	}
	if e.staging != "" && c.now >= e.stagedAt {
		e.report.Staged = []string{e.staging}
		e.staging = ""
		e.report.Busy = false
	}
	c.breakStalledHead(e)
}

// breakStalledHead marks an open head broken once it has lacked a member for the
// stall limit.
func (c *cluster) breakStalledHead(e *fakeEndpoint) {
	if e.report.State != MemberOpen && e.report.State != MemberClosing {
		return
	}
	complete := true
	for _, id := range e.members {
		m := c.endpoint(id)
		complete = complete && m != nil && m.alive && m.report.Group == e.report.Group && m.report.Epoch == e.report.Epoch
	}
	switch {
	case complete:
		e.memberLostAt = 0
	case e.memberLostAt == 0:
		e.memberLostAt = c.now
	case c.now-e.memberLostAt >= stallLimit:
		e.report.State = MemberBroken
	}
}

// modelOf returns the model of a group by the prefix of its name.
func (c *cluster) modelOf(group string) string {
	for _, m := range testEngine.Models {
		if len(group) > len(m.Name) && group[:len(m.Name)] == m.Name {
			return m.Name
		}
	}
	return ""
}

// groupKey identifies a group by name, epoch and members.
func groupKey(e *fakeEndpoint) string { return fmt.Sprint(e.report.Group, e.report.Epoch, e.members) }

// recordReady records that an endpoint was ready in its group.
func (c *cluster) recordReady(e *fakeEndpoint) {
	if c.everReady[groupKey(e)] == nil {
		c.everReady[groupKey(e)] = map[string]bool{}
	}
	c.everReady[groupKey(e)][e.view.Instance] = true
}

// checkOpened records a violation if a head serves although a member was never ready.
func (c *cluster) checkOpened(e *fakeEndpoint) {
	model, _ := testEngine.Model(c.modelOf(e.report.Group))
	if len(e.members) != model.GroupSize || len(c.everReady[groupKey(e)]) != model.GroupSize {
		c.violations = append(c.violations, fmt.Sprintf("%s opened with %d of %d members ever ready", groupKey(e), len(c.everReady[groupKey(e)]), model.GroupSize))
	}
}

// deliver makes an endpoint obey an order, unless its token or epoch is outdated. It
// carries out what it has received also behind a cut.
func (c *cluster) deliver(o Order, token int) {
	e := c.endpoint(o.Instance)
	if e == nil || !e.alive || e.view.Born != o.BootTime {
		return
	}
	if token < e.highestToken || (o.Op == OpJoin && o.Epoch < e.highestEpoch) {
		c.placer.RecordRefusal(o.Group)
		return
	}
	e.highestToken = token
	inGroup := e.report.Group == o.Group && e.report.Epoch == o.Epoch
	switch o.Op {
	case OpJoin:
		c.join(e, o)
	case OpOpen:
		if inGroup && e.report.State == MemberReady && e.report.Orders == o.AcceptedOrders && e.members[0] == e.view.Instance {
			e.nextState, e.nextAt = MemberOpen, c.now+openDuration
			e.report.Orders++
		}
	case OpClose:
		if inGroup && e.report.State == MemberOpen {
			e.report.State, e.nextState, e.nextAt = MemberClosing, MemberReady, c.now+time.Second
			e.report.Orders++
		}
	case OpLeave:
		if inGroup {
			e.report.Group, e.report.Epoch, e.report.State, e.nextState = "", 0, "", ""
			e.report.Models = nil
			e.report.Orders++
		}
	case OpStage:
		if e.staging == "" {
			model, _ := testEngine.Model(o.Model)
			e.staging, e.stagedAt = o.Model, c.now+model.ColdLoadTime
			e.report.Busy = true
			c.loadCount++
			e.report.Orders++
		}
	}
}

// join starts to join a group; the time depends on where the weights are.
func (c *cluster) join(e *fakeEndpoint, o Order) {
	if o.Epoch < e.highestEpoch || (o.Group == e.report.Group && o.Epoch == e.report.Epoch) {
		return
	}
	if o.AcceptedOrders != e.report.Orders {
		c.placer.RecordOutdated(o)
		return
	}
	c.checkHeadStopped(e, o)
	model, _ := testEngine.Model(o.Model)
	joinDuration := model.ColdLoadTime
	switch {
	case e.lastModel == o.Model:
		joinDuration = rejoinDuration
	case slices.Contains(e.report.Staged, o.Model):
		joinDuration = model.WarmLoadTime
	default:
		c.loadCount++
		e.report.Staged = []string{o.Model}
	}
	e.highestEpoch = o.Epoch
	e.members = o.Members
	e.report.Group, e.report.Epoch, e.report.State = o.Group, o.Epoch, MemberJoining
	e.report.Rank = slices.Index(o.Members, e.view.Instance)
	e.nextState, e.nextAt = MemberReady, c.now+joinDuration
	e.report.Orders++
}

// checkHeadStopped records a violation if a join takes a member from a group whose
// head still serves or is stalled.
func (c *cluster) checkHeadStopped(e *fakeEndpoint, o Order) {
	if e.report.Group == "" || len(e.members) == 0 {
		return
	}
	head := c.endpoint(e.members[0])
	serving := head != nil && head.alive && head.report.Group == e.report.Group && head.report.Epoch == e.report.Epoch &&
		(head.report.State == MemberOpen || head.report.State == MemberClosing)
	if serving {
		c.violations = append(c.violations, fmt.Sprintf("%s joins %s while the head of %s serves", e.view.Instance, o.Group, e.report.Group))
	}
}

// openGroups counts the groups of a model that serve with all members.
func (c *cluster) openGroups(model string) int {
	n := 0
	for _, e := range c.endpoints {
		if e.alive && e.report.State == MemberOpen && e.memberLostAt == 0 && c.modelOf(e.report.Group) == model {
			n++
		}
	}
	return n
}

// crash ends an endpoint for good without notice.
func (c *cluster) crash(id string) { c.endpoint(id).alive = false }

// restart replaces an endpoint by a new process that holds only staged weights.
func (c *cluster) restart(id string) {
	e := c.endpoint(id)
	staged := e.report.Staged
	*e = fakeEndpoint{view: e.view, domain: e.domain, alive: true}
	e.view.Born = int(c.now/time.Millisecond) + 1
	e.report.FabricDomain = e.domain
	e.report.Staged = staged
}
