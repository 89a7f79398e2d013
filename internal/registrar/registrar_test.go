package registrar

import (
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testRegistrar applies commands at increasing log indexes.
type testRegistrar struct {
	*Registrar
	lastIndex int
}

func newTestRegistrar(opts ...Option) *testRegistrar { return &testRegistrar{Registrar: New(opts...)} }

func (r *testRegistrar) ticket(ticket messenger.Ticket) messenger.TicketAnswer {
	r.lastIndex++
	effects := r.Update(CommandMsg{Index: r.lastIndex, Command: messenger.Command{Kind: CommandTicket, Ticket: &ticket}})
	for _, effect := range effects {
		if response, ok := effect.(TicketEffect); ok {
			return response.Answer
		}
	}
	return messenger.TicketAnswer{}
}

func (r *testRegistrar) assign(assignment messenger.Assignment) bool {
	r.lastIndex++
	effects := r.Update(CommandMsg{Index: r.lastIndex, Command: messenger.Command{Kind: CommandAssign, Assignment: &assignment}})
	for _, effect := range effects {
		if response, ok := effect.(AssignEffect); ok {
			return response.Accepted
		}
	}
	return false
}

func (r *testRegistrar) claim(claim messenger.ClaimRequest, atMs int) messenger.ClaimAnswer {
	r.lastIndex++
	effects := r.Update(CommandMsg{Index: r.lastIndex, Command: messenger.Command{Kind: CommandClaim, Claim: &claim, AtMs: atMs}})
	return effects[0].(ClaimEffect).Answer
}

// modelTicket returns a ticket that sets models of one member each.
func modelTicket(number int, author string, groups int, names ...string) messenger.Ticket {
	ticket := messenger.Ticket{Number: number, Author: author}
	for _, name := range names {
		ticket.Objects = append(ticket.Objects, messenger.Object{
			Kind: KindModel, Name: name, Model: &messenger.ModelSpec{Version: "v1", Members: 1, Groups: groups},
		})
	}
	return ticket
}

// TestResentTicketGetsOriginalAnswer resends an accepted ticket after a newer one has
// changed the same object: it must not be applied again.
func TestResentTicketGetsOriginalAnswer(t *testing.T) {
	r := newTestRegistrar()
	first := r.ticket(modelTicket(3, "hana", 1, "a"))
	r.ticket(modelTicket(4, "ren", 2, "a"))
	resent := r.ticket(modelTicket(3, "hana", 1, "a"))
	assert.DeepEqual(t, resent, first)
	object, _ := r.Object(KindModel, "a")
	assert.Equal(t, object.Number, 4, "a resent ticket reverted a newer one")
}

func TestRejectedDuplicateNumberNamesTheWinner(t *testing.T) {
	r := newTestRegistrar()
	r.ticket(modelTicket(3, "hana", 1, "a"))
	rejected := r.ticket(modelTicket(3, "ren", 2, "a"))
	assert.Assert(t, !rejected.Accepted)
	assert.Equal(t, rejected.Kind, RefusedNumberTaken)
	assert.Equal(t, rejected.Winner, "hana")
}

func TestLowerNumberNeverReplacesAHigherOne(t *testing.T) {
	r := newTestRegistrar()
	r.ticket(modelTicket(5, "hana", 1, "a", "b"))
	rejected := r.ticket(modelTicket(4, "ren", 2, "b", "c"))
	assert.Equal(t, rejected.Kind, RefusedNumberTooLow)
	_, exists := r.Object(KindModel, "c")
	assert.Assert(t, !exists, "a rejected ticket was partly applied")
	assert.Assert(t, r.ticket(modelTicket(4, "ren", 2, "c")).Accepted, "objects are compared with their own numbers only")
}

// TestRemovedObjectKeepsItsNumber guards against a delayed ticket that recreates an
// object removed by a newer one.
func TestRemovedObjectKeepsItsNumber(t *testing.T) {
	r := newTestRegistrar()
	r.ticket(modelTicket(5, "hana", 1, "a"))
	r.ticket(messenger.Ticket{Number: 7, Objects: []messenger.Object{{Kind: KindModel, Name: "a", Removed: true}}})
	assert.Equal(t, r.ticket(modelTicket(6, "ren", 1, "a")).Kind, RefusedNumberTooLow)
}

// TestPrunedTombstonesStillRejectOldNumbers guards against an old ticket that recreates
// a removed object, and against watchers that miss a removal, once the tombstone is
// pruned.
func TestPrunedTombstonesStillRejectOldNumbers(t *testing.T) {
	r := newTestRegistrar()
	r.options.maxTombstones = 1
	for number := 1; number <= 4; number++ {
		name := fmt.Sprintf("m%d", number)
		r.ticket(modelTicket(2*number, "hana", 1, name))
		r.ticket(messenger.Ticket{Number: 2*number + 1, Objects: []messenger.Object{{Kind: KindModel, Name: name, Removed: true}}})
	}
	assert.Equal(t, r.ticket(modelTicket(1, "ren", 1, "m1")).Kind, RefusedNumberTooLow)
	assert.Assert(t, r.ChangesSince(1).Snapshot, "a watcher at an index before the pruned tombstones needs a snapshot")
}

func TestPrunedTicketsStillRejectOldNumbers(t *testing.T) {
	r := newTestRegistrar(WithMaxTickets(2))
	for number := 1; number <= 5; number++ {
		r.ticket(modelTicket(number, "hana", number, "a"))
	}
	assert.Equal(t, r.ticket(modelTicket(2, "ren", 9, "z")).Kind, RefusedNumberTooLow)
}

func TestInstanceIsInOneGroupOnly(t *testing.T) {
	r := newTestRegistrar()
	group := func(members ...string) messenger.GroupSpec {
		spec := messenger.GroupSpec{Model: "m", Active: true}
		for _, name := range members {
			spec.Members = append(spec.Members, messenger.Member{Instance: name})
		}
		return spec
	}
	assert.Assert(t, r.assign(messenger.Assignment{Name: "a", Group: group("i1", "i2")}))
	assert.Assert(t, !r.assign(messenger.Assignment{Name: "b", Group: group("i2", "i3")}), "i2 is in group a")
	assert.Assert(t, !r.assign(messenger.Assignment{Name: "a", Group: group("i3")}), "the expected revision is stale")
	assert.Assert(t, r.assign(messenger.Assignment{Name: "a", ExpectedRevision: 1, Group: group("i1", "i3")}))
	assert.Assert(t, r.assign(messenger.Assignment{Name: "b", Group: group("i2")}), "i2 was released by group a")
	a, _ := r.Object(KindGroup, "a")
	b, _ := r.Object(KindGroup, "b")
	assert.Assert(t, b.Group.Epoch > a.Group.Epoch, "epochs must increase across groups")
}

func TestClaimExpiresByLogTime(t *testing.T) {
	r := newTestRegistrar(WithClaimRetention(1000))
	claim := messenger.ClaimRequest{Organisation: "o", Key: "k", Attempt: "a1"}
	assert.Assert(t, r.claim(claim, 10).Granted)
	claim.Attempt = "a2"
	assert.Assert(t, !r.claim(claim, 1010).Granted)
	assert.Assert(t, r.claim(claim, 1011).Granted)
}

// TestSnapshotsAndChangesAgree checks with random histories that a restored state
// equals the original, and that a watcher that receives changes or snapshots from any
// index ends up with the same objects.
func TestSnapshotsAndChangesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRegistrar(WithMaxTombstones(2), WithMaxTickets(4))
		knownIndex, watched := 0, map[string]messenger.Object{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.applyRandomTicket(t)
			if rapid.Bool().Draw(t, "watch") {
				knownIndex = applyResponse(watched, r.ChangesSince(knownIndex))
			}
		}
		applyResponse(watched, r.ChangesSince(knownIndex))
		data, err := r.Snapshot()
		assert.NilError(t, err)
		restored := New(WithMaxTombstones(2), WithMaxTickets(4))
		assert.NilError(t, restored.Restore(data))
		restoredData, err := restored.Snapshot()
		assert.NilError(t, err)
		assert.Equal(t, string(restoredData), string(data))
		current := map[string]messenger.Object{}
		applyResponse(current, r.ChangesSince(0))
		assert.DeepEqual(t, watched, current)
	})
}

// applyRandomTicket sets or removes one of four models under a random number.
func (r *testRegistrar) applyRandomTicket(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	number := rapid.IntRange(1, 40).Draw(t, "number")
	if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
		r.ticket(messenger.Ticket{Number: number, Objects: []messenger.Object{{Kind: KindModel, Name: name, Removed: true}}})
		return
	}
	r.ticket(modelTicket(number, "hana", rapid.IntRange(0, 3).Draw(t, "groups"), name))
}

// applyResponse applies a response to a watcher's objects and returns its index.
func applyResponse(objects map[string]messenger.Object, response messenger.SyncResponse) int {
	if response.Snapshot {
		clear(objects)
	}
	for _, object := range response.Objects {
		if object.Removed {
			delete(objects, object.Kind+"/"+object.Name)
			continue
		}
		objects[object.Kind+"/"+object.Name] = object
	}
	return response.Index
}

// crash applies a command about the crash of a replica and returns the number of crashes
// of its fingerprint.
func (r *testRegistrar) crash(kind, replica, fingerprint string) int {
	r.lastIndex++
	request := messenger.CrashRequest{Replica: replica, Fingerprints: []string{fingerprint}}
	for _, effect := range r.Update(CommandMsg{Index: r.lastIndex, Command: messenger.Command{Kind: kind, Crash: &request}}) {
		if response, ok := effect.(CrashEffect); ok {
			return response.Answer.Crashes[0]
		}
	}
	return -1
}

// TestAcquittalLiftsHold guards against a hold that stays until a ticket although the
// replicas it was based on have not crashed.
func TestAcquittalLiftsHold(t *testing.T) {
	r := newTestRegistrar()
	assert.Equal(t, r.crash(CommandCrash, "a#1", "f"), 1)
	assert.Equal(t, r.crash(CommandCrash, "b#1", "f"), HoldAfterCrashes)
	assert.Equal(t, r.crash(CommandAcquit, "c#1", "f"), HoldAfterCrashes, "another replica was acquitted")
	assert.Equal(t, r.crash(CommandAcquit, "a#1", "f"), 1)
	assert.Equal(t, r.crash(CommandAcquit, "a#1", "f"), 1, "the same acquittal was applied again")
	assert.Equal(t, r.crash(CommandAcquit, "b#1", "f"), 0)
	_, held := r.Object(KindHold, "f")
	assert.Assert(t, !held)
	assert.Equal(t, r.crash(CommandAcquit, "b#1", "f"), 0)
}
