// Package registrar is the state machine above the replicated log of the
// control processes: tickets, versioned objects, group epochs, claims of keyed
// requests and held fingerprints.
//
// # Usage
//
// Every control process applies the same commands in the order of the log and
// reaches the same state:
//
//	r := registrar.New()
//	effects := r.Update(registrar.CommandMsg{Index: 7, Command: command})
//	response := r.Since(5) // what a watcher at index 5 lacks
//
// Update is pure: times come with the commands.
package registrar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

// Kinds of objects.
const (
	KindModel        = "model"
	KindService      = "service"
	KindOrganisation = "organisation"
	KindObjective    = "objective"
	KindGroup        = "group"
	KindHold         = "hold"
)

// Kinds of commands.
const (
	CommandTicket = "ticket"
	CommandClaim  = "claim"
	CommandCrash  = "crash"
	CommandClear  = "clear"
	CommandAssign = "assign"
	CommandRead   = "read"
)

// HoldAfterCrashes is the number of crashed replicas after which a
// fingerprint is held.
const HoldAfterCrashes = 2

type ticketRecord struct {
	Number int    `json:"number"`
	Digest string `json:"digest"`
	Index  int    `json:"index"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

type claimRecord struct {
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	Attempt     string `json:"attempt"`
	Group       string `json:"group"`
	Address     string `json:"address"`
	Token       string `json:"token"`
	AtMs        int    `json:"at-ms"`
}

// Registrar holds the applied state. It is not safe for concurrent use.
type Registrar struct {
	options     options
	index       int
	clockMs     int
	objects     map[string]messenger.Object
	removals    []string
	watchFloor  int
	numberFloor int
	tickets     map[int]ticketRecord
	ticketOrder []int
	ticketFloor int
	claims      map[string]claimRecord
	claimOrder  []string
	memberOf    map[string]string
	effects     []Effect
}

// New returns an empty state.
func New(opts ...Option) *Registrar {
	r := &Registrar{options: defaults()}
	for _, opt := range opts {
		opt(&r.options)
	}
	r.reset()
	return r
}

func (r *Registrar) reset() {
	r.objects = map[string]messenger.Object{}
	r.tickets = map[int]ticketRecord{}
	r.claims = map[string]claimRecord{}
	r.memberOf = map[string]string{}
}

// ModifiedIndex returns the log index of the last change of an object.
func (r *Registrar) ModifiedIndex() int { return r.index }

// LogTimeMs returns the log's own time in milliseconds; it never goes back.
func (r *Registrar) LogTimeMs() int { return r.clockMs }

// ClaimCount returns the number of claims held.
func (r *Registrar) ClaimCount() int { return len(r.claims) }

// Object returns an object by kind and name, false where none stands.
func (r *Registrar) Object(kind, name string) (messenger.Object, bool) {
	object, ok := r.objects[kind+"/"+name]
	return object, ok && !object.Removed
}

// Objects returns all standing objects of a kind, sorted by name.
func (r *Registrar) Objects(kind string) []messenger.Object {
	var list []messenger.Object
	for _, object := range r.objects {
		if object.Kind == kind && !object.Removed {
			list = append(list, object)
		}
	}
	slices.SortFunc(list, func(a, b messenger.Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Ticket returns an accepted ticket's state by its number.
func (r *Registrar) Ticket(number int) (messenger.TicketState, bool) {
	record, ok := r.tickets[number]
	return messenger.TicketState{Number: record.Number, Index: record.Index, Author: record.Author, Reason: record.Reason}, ok
}

// NewestTickets returns the newest accepted tickets, at most n, newest first.
func (r *Registrar) NewestTickets(n int) []messenger.TicketState {
	var list []messenger.TicketState
	for i := len(r.ticketOrder) - 1; i >= 0 && len(list) < n; i-- {
		state, _ := r.Ticket(r.ticketOrder[i])
		list = append(list, state)
	}
	return list
}

// ChangesSince returns what a watcher that knows everything up to an index lacks: the
// changed objects, or a snapshot when removals may have been forgotten since.
func (r *Registrar) ChangesSince(known int) messenger.SyncResponse {
	response := messenger.SyncResponse{Index: r.index}
	if known >= r.index && known > 0 {
		return response
	}
	response.Snapshot = known < r.watchFloor || known == 0
	for _, object := range r.objects {
		if object.Modified > known && !(response.Snapshot && object.Removed) {
			response.Objects = append(response.Objects, object)
		}
		if response.Snapshot && object.Modified <= known && !object.Removed {
			response.Objects = append(response.Objects, object)
		}
	}
	slices.SortFunc(response.Objects, compareObjects)
	return response
}

func compareObjects(a, b messenger.Object) int {
	if a.Modified != b.Modified {
		return a.Modified - b.Modified
	}
	return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
}

// Update applies one committed command and returns its answer as effects.
func (r *Registrar) Update(msg CommandMsg) []Effect {
	r.effects = nil
	command := msg.Command
	r.clockMs = max(r.clockMs, command.AtMs)
	switch {
	case command.Kind == CommandTicket && command.Ticket != nil:
		r.effects = append(r.effects, TicketEffect{r.applyTicket(msg.Index, *command.Ticket)})
	case command.Kind == CommandClaim && command.Claim != nil:
		r.effects = append(r.effects, ClaimEffect{r.applyClaim(*command.Claim)})
	case command.Kind == CommandCrash && command.Crash != nil:
		r.effects = append(r.effects, CrashEffect{r.applyCrash(msg.Index, *command.Crash)})
	case command.Kind == CommandClear && command.Clear != nil:
		r.applyClear(msg.Index, *command.Clear)
	case command.Kind == CommandAssign && command.Assignment != nil:
		r.effects = append(r.effects, AssignEffect{r.applyAssignment(msg.Index, *command.Assignment)})
	}
	return r.effects
}

// set stores an object's new state at an index.
func (r *Registrar) set(index int, object messenger.Object) {
	object.Modified = index
	r.objects[object.Kind+"/"+object.Name] = object
	if object.Removed {
		r.removals = append(r.removals, object.Kind+"/"+object.Name)
	}
	r.index = index
	r.effects = append(r.effects, ChangedEffect{Index: index})
	r.forgetRemovals()
}

// forgetRemovals drops the oldest removals beyond the bound; older watchers
// then take a snapshot, and numbers at or below theirs are refused.
func (r *Registrar) forgetRemovals() {
	for len(r.removals) > r.options.removalsKept {
		key := r.removals[0]
		r.removals = r.removals[1:]
		object, ok := r.objects[key]
		if !ok || !object.Removed || slices.Contains(r.removals, key) {
			continue
		}
		delete(r.objects, key)
		r.watchFloor = max(r.watchFloor, object.Modified)
		r.numberFloor = max(r.numberFloor, object.Number)
	}
}

// Digest returns the digest of a ticket's content: its objects in order of
// kind and name, without the fields that the system sets.
func Digest(ticket messenger.Ticket) string {
	objects := slices.Clone(ticket.Objects)
	for i := range objects {
		objects[i].Modified = 0
		objects[i].Number = 0
	}
	slices.SortFunc(objects, compareObjects)
	data, err := json.Marshal(objects)
	if err != nil {
		panic(errors.Wrap(err, "objects always have a JSON form"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}
