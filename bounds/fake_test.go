package bounds

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"papayaseam/internal/admitter"
	"papayaseam/internal/messenger"
	"papayaseam/internal/retrier"
	"papayaseam/internal/router"
)

const (
	firstToken = 150 * time.Millisecond
	meanAnswer = 2 * time.Second
	promise    = 740 * time.Millisecond
	parallel   = 8
	hop        = time.Millisecond

	cachedPrefixes = 4
)

// event is something due at a virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// group is a fake endpoint behind the real admission.
type group struct {
	name     string
	machine  *admitter.Machine
	requests map[string]*request
	dark     bool
	cached   []string // cached holds the prefixes in the engine's memory, the newest last.
}

// chooser picks a group at an entry.
type chooser interface {
	choose(s *sim, e *entry, r *request) (string, bool)
}

// entry is one entry with the real router and retry budget.
type entry struct {
	router *router.Router
	budget *retrier.Budget
	turn   int
	loads  map[string]messenger.GroupLoad
}

// request is one caller's request.
type request struct {
	id           string
	organisation string
	priority     int
	began        time.Duration
	answer       time.Duration
	first        time.Duration
	tries        int
	prefix       string
	hit          bool
	excluded     map[string]bool
	state        string
}

// options of a run.
type options struct {
	groups, entries int
	lag             time.Duration
	chooser         chooser
	deadline        time.Duration
	seed            uint64
	queue           int
	prefixes        int // prefixes is how many beginnings the prompts have; 0 means none in common.
	affinity        bool
	places          int               // places is how many answers a group gives at once, 8 where not set.
	answer          time.Duration     // answer is the mean time of an answer, 2 s where not set.
	priorities      map[string]int    // priorities holds those of the callers that have one.
	owners          map[string]string // owners names the organisations of callers that are not one of their own.
}

type sim struct {
	options
	now      time.Duration
	queue    events
	seq      int
	rng      *rand.Rand
	groups   []*group
	entries  []*entry
	requests []*request
	asked    int // asked counts the questions to leaders.
}

func newSim(o options) *sim {
	o.places = cmp.Or(o.places, parallel)
	o.answer = cmp.Or(o.answer, meanAnswer)
	s := &sim{options: o, rng: rand.New(rand.NewPCG(o.seed, 9))}
	var spec []router.Group
	for i := range o.groups {
		name := fmt.Sprintf("g%02d", i)
		g := &group{name: name, machine: admitter.New(admitter.WithConcurrencyLimit(o.places), admitter.WithQueueLimit(o.queue), admitter.WithServiceTime(o.answer)), requests: map[string]*request{}}
		g.machine.Update(0, admitter.OpenMsg{})
		s.groups = append(s.groups, g)
		spec = append(spec, router.Group{Name: name, Spec: messenger.GroupSpec{Model: "m", Epoch: 1, Active: true, Members: []messenger.Member{{Address: name}}}})
	}
	for i := range o.entries {
		e := &entry{router: router.New(router.WithSeed(o.seed+uint64(i)), router.WithLocation("", "")), budget: retrier.New(0.1, 50), turn: i, loads: map[string]messenger.GroupLoad{}}
		e.router.Update(0, router.GroupsMsg{Groups: spec})
		s.entries = append(s.entries, e)
	}
	s.report()
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

// run lets time go on.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	s.now = until
}

// report publishes every group's load to every entry each second, late by the
// lag.
func (s *sim) report() {
	var loads []messenger.GroupLoad
	for _, g := range s.groups {
		if g.dark {
			continue
		}
		loads = append(loads, s.load(g))
	}
	at := s.now
	deliver := func() {
		for i := range loads {
			loads[i].AgeMs = int((s.now - at) / time.Millisecond)
		}
		for _, e := range s.entries {
			e.router.Update(s.now, router.LoadsMsg{Loads: loads})
			for _, load := range loads {
				e.loads[load.Group] = load
			}
		}
	}
	if s.lag == 0 {
		deliver()
	} else {
		s.after(s.lag, deliver)
	}
	s.after(s.pace(), s.report)
}

// pace is a second, or far less where reports are to be never late.
func (s *sim) pace() time.Duration {
	if s.lag == 0 {
		return 20 * time.Millisecond
	}
	return time.Second
}

func (s *sim) load(g *group) messenger.GroupLoad {
	return messenger.GroupLoad{
		Group: g.name, Epoch: 1, Ready: true, Running: g.machine.Running(), Queued: g.machine.QueuedAhead(), Parallel: s.places,
		FirstTokenMs: int(firstToken / time.Millisecond), ServiceMs: int(g.machine.ServiceTime() / time.Millisecond), Incarnation: "i",
	}
}

// capacity is the rate that all groups together can answer.
func (s *sim) capacity() float64 {
	return float64(len(s.groups)*s.places) / s.answer.Seconds()
}

// arrive lets an organisation send requests at a rate until a moment.
func (s *sim) arrive(organisation string, rate float64, until time.Duration) {
	if rate <= 0 {
		return
	}
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		if s.now > until {
			return
		}
		s.begin(organisation)
		s.arrive(organisation, rate, until)
	})
}

func (s *sim) begin(organisation string) {
	sigma := 0.5
	length := math.Exp(s.rng.NormFloat64()*sigma - sigma*sigma/2)
	r := &request{
		id: fmt.Sprint(len(s.requests)), organisation: organisation, began: s.now, priority: s.priorities[organisation],
		answer: time.Duration(float64(s.answer) * length), excluded: map[string]bool{},
	}
	if s.prefixes > 0 {
		r.prefix = fmt.Sprint("prefix-", s.rng.IntN(s.prefixes))
	}
	s.requests = append(s.requests, r)
	e := s.entries[s.rng.IntN(len(s.entries))]
	e.budget.RecordRequest(s.owner(organisation))
	s.try(e, r)
}

// owner is the organisation in whose name a caller sends.
func (s *sim) owner(caller string) string {
	if owner, ok := s.owners[caller]; ok {
		return owner
	}
	return caller
}

// try sends a request to the chosen group, as an entry does.
func (s *sim) try(e *entry, r *request) {
	name, ok := s.chooser.choose(s, e, r)
	if !ok {
		r.state = "refused"
		return
	}
	r.tries++
	e.router.Update(s.now, router.SentMsg{Group: name})
	g := s.group(name)
	s.after(hop, func() { s.submit(e, g, r) })
}

func (s *sim) submit(e *entry, g *group, r *request) {
	if g.dark {
		s.refused(e, g, r)
		return
	}
	deadline := time.Duration(0)
	if s.deadline > 0 {
		deadline = r.began + s.deadline - firstToken
	}
	id := fmt.Sprintf("%s/%d", r.id, r.tries)
	g.requests[id] = r
	s.admit(e, g, admitter.SubmitMsg{Attempt: admitter.Attempt{ID: id, Organisation: s.owner(r.organisation), Deadline: deadline, Priority: r.priority}})
	s.admit(e, g, admitter.StartMsg{})
}

// admit executes the admission's effects.
func (s *sim) admit(e *entry, g *group, msg admitter.Msg) {
	for _, effect := range g.machine.Update(s.now, msg) {
		switch effect := effect.(type) {
		case admitter.StartEffect:
			s.start(e, g, effect.ID)
		case admitter.RefuseEffect:
			r := g.requests[effect.ID]
			if effect.Kind == admitter.RefusedDeadline && s.now > r.began+s.deadline-firstToken {
				r.state = "refused"
				continue
			}
			s.refused(e, g, r)
		}
	}
}

func (s *sim) start(e *entry, g *group, id string) {
	r := g.requests[id]
	first := g.firstToken(r)
	s.after(first, func() {
		if !g.dark {
			r.first = s.now
		}
	})
	s.after(first+r.answer, func() {
		if g.dark {
			return
		}
		r.state = "answered"
		s.admit(e, g, admitter.FinishMsg{ID: id})
		s.admit(e, g, admitter.StartMsg{})
	})
}

// firstToken is shorter where the prompt's beginning is in the engine's memory,
// which holds a few of them.
func (g *group) firstToken(r *request) time.Duration {
	if r.prefix == "" {
		return firstToken
	}
	i := slices.Index(g.cached, r.prefix)
	r.hit = i >= 0
	if r.hit {
		g.cached = slices.Delete(g.cached, i, i+1)
	}
	g.cached = append(g.cached, r.prefix)
	if len(g.cached) > cachedPrefixes {
		g.cached = g.cached[1:]
	}
	if r.hit {
		return firstToken / 3
	}
	return firstToken
}

// refused tries elsewhere within the budget, which a dark group does not touch.
func (s *sim) refused(e *entry, g *group, r *request) {
	r.excluded[g.name] = true
	if g.dark {
		e.router.Update(s.now, router.RefusedMsg{Group: g.name, Unreachable: true})
	}
	if !g.dark && !e.budget.TrySpend(s.owner(r.organisation)) {
		r.state = "refused"
		return
	}
	s.after(hop, func() { s.try(e, r) })
}

// darken takes a group away; what ran there is tried elsewhere when its
// connections break.
func (s *sim) darken(g *group) {
	g.dark = true
	for _, effect := range g.machine.Update(s.now, admitter.AbortAllMsg{}) {
		if abort, ok := effect.(admitter.AbortEffect); ok {
			r := g.requests[abort.ID]
			s.after(3*time.Second, func() { s.refused(s.entries[s.rng.IntN(len(s.entries))], g, r) })
		}
	}
}

// ours is the router as it is.
type ours struct{}

func (ours) choose(s *sim, e *entry, r *request) (string, bool) {
	query := router.Query{Model: "m", Excluded: r.excluded}
	if s.affinity {
		query.PrefixHash = r.prefix
	}
	choice, sure, ok := e.router.Choose(s.now, query)
	if ok && !sure {
		choice = s.ask(e, query, choice)
	}
	return choice.Group, ok
}

// ask has the leaders of a sample report their load, as the entry does.
func (s *sim) ask(e *entry, query router.Query, choice router.Choice) router.Choice {
	sample := e.router.SampleCandidates(s.now, query)
	var loads []messenger.GroupLoad
	for _, c := range sample {
		s.asked++
		g := s.group(c.Group)
		if g.dark {
			e.router.Update(s.now, router.RefusedMsg{Group: c.Group, Unreachable: true})
			continue
		}
		loads = append(loads, s.load(g))
	}
	e.router.Update(s.now, router.LoadsMsg{Loads: loads})
	if best, ok := e.router.BestOf(s.now, query, sample); ok {
		return best
	}
	return choice
}

func (s *sim) group(name string) *group {
	return s.groups[slices.IndexFunc(s.groups, func(g *group) bool { return g.name == name })]
}

// random is a plain baseline.
type random struct{}

func (random) choose(s *sim, _ *entry, _ *request) (string, bool) {
	return s.groups[s.rng.IntN(len(s.groups))].name, true
}

// roundRobin is a plain baseline.
type roundRobin struct{}

func (roundRobin) choose(s *sim, e *entry, _ *request) (string, bool) {
	e.turn++
	return s.groups[e.turn%len(s.groups)].name, true
}

// leastLoaded runs to the group that the newest report shows as least loaded.
type leastLoaded struct{}

func (leastLoaded) choose(_ *sim, e *entry, _ *request) (string, bool) {
	best, found := messenger.GroupLoad{}, false
	for _, load := range e.loads {
		if !found || load.Running+load.Queued < best.Running+best.Queued || (load.Running+load.Queued == best.Running+best.Queued && load.Group < best.Group) {
			best, found = load, true
		}
	}
	return best.Group, found
}

// firsts returns the times to the first token of the answered requests of an
// organisation within a span, sorted.
func (s *sim) firsts(organisation string, from, to time.Duration) []time.Duration {
	var list []time.Duration
	for _, r := range s.requests {
		if r.first > 0 && r.began >= from && r.began < to && (organisation == "" || r.organisation == organisation) {
			list = append(list, r.first-r.began)
		}
	}
	slices.Sort(list)
	return list
}

func percentile(list []time.Duration, percent int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[(len(list)-1)*percent/100]
}

// kept is the share of an organisation's requests in a span whose first token
// came within the promise, and their number per second.
func (s *sim) kept(organisation string, from, to time.Duration) (share, perSecond float64) {
	all, good := 0, 0
	for _, r := range s.requests {
		if r.began < from || r.began >= to || (organisation != "" && r.organisation != organisation) {
			continue
		}
		all++
		if r.first > 0 && r.first-r.began <= promise {
			good++
		}
	}
	return float64(good) / float64(max(1, all)), float64(good) / (to - from).Seconds()
}

func (s *sim) tries() (tries, requests int) {
	for _, r := range s.requests {
		tries += r.tries
	}
	return tries, len(s.requests)
}
