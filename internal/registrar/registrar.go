// Package registrar implements the state machine that the control processes
// replicate: tickets, versioned objects, group epochs, claims of requests with an
// idempotency key, and request fingerprints that are held back after crashes.
//
// # Usage
//
// Every control process applies the same commands in log order and so reaches the
// same state:
//
//	r := registrar.New()
//	effects := r.Update(registrar.CommandMsg{Index: 7, Command: command})
//	response := r.ChangesSince(5) // the changes after log index 5, for a watcher
//
// Update is deterministic: it reads no clock, and times are part of the commands.
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
	CommandAcquit = "acquit"
	CommandClear  = "clear"
	CommandAssign = "assign"
	CommandRead   = "read"
)

// HoldAfterCrashes is the number of crashed replicas at which a fingerprint is held
// back.
const HoldAfterCrashes = 2

// ticketRecord is an accepted ticket without its objects; Digest identifies them.
type ticketRecord struct {
	Number int    `json:"number"`
	Digest string `json:"digest"`
	Index  int    `json:"index"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// claimRecord is the claim of one attempt on a request with an idempotency key.
// CreatedAtMs is log time.
type claimRecord struct {
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	Attempt     string `json:"attempt"`
	Group       string `json:"group"`
	Address     string `json:"address"`
	Token       string `json:"token"`
	CreatedAtMs int    `json:"at-ms"`
}

// Registrar is the replicated state. It is not safe for concurrent use.
type Registrar struct {
	options         options
	modifiedIndex   int
	logTimeMs       int
	objects         map[string]messenger.Object
	tombstones      []string // tombstones holds the keys of removed objects in the order of removal.
	maxPrunedIndex  int      // maxPrunedIndex is the highest modified index of the pruned tombstones.
	maxPrunedNumber int      // maxPrunedNumber is the highest ticket number of the pruned tombstones.
	tickets         map[int]ticketRecord
	ticketOrder     []int // ticketOrder holds the ticket numbers, oldest ticket first.
	maxPrunedTicket int   // maxPrunedTicket is the highest number of the pruned tickets.
	claims          map[string]claimRecord
	claimOrder      []string // claimOrder holds the keys of the claims, oldest first.
	groupByInstance map[string]string
	effects         []Effect
}

// New returns a Registrar with empty state.
func New(opts ...Option) *Registrar {
	r := &Registrar{options: defaultOptions()}
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
	r.groupByInstance = map[string]string{}
}

// ModifiedIndex returns the log index of the last change of an object.
func (r *Registrar) ModifiedIndex() int { return r.modifiedIndex }

// LogTimeMs returns the latest time in the applied commands, in milliseconds. It
// never decreases.
func (r *Registrar) LogTimeMs() int { return r.logTimeMs }

// ClaimCount returns the number of unexpired claims.
func (r *Registrar) ClaimCount() int { return len(r.claims) }

// Object returns an object by kind and name, and false if it doesn't exist or is
// removed.
func (r *Registrar) Object(kind, name string) (messenger.Object, bool) {
	object, ok := r.objects[kind+"/"+name]
	return object, ok && !object.Removed
}

// Objects returns all objects of a kind that are not removed, sorted by name.
func (r *Registrar) Objects(kind string) []messenger.Object {
	var objects []messenger.Object
	for _, object := range r.objects {
		if object.Kind == kind && !object.Removed {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b messenger.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

// Ticket returns an accepted ticket by its number, and false if it is unknown or
// pruned.
func (r *Registrar) Ticket(number int) (messenger.TicketState, bool) {
	record, ok := r.tickets[number]
	return messenger.TicketState{Number: record.Number, Index: record.Index, Author: record.Author, Reason: record.Reason}, ok
}

// NewestTickets returns the newest accepted tickets, at most n, newest first.
func (r *Registrar) NewestTickets(n int) []messenger.TicketState {
	var tickets []messenger.TicketState
	for i := len(r.ticketOrder) - 1; i >= 0 && len(tickets) < n; i-- {
		state, _ := r.Ticket(r.ticketOrder[i])
		tickets = append(tickets, state)
	}
	return tickets
}

// ChangesSince returns the objects that changed after knownIndex. It returns a
// snapshot of all objects if knownIndex is 0 or if removals after it have been pruned.
func (r *Registrar) ChangesSince(knownIndex int) messenger.SyncResponse {
	response := messenger.SyncResponse{Index: r.modifiedIndex}
	if knownIndex >= r.modifiedIndex && knownIndex > 0 {
		return response
	}
	response.Snapshot = knownIndex < r.maxPrunedIndex || knownIndex == 0
	for _, object := range r.objects {
		if object.Modified > knownIndex && !(response.Snapshot && object.Removed) {
			response.Objects = append(response.Objects, object)
		}
		if response.Snapshot && object.Modified <= knownIndex && !object.Removed {
			response.Objects = append(response.Objects, object)
		}
	}
	slices.SortFunc(response.Objects, compareObjects)
	return response
}

// compareObjects orders objects by modified index, then by kind and name.
func compareObjects(a, b messenger.Object) int {
	if a.Modified != b.Modified {
		return a.Modified - b.Modified
	}
	return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
}

// Update applies one committed command and returns the response and the notices to
// watchers as effects. An unknown or incomplete command has no effect but to advance
// the log time.
func (r *Registrar) Update(msg CommandMsg) []Effect {
	r.effects = nil
	command := msg.Command
	r.logTimeMs = max(r.logTimeMs, command.AtMs)
	switch {
	case command.Kind == CommandTicket && command.Ticket != nil:
		r.effects = append(r.effects, TicketEffect{r.applyTicket(msg.Index, *command.Ticket)})
	case command.Kind == CommandClaim && command.Claim != nil:
		r.effects = append(r.effects, ClaimEffect{r.applyClaim(*command.Claim)})
	case command.Kind == CommandCrash && command.Crash != nil:
		r.effects = append(r.effects, CrashEffect{r.applyCrash(msg.Index, *command.Crash)})
	case command.Kind == CommandAcquit && command.Crash != nil:
		r.effects = append(r.effects, CrashEffect{r.applyAcquittal(msg.Index, *command.Crash)})
	case command.Kind == CommandClear && command.Clear != nil:
		r.applyClear(msg.Index, *command.Clear)
	case command.Kind == CommandAssign && command.Assignment != nil:
		r.effects = append(r.effects, AssignEffect{r.applyAssignment(msg.Index, *command.Assignment)})
	}
	return r.effects
}

// putObject stores the new state of an object, modified at a log index.
func (r *Registrar) putObject(index int, object messenger.Object) {
	object.Modified = index
	r.objects[object.Kind+"/"+object.Name] = object
	if object.Removed {
		r.tombstones = append(r.tombstones, object.Kind+"/"+object.Name)
	}
	r.modifiedIndex = index
	r.effects = append(r.effects, ChangedEffect{Index: index})
	r.pruneTombstones()
}

// pruneTombstones drops the oldest tombstones beyond the maximum. Watchers at an older
// index then get a snapshot, and lower ticket numbers are rejected for objects that
// are unknown.
func (r *Registrar) pruneTombstones() {
	for len(r.tombstones) > r.options.maxTombstones {
		key := r.tombstones[0]
		r.tombstones = r.tombstones[1:]
		object, ok := r.objects[key]
		if !ok || !object.Removed || slices.Contains(r.tombstones, key) {
			continue
		}
		delete(r.objects, key)
		r.maxPrunedIndex = max(r.maxPrunedIndex, object.Modified)
		r.maxPrunedNumber = max(r.maxPrunedNumber, object.Number)
	}
}

// Digest returns the digest of a ticket's objects, ordered by kind and name, without
// the fields that the registrar sets.
func Digest(ticket messenger.Ticket) string {
	objects := slices.Clone(ticket.Objects)
	for i := range objects {
		objects[i].Modified = 0
		objects[i].Number = 0
	}
	slices.SortFunc(objects, compareObjects)
	data, err := json.Marshal(objects)
	if err != nil {
		panic(errors.Wrap(err, "marshal ticket objects, which always have a JSON form"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}
