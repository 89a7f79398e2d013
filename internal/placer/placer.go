// Package placer decides which instances form which groups, as a pure state
// machine: from what endpoints report it derives the orders that bring complete
// groups into service, end groups that lost a member, and form new ones.
//
// # Usage
//
//	p := placer.New(term)
//	for _, order := range p.Update(placer.PlanMsg{Now: now, Engine: engine, Endpoints: endpoints}) {
//		send(order)
//	}
//	for _, group := range p.Groups() { ... }
//
// Orders are repeated until the reports show their effect, so a lost order or
// answer costs time only. The safety of a plan rests on three things: a group
// is opened only after every member reported to be ready under its epoch; its
// members are given away only after its head reported to have left it, has
// ended for certain, or stood still for longer than the endpoints' own limit;
// and epochs and fencing tokens rise over all groups and leaders.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"
)

// States of a member as its endpoint reports them.
const (
	MemberJoining = "joining"
	MemberReady   = "ready"
	MemberOpen    = "open"
	MemberClosing = "closing"
	MemberBroken  = "broken"
)

// EpochsPerTerm is the number of epochs that one leader can hand out; those of
// a later term are higher.
const EpochsPerTerm = 1_000_000

// Op is what an order asks of an endpoint.
type Op string

// The orders.
const (
	OpJoin  Op = "join"
	OpOpen  Op = "open"
	OpClose Op = "close"
	OpLeave Op = "leave"
	OpStage Op = "stage"
)

// Order is one order to one boot of an endpoint.
type Order struct {
	Instance string
	Born     int
	Op       Op
	Group    string
	Epoch    int
	Model    string
	Members  []string
	Cutover  bool // Cutover ends running work at once.
	Orders   int  // Orders is the number of orders that the endpoint had accepted.
}

// State is the stage of a group's life.
type State int

// The states of a group.
const (
	Forming State = iota
	Opening
	Open
	Closing
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"forming", "opening", "open", "closing"}[s]
}

// Member is one boot of an endpoint in a group.
type Member struct {
	Instance string
	Born     int
}

// Group is one group; the first member is its head.
type Group struct {
	Name          string
	Service       string
	Model         string
	Epoch         int
	Members       []Member
	FailureDomain string
	FabricDomain  string
	State         State
	Since         time.Duration // Since is when the state began.
	Cutover       bool          // Cutover tells that running work is ended while closing.
	Reason        string        // Reason is why the group closes.

	adopted bool          // adopted tells that an earlier leader formed the group.
	given   bool          // given tells that the group is given up for another one.
	parted  time.Duration // parted is when all reachable members of a silent head had left.
	ordered map[string]time.Duration
}

// Head returns the first member.
func (g *Group) Head() Member { return g.Members[0] }

// PlanMsg is the view that a plan is made from.
type PlanMsg struct {
	Now       time.Duration
	Service   string
	Engine    describer.Engine
	Endpoints []tracker.Endpoint // Endpoints are those of the service.
	Demand    map[string]float64 // Demand is the work in instances that clients ask of each model; empty before traffic.
	Moving    map[string]bool    // Moving names the heads whose answers clients receive right now.
	Stalled   map[string]bool    // Stalled names the heads of whose several answers none moves.
	Known     []messenger.GroupView
}

// Placer holds the groups of one service. It is not safe for concurrent use.
type Placer struct {
	options options
	term    int
	counter int
	groups  map[string]*Group
	ended   map[string]bool
	staging map[string]stage
	loads   []time.Duration
	gaveAt  time.Duration // gaveAt is when a group was last given up for another.
	msg     PlanMsg
	byID    map[string]tracker.Endpoint
	orders  []Order
}

// New returns a placer for one term of leadership.
func New(term int, opts ...Option) *Placer {
	p := &Placer{options: defaults(), term: term, groups: map[string]*Group{}, ended: map[string]bool{}, staging: map[string]stage{}}
	for _, opt := range opts {
		opt(&p.options)
	}
	return p
}

// Groups returns all groups, sorted by name.
func (p *Placer) Groups() []Group {
	list := make([]Group, 0, len(p.groups))
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		list = append(list, *p.groups[name])
	}
	return list
}

// Update makes one plan and returns the orders to send now.
func (p *Placer) Update(msg PlanMsg) []Order {
	p.msg = msg
	p.orders = nil
	p.byID = map[string]tracker.Endpoint{}
	for _, e := range msg.Endpoints {
		p.byID[e.View.Instance] = e
	}
	p.adopt()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		p.advance(p.groups[name])
	}
	p.place()
	p.stage()
	return p.orders
}

// adopt takes in groups that an earlier leader formed.
func (p *Placer) adopt() {
	for _, view := range p.msg.Known {
		p.adoptKnown(view)
	}
	for _, e := range p.msg.Endpoints {
		r := e.Report
		if r.Group == "" || r.State == MemberBroken || p.groups[r.Group] != nil || p.ended[r.Group] {
			continue
		}
		p.adoptReported(r.Group, r.Epoch)
	}
}

func (p *Placer) adoptKnown(view messenger.GroupView) {
	if p.groups[view.Name] != nil || p.ended[view.Name] || len(view.Members) == 0 {
		return
	}
	g := &Group{Name: view.Name, Service: view.Service, Model: view.Model, Epoch: view.Epoch, Since: p.msg.Now, State: Open, FailureDomain: view.FailureDomain, adopted: true}
	for _, id := range view.Members {
		g.Members = append(g.Members, Member{id, p.byID[id].View.Born})
	}
	if !view.Open {
		g.State = Closing
		g.Reason = "an earlier leader was closing it"
		g.Cutover = true
	}
	g.FabricDomain = p.byID[view.Members[0]].Report.FabricDomain
	p.groups[g.Name] = g
}

// adoptReported collects a group from the reports of its members; an
// incomplete one is closed.
func (p *Placer) adoptReported(name string, epoch int) {
	model, _, _ := strings.Cut(name, "/")
	ranks := map[int]tracker.Endpoint{}
	for _, e := range p.msg.Endpoints {
		if e.Report.Group == name && e.Report.Epoch == epoch {
			ranks[e.Report.Rank] = e
		}
	}
	declared, ok := p.msg.Engine.Model(model)
	g := &Group{Name: name, Service: p.msg.Service, Model: model, Epoch: epoch, Since: p.msg.Now, State: Open, adopted: true}
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		e := ranks[rank]
		g.Members = append(g.Members, Member{e.View.Instance, e.View.Born})
	}
	head, whole := ranks[0], ok && len(ranks) == declared.Size
	g.FailureDomain = head.View.FailureDomain
	g.FabricDomain = head.Report.FabricDomain
	switch {
	case whole && head.Report.State == MemberOpen:
	case whole && head.Report.State != MemberClosing:
		g.State = Forming
	default:
		g.State = Closing
		g.Cutover = true
		g.Reason = "found incomplete"
	}
	p.groups[name] = g
}

// health is how a member stands.
type health int

const (
	sound   health = iota
	leaving        // leaving members serve on for a while.
	silent         // silent members do not answer control; they may still serve.
	dead           // dead members have ended for certain.
)

func (p *Placer) health(m Member) health {
	e, ok := p.byID[m.Instance]
	switch {
	case !ok:
		return silent
	case e.View.Born != m.Born || e.Refused:
		return dead
	case p.isSilent(e) || e.ReportAt == 0:
		return silent
	case e.View.Leaving:
		return leaving
	}
	return sound
}

func (p *Placer) isSilent(e tracker.Endpoint) bool {
	return e.Failing != 0 && p.msg.Now-e.Failing > p.options.silentAfter && p.msg.Now-e.Seen > p.options.silentAfter
}

// inGroup reports whether the last report of a member shows it in its group.
func (p *Placer) inGroup(g *Group, m Member) bool {
	e := p.byID[m.Instance]
	return e.View.Born == m.Born && e.Report.Group == g.Name && e.Report.Epoch == g.Epoch
}

func (p *Placer) headState(g *Group) string {
	if !p.inGroup(g, g.Head()) {
		return ""
	}
	return p.byID[g.Head().Instance].Report.State
}

func (p *Placer) enter(g *Group, state State, reason string) {
	g.State = state
	g.Since = p.msg.Now
	g.Reason = reason
	g.ordered = nil
}

func (p *Placer) advance(g *Group) {
	switch g.State {
	case Forming:
		p.form(g)
	case Opening:
		p.open(g)
	case Open:
		p.watch(g)
	case Closing:
		p.close(g)
	}
}

// order sends an order to a member unless it was sent a moment ago.
func (p *Placer) order(g *Group, m Member, order Order) {
	key := string(order.Op) + m.Instance
	if at, ok := g.ordered[key]; ok && p.msg.Now-at < p.options.repeatAfter {
		return
	}
	if g.ordered == nil {
		g.ordered = map[string]time.Duration{}
	}
	g.ordered[key] = p.msg.Now
	order.Instance = m.Instance
	order.Born = m.Born
	order.Group = g.Name
	order.Epoch = g.Epoch
	order.Orders = p.byID[m.Instance].Report.Orders
	p.orders = append(p.orders, order)
}

// form orders the members to join until all are ready.
func (p *Placer) form(g *Group) {
	ready := 0
	for _, m := range g.Members {
		if h := p.health(m); h != sound {
			p.abandon(g, "member "+m.Instance+" does not answer or leaves")
			return
		}
		e := p.byID[m.Instance]
		switch {
		case !p.inGroup(g, m):
			p.order(g, m, Order{Op: OpJoin, Model: g.Model, Members: names(g.Members)})
		case e.Report.State == MemberReady || e.Report.State == MemberOpen:
			ready++
		case e.Report.State == MemberBroken:
			p.abandon(g, "member "+m.Instance+" reports it broken")
			return
		}
	}
	if ready == len(g.Members) {
		p.enter(g, Opening, "")
		p.open(g)
	}
}

// abandon gives up a group that has not served. An earlier leader's order to
// open an adopted one may still be on its way, so its head must leave first.
func (p *Placer) abandon(g *Group, reason string) {
	if g.adopted {
		p.startClose(g, reason, true)
		return
	}
	p.end(g)
}

// open orders the head to serve, as long as all members stay ready.
func (p *Placer) open(g *Group) {
	if p.lost(g) != "" {
		p.startClose(g, p.lost(g), true)
		return
	}
	if p.headState(g) == MemberOpen {
		p.enter(g, Open, "")
		return
	}
	p.order(g, g.Head(), Order{Op: OpOpen})
}

// lost returns why a group can not go on, or an empty string.
func (p *Placer) lost(g *Group) string {
	moving := p.msg.Moving[g.Head().Instance]
	for _, m := range g.Members {
		switch p.health(m) {
		case dead:
			return "member " + m.Instance + " has ended"
		case silent:
			if !moving {
				return "member " + m.Instance + " is silent"
			}
		default:
			if !p.inGroup(g, m) {
				return "member " + m.Instance + " is in another group"
			}
			if p.msg.Stalled[g.Head().Instance] && p.byID[m.Instance].Failing != 0 {
				return "member " + m.Instance + " does not answer and the group stands still"
			}
		}
	}
	if p.headState(g) == MemberBroken {
		return "its head reports it broken"
	}
	return ""
}

func (p *Placer) watch(g *Group) {
	if reason := p.lost(g); reason != "" {
		p.startClose(g, reason, true)
		return
	}
	for _, m := range g.Members {
		if p.health(m) == leaving {
			p.startClose(g, "member "+m.Instance+" leaves", false)
			return
		}
	}
	if p.headState(g) == MemberReady {
		p.enter(g, Opening, "")
	}
}

func (p *Placer) startClose(g *Group, reason string, cutover bool) {
	p.enter(g, Closing, reason)
	g.Cutover = cutover
	p.close(g)
}

const (
	// drainFor is how long a group's running work may end after a member said
	// that it leaves.
	drainFor = 3 * time.Second
	// giveFor is how long it may end when its members are needed elsewhere; the
	// rest goes on at other groups.
	giveFor = 3 * time.Second
)

// close makes sure that the head can not serve any more, then gives its
// members away.
func (p *Placer) close(g *Group) {
	patience := drainFor
	if g.given {
		patience = giveFor
	}
	if !g.Cutover && (p.lost(g) != "" || p.msg.Now-g.Since > patience) {
		g.Cutover = true
		g.ordered = nil
	}
	switch p.health(g.Head()) {
	case dead:
		p.end(g)
		return
	case silent:
		p.part(g)
		return
	}
	g.parted = 0
	switch p.headState(g) {
	case "":
		p.end(g)
	case MemberClosing:
		if g.Cutover {
			p.order(g, g.Head(), Order{Op: OpLeave})
		}
	case MemberOpen:
		if g.Cutover {
			p.order(g, g.Head(), Order{Op: OpLeave})
			return
		}
		p.order(g, g.Head(), Order{Op: OpClose})
	default:
		p.order(g, g.Head(), Order{Op: OpLeave})
	}
}

// part takes the members away from a head that does not answer: a group that a
// member has left stands still and breaks by its own limit.
func (p *Placer) part(g *Group) {
	left := false
	for _, m := range g.Members[1:] {
		switch h := p.health(m); {
		case h == silent:
		case h != dead && p.inGroup(g, m):
			p.order(g, m, Order{Op: OpLeave})
		default:
			left = true
		}
	}
	if left && g.parted == 0 {
		g.parted = p.msg.Now
	}
	if g.parted != 0 && p.msg.Now-g.parted > p.options.breakAfter {
		p.end(g)
	}
}

// hasParted reports whether a member has left a group whose head is silent, so
// that it can join another one.
func (p *Placer) hasParted(g *Group, m Member) bool {
	return g.State == Closing && g.parted != 0 && m != g.Head() && p.health(m) == sound && !p.inGroup(g, m)
}

// end gives the members of a group away.
func (p *Placer) end(g *Group) {
	p.ended[g.Name] = true
	delete(p.groups, g.Name)
}

func names(members []Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Instance)
	}
	return list
}

func (p *Placer) nextEpoch() int {
	p.counter++
	return p.term*EpochsPerTerm + p.counter
}

func (p *Placer) newGroup(model describer.Model, members []tracker.Endpoint) {
	epoch := p.nextEpoch()
	g := &Group{
		Name: model.Name + "/" + strconv.Itoa(epoch), Service: p.msg.Service, Model: model.Name, Epoch: epoch, Since: p.msg.Now,
		FailureDomain: members[0].View.FailureDomain, FabricDomain: members[0].Report.FabricDomain,
	}
	for _, e := range members {
		g.Members = append(g.Members, Member{e.View.Instance, e.View.Born})
		if p.readyIn(e, model) >= model.Load {
			p.loads = append(p.loads, p.msg.Now)
		}
	}
	p.groups[g.Name] = g
	p.form(g)
}

func compareEndpoints(a, b tracker.Endpoint) int {
	return cmp.Compare(a.View.Instance, b.View.Instance)
}
