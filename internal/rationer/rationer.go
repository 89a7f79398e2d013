// Package rationer decides at an entry, which holds no queue, which requests are refused
// first when the slots of a model are short: those of an organisation above its weighted
// max-min share, and those that are less urgent than others of the same service. It is a
// pure state machine, driven from this entry's own requests.
//
// # Usage
//
//	r := rationer.New()
//	r.Update(rationer.ConfigurationMsg{Services: []rationer.Service{{Name: "writers", Priorities: []int{0, 2}}}})
//	r.Update(rationer.RequestMsg{Request: request})  // once for each request of a client
//	decision := r.Decide(request)                    // before it is sent
//	r.Update(rationer.AdmittedMsg{Request: request}) // it is sent
//	r.Update(rationer.RefusedMsg{Request: request, Short: true}) // no slot was free
//
// Nothing is refused while a model is not short: it is short for a while after most of
// its slots were in use or a request found no slot. A share is counted in estimated
// instance time and enforced by what the organisation had before, whatever the size of
// the request at hand, so that large requests are refused no more often than small ones.
// Services that a ConfigurationMsg does not name are never rationed and have no state.
package rationer

import (
	"math"
	"slices"
	"time"

	"papayaseam/internal/apportioner"
)

// Request is a client's request to a model.
type Request struct {
	Service      string
	Model        string
	Organisation string
	Kind         string        // Kind names the kind of request: its route.
	Fingerprint  uint64        // Fingerprint is the same when a client sends the request again.
	Priority     int           // Priority is 0 for the most urgent requests.
	Work         float64       // Work is the estimated instance time that the request takes.
	Returned     bool          // Returned means that the client was refused before and comes back.
	Utilization  float64       // Utilization is the fraction of the model's slots in use.
	Now          time.Duration // Now is a reading of the clock that the messages use.
}

// Decision says how a request is treated.
type Decision struct {
	Refused bool    // Refused means that the request must not be sent.
	Reason  Reason  // Reason says why the request is refused, or would be above Fill.
	Fill    float64 // Fill is the fraction of the usual capacity up to which the request is accepted.
	Rank    int     // Rank is the position of the request's priority among Ranks of its service, from 0, the most urgent.
	Ranks   int     // Ranks is 0 for a service that is not rationed.
}

// Reason says why a request is refused.
type Reason string

// The reasons for a refusal.
const (
	AboveShare Reason = "its organisation is above its share of a model that is short"
	LessUrgent Reason = "more urgent requests go first while the model is short"
	TooEarly   Reason = "it came back earlier than told while the model is short"
)

// Rationer holds the state of the rationed services. It is not safe for concurrent use.
type Rationer struct {
	services map[string]*service
	pools    map[poolKey]*pool
	refused  [maxRefused]refusal
}

// Service is a service whose requests are rationed.
type Service struct {
	Name       string
	Priorities []int // Priorities holds those that its requests can have, the most urgent first.
}

type poolKey struct{ service, model string }

// refusal is a refused request, to recognise it when it is sent again.
type refusal struct {
	fingerprint uint64
	at          time.Duration
}

// pool is the state of one model of a service.
type pool struct {
	startedAt   time.Duration
	shortUntil  time.Duration
	refreshedAt time.Duration
	clock       apportioner.Clock
	level       float64 // level is the work per unit of weight in one second; infinite while all demands fit.
	parties     map[string]*party
	asked       []decaying // asked is the work asked for, by rank.
	admitted    decaying   // admitted is the work that was sent.
	served      decaying   // served is the number of requests that were sent.
	counts      Counts
	utilization decaying // utilization holds samples of the utilization.
	samples     decaying // samples is the weight of those samples.
}

// Counts are the requests to a model that clients sent, and those that were sent to
// endpoints, since they were last taken.
type Counts struct {
	Service, Model string
	Asked, Sent    int
}

// TakeCounts returns the counts of all rationed models and starts them anew.
func (r *Rationer) TakeCounts() []Counts {
	var taken []Counts
	for key, p := range r.pools {
		if p.counts.Asked+p.counts.Sent > 0 {
			taken = append(taken, Counts{key.service, key.model, p.counts.Asked, p.counts.Sent})
			p.counts = Counts{}
		}
	}
	return taken
}

// party is one organisation's use of a model.
type party struct {
	apportioner.Account
	asked    decaying
	requests tally
	usedAt   time.Duration
}

// New returns a rationer that rations no service.
func New() *Rationer {
	return &Rationer{services: map[string]*service{}, pools: map[poolKey]*pool{}}
}

// Update applies a message to the state.
func (r *Rationer) Update(msg Msg) {
	switch msg := msg.(type) {
	case ConfigurationMsg:
		r.configure(msg)
	case ServedMsg:
		if s := r.services[msg.Service]; s != nil {
			s.fraction, s.fractionAt = min(max(msg.Fraction, 0), 1), msg.Now
		}
	case RequestMsg:
		r.ask(msg.Request)
	case AdmittedMsg:
		r.admit(msg.Request)
	case RefusedMsg:
		r.refuse(msg.Request, msg.Short)
	}
}

// configure keeps the state of the services that stay rationed with the same priorities.
func (r *Rationer) configure(msg ConfigurationMsg) {
	before := r.services
	r.services = map[string]*service{}
	for _, s := range msg.Services {
		if old := before[s.Name]; old != nil && slices.Equal(old.priorities, s.Priorities) {
			r.services[s.Name] = old
			continue
		}
		r.services[s.Name] = newService(s.Priorities)
		delete(before, s.Name)
	}
	for key := range r.pools {
		if r.services[key.service] == nil || before[key.service] == nil {
			delete(r.pools, key)
		}
	}
}

// Rations reports whether the requests of a service are rationed.
func (r *Rationer) Rations(service string) bool { return r.services[service] != nil }

// lookup returns the state that a request belongs to, or nil if its service is not
// rationed.
func (r *Rationer) lookup(req Request) (*service, *pool) {
	s := r.services[req.Service]
	if s == nil {
		return nil, nil
	}
	key := poolKey{req.Service, req.Model}
	p := r.pools[key]
	if p == nil {
		p = &pool{startedAt: req.Now, refreshedAt: req.Now, level: math.Inf(1), parties: map[string]*party{}, asked: make([]decaying, len(s.priorities))}
		r.pools[key] = p
	}
	return s, p
}

// ask counts a request that a client sends. One that comes again is counted once, so that
// nobody gains a larger share, or more instances, by repeating what was refused.
func (r *Rationer) ask(req Request) {
	s, p := r.lookup(req)
	if s == nil {
		return
	}
	p.refresh(req)
	s.refresh(req.Now)
	if r.repeated(req) {
		return
	}
	o := p.party(req)
	o.asked.add(req.Now, req.Work)
	if req.Returned {
		return
	}
	p.asked[s.rank(req.Priority)].add(req.Now, req.Work)
	p.counts.Asked++
	o.requests.asked.add(req.Now, 1)
	s.all.asked.add(req.Now, 1)
	s.kind(req).asked.add(req.Now, 1)
}

// Decide returns how a request is treated now.
func (r *Rationer) Decide(req Request) Decision {
	s, p := r.lookup(req)
	if s == nil {
		return Decision{Fill: 1}
	}
	d := Decision{Fill: 1, Rank: s.rank(req.Priority), Ranks: len(s.priorities)}
	if !p.isShort(req) {
		return d
	}
	if p.aboveShare(req, d, s.mean(req.Now)) {
		d.Refused, d.Reason = true, AboveShare
		return d
	}
	if reserve := p.reserve(req.Now, d.Rank); reserve > 0 && !s.belowFloor(req) {
		d.Fill, d.Reason = 1-reserve, LessUrgent
	}
	if r.repeated(req) {
		d.Fill, d.Reason = d.Fill*repeatedFill, TooEarly
	}
	return d
}

// Fraction returns the fraction of requests like this one to admit where the given
// fraction of all requests for the model is to be admitted: the most urgent are the last
// to be turned away, and each rank keeps a floor.
func (r *Rationer) Fraction(req Request, fraction float64) float64 {
	s, p := r.lookup(req)
	if s == nil || fraction >= 1 || len(s.priorities) < 2 {
		return fraction
	}
	demands := make([]float64, len(p.asked))
	for i := range p.asked {
		demands[i] = p.asked[i].value(req.Now)
	}
	rank := s.rank(req.Priority)
	if demands[rank] <= 0 {
		return fraction
	}
	own := apportioner.Ordered(fraction, kindFloor, demands)[rank] / demands[rank]
	if s.belowFloor(req) {
		return max(own, fraction)
	}
	return own
}

// admit charges a request that is sent to its organisation.
func (r *Rationer) admit(req Request) {
	s, p := r.lookup(req)
	if s == nil {
		return
	}
	p.admitted.add(req.Now, req.Work)
	o := p.party(req)
	p.clock.CatchUp(&o.Account)
	o.Charge(req.Work)
	p.counts.Sent++
	p.served.add(req.Now, 1)
	for _, t := range []*tally{&o.requests, &s.all, &s.kind(req).tally} {
		t.served.add(req.Now, 1)
	}
	if slot := r.slot(req); slot.fingerprint == req.Fingerprint {
		*slot = refusal{}
	}
}

// refuse remembers a refused request. One that found no slot shows that the model is
// short; one that was refused by a decision of this package does not.
func (r *Rationer) refuse(req Request, short bool) {
	s, p := r.lookup(req)
	if s == nil {
		return
	}
	if short {
		p.shortUntil = req.Now + shortPeriod
	}
	if !r.repeated(req) {
		*r.slot(req) = refusal{req.Fingerprint, req.Now}
	}
}

func (r *Rationer) slot(req Request) *refusal { return &r.refused[req.Fingerprint%maxRefused] }

// repeated reports whether a request was refused so recently that its client did not
// wait for as long as it was told.
func (r *Rationer) repeated(req Request) bool {
	slot := r.slot(req)
	return req.Fingerprint != 0 && slot.fingerprint == req.Fingerprint && req.Now-slot.at < repeatPeriod
}
