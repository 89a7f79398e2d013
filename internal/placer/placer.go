// Package placer decides which instances form which groups. It is a pure state
// machine: from the endpoints' reports it derives the orders that open complete
// groups, close groups that lost a member and form new ones.
//
// # Usage
//
//	p := placer.New(term)
//	for _, order := range p.Update(placer.PlanMsg{Now: now, Engine: engine, Endpoints: endpoints}) {
//		send(order)
//	}
//	for _, group := range p.Groups() { ... }
//
// An order is resent until the reports show its effect, so a lost order or
// response only costs time. Three rules make a plan safe:
//
//   - A group is opened only after every member reported ready under its epoch.
//   - A member joins another group only after it left, or after its head reported
//     that it left, was replaced by a later boot, or has stalled for longer than the
//     endpoints' own stall limit.
//   - Epochs and fencing tokens increase across all groups and leaders.
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

// States of a group member as reported by its endpoint.
const (
	MemberJoining = "joining"
	MemberReady   = "ready"
	MemberOpen    = "open"
	MemberClosing = "closing"
	MemberBroken  = "broken"
)

// EpochsPerTerm is the number of epochs, and of fencing tokens, that a leader can
// issue in its term. Those of a later term are higher.
const EpochsPerTerm = 1_000_000

// Op is the operation that an order requests from an endpoint.
type Op string

// The operations.
const (
	OpJoin  Op = "join"
	OpOpen  Op = "open"
	OpClose Op = "close"
	OpLeave Op = "leave"
	OpStage Op = "stage"
)

// Order is a command to an endpoint process.
type Order struct {
	Instance       string
	BootTime       int // BootTime is the start time of the endpoint process that the order is for.
	Op             Op
	Group          string
	Epoch          int
	Model          string
	Members        []string
	Cutover        bool // Cutover ends running requests at once instead of waiting for them.
	AcceptedOrders int  // AcceptedOrders is the number of orders that the endpoint had accepted by its last report. It rejects an order to join or open if it has accepted others.
}

// State is the lifecycle state of a group.
type State int

// The states of a group, in the order of its lifecycle.
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

// Member is an endpoint process that belongs to a group.
type Member struct {
	Instance string
	BootTime int // BootTime is the start time of the endpoint process.
}

// Group is a set of members that serve one replica of a model. Members are
// ordered by rank; the first one is the head.
type Group struct {
	Name          string
	Service       string
	Model         string
	Epoch         int
	Members       []Member
	FailureDomain string
	FabricDomain  string
	State         State
	StateSince    time.Duration // StateSince is when the group entered its state.
	Cutover       bool          // Cutover is set if closing ends running requests at once.
	Reason        string        // Reason says why the group closes; it is written to the log.
	Doubted       bool          // Doubted is set while it is not known whether the group serves on with a member that refuses connections.

	adopted      bool                 // adopted is set if an earlier leader formed the group.
	refusals     int                  // refusals counts the orders that members refused as superseded.
	formDeadline time.Duration        // formDeadline is when a group that has not opened is abandoned; 0 means no deadline.
	preempted    bool                 // preempted is set if the group closes to free its members for another model.
	detachedAt   time.Duration        // detachedAt is when a member was first seen to have left an unreachable head; 0 if none has.
	opensUntil   time.Duration        // opensUntil is until when an order to open without an answer may take effect; 0 if none is known to be under way.
	lastSent     map[string]sentOrder // lastSent holds the last order of each operation to each instance.
}

// sentOrder is an order that was sent to an endpoint.
type sentOrder struct {
	at             time.Duration
	acceptedOrders int  // acceptedOrders is the count that the order was bound to.
	rejected       bool // rejected is set if the endpoint rejected it as outdated.
}

// Head returns the member of rank 0.
func (g *Group) Head() Member { return g.Members[0] }

// Proof is why the head of a released group can no longer serve.
type Proof string

// The proofs.
const (
	ProofNeverOpened Proof = "never-opened" // ProofNeverOpened means that the head was never ordered to open the group.
	ProofHeadLeft    Proof = "head-left"    // ProofHeadLeft means that the head reported that it is not in the group.
	ProofHeadEnded   Proof = "head-ended"   // ProofHeadEnded means that the head's boot has ended.
	ProofHeadStalled Proof = "head-stalled" // ProofHeadStalled means that a member left longer ago than a head can stall, which can't have opened since.
)

// Release is the end of a group whose members became free.
type Release struct {
	Group string
	Proof Proof
}

// PlanMsg is the input of one plan. Times are readings of a monotonic clock.
type PlanMsg struct {
	Now              time.Duration
	Service          string
	Engine           describer.Engine
	Endpoints        []tracker.Endpoint       // Endpoints are the endpoints of the service.
	Demand           map[string]float64       // Demand is the load of each model in busy instances; empty before there is traffic.
	LastEvents       map[string]time.Duration // LastEvents maps heads with open response streams to the time of the last event that any of these is known to have delivered.
	ProgressingHeads map[string]bool          // ProgressingHeads holds the heads whose response streams are making progress.
	StalledHeads     map[string]bool          // StalledHeads holds the heads with several open streams, none of which makes progress.
	KnownGroups      []messenger.GroupView    // KnownGroups are the groups that an earlier leader published.
	Evacuated        []string                 // Evacuated are the failure domains whose endpoints get no requests.
	ObserveOnly      bool                     // ObserveOnly adopts complete groups and sends no orders.
	HadTraffic       bool                     // HadTraffic is set if clients were served before, including by an earlier leader.
}

// hasTraffic reports whether clients have been served, so that loads count
// against the weight store's limits.
func (m PlanMsg) hasTraffic() bool { return m.HadTraffic || len(m.Demand) > 0 }

// Placer manages the groups of one service. It is not safe for concurrent use.
type Placer struct {
	options      options
	term         int
	epochCounter int // epochCounter is the number of epochs issued in this term.
	groups       map[string]*Group
	ended        map[string]bool          // ended holds the names of released groups, which are not adopted again.
	pendingLoads map[string]pendingLoad   // pendingLoads maps instances to the load that was ordered from them.
	loadStarts   []time.Duration          // loadStarts are the recent starts of loads from the weight store by this leader.
	lastModels   map[Member]string        // lastModels maps endpoint processes to the model of the last group that they were ready in.
	preemptedAt  map[string]time.Duration // preemptedAt maps fabric domains to the time at which a group there was last preempted.
	msg          PlanMsg
	capacity     float64                     // capacity is the number of endpoints outside evacuated failure domains.
	byID         map[string]tracker.Endpoint // byID holds the endpoints of msg by instance.
	orders       []Order
	releases     []Release
}

// New returns a Placer for one leadership term.
func New(term int, opts ...Option) *Placer {
	p := &Placer{options: defaults(), term: term, groups: map[string]*Group{}, ended: map[string]bool{}, pendingLoads: map[string]pendingLoad{}, preemptedAt: map[string]time.Duration{}}
	for _, opt := range opts {
		opt(&p.options)
	}
	return p
}

// Groups returns all groups, sorted by name.
func (p *Placer) Groups() []Group {
	groups := make([]Group, 0, len(p.groups))
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		groups = append(groups, *p.groups[name])
	}
	return groups
}

// Releases returns the groups that the last plan released.
func (p *Placer) Releases() []Release { return p.releases }

// Update computes one plan and returns the orders to send now.
func (p *Placer) Update(msg PlanMsg) []Order {
	p.setMsg(msg)
	p.orders, p.releases = nil, nil
	p.recordLastModels()
	p.adopt()
	if msg.ObserveOnly {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		p.advance(p.groups[name])
	}
	p.formGroups()
	p.stageModels()
	return p.orders
}

// setMsg sets the input of a plan and what is worked out from it once.
func (p *Placer) setMsg(msg PlanMsg) {
	p.msg = msg
	p.byID = map[string]tracker.Endpoint{}
	for _, e := range msg.Endpoints {
		p.byID[e.View.Instance] = e
	}
	p.capacity = p.countCapacity()
}

// memberHealth classifies a member by what is known of its process.
type memberHealth int

const (
	healthy     memberHealth = iota // healthy members respond and are not leaving.
	leaving                         // leaving members are shutting down and still serve for a while.
	unreachable                     // unreachable members do not respond to the control process, or refuse its connections, but may still serve.
	dead                            // dead members were replaced by a later boot.
)

// health classifies a member by the last plan input.
func (p *Placer) health(m Member) memberHealth {
	e, ok := p.byID[m.Instance]
	switch {
	case !ok:
		return unreachable
	case e.View.Born > m.BootTime || e.BootEnded:
		return dead
	case e.View.Born < m.BootTime || p.isUnreachable(e) || e.ReportedAt == 0:
		return unreachable
	case e.View.Leaving:
		return leaving
	}
	return healthy
}

// MinFailedCalls is the number of consecutive unanswered calls after which an endpoint
// may count as unreachable. A single one can also be due to a delay in this
// process.
const MinFailedCalls = 2

// isUnreachable reports whether an endpoint refuses connections, or has neither
// answered MinFailedCalls calls nor been heard of otherwise for the configured time.
func (p *Placer) isUnreachable(e tracker.Endpoint) bool {
	return e.RefusedSince != 0 || e.FailingSince != 0 && e.FailedCalls >= MinFailedCalls && p.msg.Now-e.FailingSince > p.options.unreachableAfter && p.msg.Now-e.LastHeard > p.options.unreachableAfter
}

// inGroup reports whether the member's last report places it in the group under
// the group's epoch.
func (p *Placer) inGroup(g *Group, m Member) bool {
	e := p.byID[m.Instance]
	return e.View.Born == m.BootTime && e.Report.Group == g.Name && e.Report.Epoch == g.Epoch
}

// inOtherGroup reports whether the member's last report places it in another group that
// has not been released, so that the group's head may serve.
func (p *Placer) inOtherGroup(g *Group, m Member) bool {
	other := p.groups[p.byID[m.Instance].Report.Group]
	return other != nil && other != g && p.inGroup(other, m)
}

// headState returns the head's member state, or "" if the head is not in the group.
func (p *Placer) headState(g *Group) string {
	if !p.inGroup(g, g.Head()) {
		return ""
	}
	return p.byID[g.Head().Instance].Report.State
}

// instanceNames returns the instances of members, in the same order.
func instanceNames(members []Member) []string {
	instances := make([]string, 0, len(members))
	for _, m := range members {
		instances = append(instances, m.Instance)
	}
	return instances
}

// nextEpoch issues an epoch higher than all earlier ones.
func (p *Placer) nextEpoch() int {
	p.epochCounter++
	return p.term*EpochsPerTerm + p.epochCounter
}

// newGroup starts to form a group of a model from members in the order of their
// ranks.
func (p *Placer) newGroup(model describer.Model, members []tracker.Endpoint) {
	epoch := p.nextEpoch()
	g := &Group{
		Name: model.Name + "/" + strconv.Itoa(epoch), Service: p.msg.Service, Model: model.Name, Epoch: epoch, StateSince: p.msg.Now,
		FailureDomain: members[0].View.FailureDomain, FabricDomain: members[0].Report.FabricDomain,
	}
	slowestJoin := time.Duration(0)
	for _, e := range warmHeadFirst(members) {
		g.Members = append(g.Members, Member{e.View.Instance, e.View.Born})
		joinTime := p.joinTime(e, model)
		slowestJoin = max(slowestJoin, joinTime)
		if joinTime >= model.ColdLoadTime {
			p.loadStarts = append(p.loadStarts, p.msg.Now)
		}
	}
	g.formDeadline = p.msg.Now + formDeadlineFactor*(slowestJoin+formMargin)
	p.groups[g.Name] = g
	p.form(g)
}

const (
	// formDeadlineFactor multiplies the declared time to form a group.
	formDeadlineFactor = 2
	// formMargin covers sending and resending orders and opening the group.
	formMargin = 2 * time.Second
)

// compareEndpoints orders endpoints by instance.
func compareEndpoints(a, b tracker.Endpoint) int {
	return cmp.Compare(a.View.Instance, b.View.Instance)
}
