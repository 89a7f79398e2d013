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
	Instance       string
	Born           int
	Op             Op
	Group          string
	Epoch          int
	Model          string
	Members        []string
	Cutover        bool // Cutover ends running work at once.
	AcceptedOrders int  // AcceptedOrders is the number of orders that the endpoint had accepted.
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
	StateSince    time.Duration // StateSince is when the state began.
	Cutover       bool          // Cutover tells that running work is ended while closing.
	Reason        string        // Reason is why the group closes.

	adopted bool          // adopted tells that an earlier leader formed the group.
	refused int           // refused counts the orders that its members refused as overtaken.
	due     time.Duration // due is when a group that forms is given up.
	given   bool          // given tells that the group is given up for another one.
	parted  time.Duration // parted is when all reachable members of a silent head had left.
	ordered map[string]time.Duration
}

// Head returns the first member.
func (g *Group) Head() Member { return g.Members[0] }

// PlanMsg is the view that a plan is made from.
type PlanMsg struct {
	Now              time.Duration
	Service          string
	Engine           describer.Engine
	Endpoints        []tracker.Endpoint // Endpoints are those of the service.
	Demand           map[string]float64 // Demand is the work in instances that clients ask of each model; empty before traffic.
	ProgressingHeads map[string]bool    // ProgressingHeads names the heads whose answers clients receive right now.
	StalledHeads     map[string]bool    // StalledHeads names the heads of whose several answers none moves.
	KnownGroups      []messenger.GroupView
	ObserveOnly      bool // ObserveOnly takes in whole groups and gives no orders.
	HadTraffic       bool // HadTraffic tells that clients were served before, also by an earlier leader.
}

// traffic reports whether loads count against the store's limit.
func (m PlanMsg) traffic() bool { return m.HadTraffic || len(m.Demand) > 0 }

// Placer holds the groups of one service. It is not safe for concurrent use.
type Placer struct {
	options options
	term    int
	counter int
	groups  map[string]*Group
	ended   map[string]bool
	staging map[string]stage
	loads   []time.Duration
	gaveAt  map[string]time.Duration // gaveAt is when a fabric domain last gave up a group for another.
	msg     PlanMsg
	byID    map[string]tracker.Endpoint
	orders  []Order
}

// New returns a placer for one term of leadership.
func New(term int, opts ...Option) *Placer {
	p := &Placer{options: defaults(), term: term, groups: map[string]*Group{}, ended: map[string]bool{}, staging: map[string]stage{}, gaveAt: map[string]time.Duration{}}
	for _, opt := range opts {
		opt(&p.options)
	}
	p.loads = p.options.loads
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
	if msg.ObserveOnly {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		p.advance(p.groups[name])
	}
	p.place()
	p.stage()
	return p.orders
}

// health is how a member stands.
type health int

const (
	sound   health = iota
	leaving        // leaving members serve on for a while.
	silent         // silent members do not answer control; they may still serve, as leaving ones do that no longer listen.
	dead           // dead members have ended for certain.
)

func (p *Placer) health(m Member) health {
	e, ok := p.byID[m.Instance]
	switch {
	case !ok:
		return silent
	case e.View.Born != m.Born || (e.BootEnded && !e.View.Leaving):
		return dead
	case e.BootEnded || p.isSilent(e) || e.ReportedAt == 0:
		return silent
	case e.View.Leaving:
		return leaving
	}
	return sound
}

// MinMisses is how many calls in a row show that an endpoint does not answer:
// one may be late since this process is.
const MinMisses = 2

func (p *Placer) isSilent(e tracker.Endpoint) bool {
	return e.FailingSince != 0 && e.FailedCalls >= MinMisses && p.msg.Now-e.FailingSince > p.options.silentAfter && p.msg.Now-e.LastHeard > p.options.silentAfter
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
		Name: model.Name + "/" + strconv.Itoa(epoch), Service: p.msg.Service, Model: model.Name, Epoch: epoch, StateSince: p.msg.Now,
		FailureDomain: members[0].View.FailureDomain, FabricDomain: members[0].Report.FabricDomain,
	}
	slowest := time.Duration(0)
	for _, e := range members {
		g.Members = append(g.Members, Member{e.View.Instance, e.View.Born})
		ready := p.readyIn(e, model)
		slowest = max(slowest, ready)
		if ready >= model.ColdLoadTime {
			p.loads = append(p.loads, p.msg.Now)
		}
	}
	g.due = p.msg.Now + formFactor*(slowest+formSlack)
	p.groups[g.Name] = g
	p.form(g)
}

const (
	// formFactor is how many times its declared time a group may take to form.
	formFactor = 2
	// formSlack is for orders, their repetition and the opening of a group.
	formSlack = 2 * time.Second
)

func compareEndpoints(a, b tracker.Endpoint) int {
	return cmp.Compare(a.View.Instance, b.View.Instance)
}
