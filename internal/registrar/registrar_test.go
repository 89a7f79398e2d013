package registrar

import (
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// state applies commands at growing indexes.
type state struct {
	*Registrar
	next int
}

func newState(opts ...Option) *state { return &state{Registrar: New(opts...)} }

func (s *state) ticket(ticket messenger.Ticket) messenger.TicketAnswer {
	s.next++
	effects := s.Update(CommandMsg{Index: s.next, Command: messenger.Command{Kind: CommandTicket, Ticket: &ticket}})
	for _, effect := range effects {
		if answer, ok := effect.(TicketEffect); ok {
			return answer.Answer
		}
	}
	return messenger.TicketAnswer{}
}

func (s *state) assign(assignment messenger.Assignment) bool {
	s.next++
	effects := s.Update(CommandMsg{Index: s.next, Command: messenger.Command{Kind: CommandAssign, Assignment: &assignment}})
	for _, effect := range effects {
		if answer, ok := effect.(AssignEffect); ok {
			return answer.Accepted
		}
	}
	return false
}

func (s *state) claim(claim messenger.ClaimRequest, atMs int) messenger.ClaimAnswer {
	s.next++
	effects := s.Update(CommandMsg{Index: s.next, Command: messenger.Command{Kind: CommandClaim, Claim: &claim, AtMs: atMs}})
	return effects[0].(ClaimEffect).Answer
}

func models(number int, author string, groups int, names ...string) messenger.Ticket {
	ticket := messenger.Ticket{Number: number, Author: author}
	for _, name := range names {
		ticket.Objects = append(ticket.Objects, messenger.Object{
			Kind: KindModel, Name: name, Model: &messenger.ModelSpec{Version: "v1", Members: 1, Groups: groups},
		})
	}
	return ticket
}

func TestResentTicketGetsItsFirstAnswer(t *testing.T) {
	s := newState()
	first := s.ticket(models(3, "hana", 1, "a"))
	s.ticket(models(4, "ren", 2, "a"))
	again := s.ticket(models(3, "hana", 1, "a"))
	assert.DeepEqual(t, again, first)
	object, _ := s.Object(KindModel, "a")
	assert.Equal(t, object.Number, 4, "a resent ticket reverted a newer one")
}

func TestEqualNumbersHaveOneWinnerWhoIsNamed(t *testing.T) {
	s := newState()
	s.ticket(models(3, "hana", 1, "a"))
	lost := s.ticket(models(3, "ren", 2, "a"))
	assert.Assert(t, !lost.Accepted)
	assert.Equal(t, lost.Kind, RefusedNumberTaken)
	assert.Equal(t, lost.Winner, "hana")
}

func TestLowerNumberNeverReplacesAHigherOne(t *testing.T) {
	s := newState()
	s.ticket(models(5, "hana", 1, "a", "b"))
	lost := s.ticket(models(4, "ren", 2, "b", "c"))
	assert.Equal(t, lost.Kind, RefusedNumberTooLow)
	_, exists := s.Object(KindModel, "c")
	assert.Assert(t, !exists, "a refused ticket was applied in part")
	assert.Assert(t, s.ticket(models(4, "ren", 2, "c")).Accepted, "other objects have their own numbers")
}

func TestRemovedObjectKeepsItsNumber(t *testing.T) {
	s := newState()
	s.ticket(models(5, "hana", 1, "a"))
	s.ticket(messenger.Ticket{Number: 7, Objects: []messenger.Object{{Kind: KindModel, Name: "a", Removed: true}}})
	assert.Equal(t, s.ticket(models(6, "ren", 1, "a")).Kind, RefusedNumberTooLow)
}

func TestForgottenRemovalsStillRefuseOldNumbers(t *testing.T) {
	s := newState()
	s.options.removalsKept = 1
	for number := 1; number <= 4; number++ {
		name := fmt.Sprintf("m%d", number)
		s.ticket(models(2*number, "hana", 1, name))
		s.ticket(messenger.Ticket{Number: 2*number + 1, Objects: []messenger.Object{{Kind: KindModel, Name: name, Removed: true}}})
	}
	assert.Equal(t, s.ticket(models(1, "ren", 1, "m1")).Kind, RefusedNumberTooLow)
	assert.Assert(t, s.ChangesSince(1).Snapshot, "a watcher from before the forgotten removals needs a snapshot")
}

func TestForgottenTicketsStillRefuseOldNumbers(t *testing.T) {
	s := newState(WithMaxTickets(2))
	for number := 1; number <= 5; number++ {
		s.ticket(models(number, "hana", number, "a"))
	}
	assert.Equal(t, s.ticket(models(2, "ren", 9, "z")).Kind, RefusedNumberTooLow)
}

func TestInstanceIsInOneGroupOnly(t *testing.T) {
	s := newState()
	group := func(members ...string) messenger.GroupSpec {
		spec := messenger.GroupSpec{Model: "m", Active: true}
		for _, name := range members {
			spec.Members = append(spec.Members, messenger.Member{Instance: name})
		}
		return spec
	}
	assert.Assert(t, s.assign(messenger.Assignment{Name: "a", Group: group("i1", "i2")}))
	assert.Assert(t, !s.assign(messenger.Assignment{Name: "b", Group: group("i2", "i3")}), "i2 is taken")
	assert.Assert(t, !s.assign(messenger.Assignment{Name: "a", Group: group("i3")}), "the revision is old")
	assert.Assert(t, s.assign(messenger.Assignment{Name: "a", ExpectedRevision: 1, Group: group("i1", "i3")}))
	assert.Assert(t, s.assign(messenger.Assignment{Name: "b", Group: group("i2")}), "i2 was released")
	a, _ := s.Object(KindGroup, "a")
	b, _ := s.Object(KindGroup, "b")
	assert.Assert(t, b.Group.Epoch > a.Group.Epoch, "epochs grow over all groups")
}

func TestClaimExpiresByLogTimeOnly(t *testing.T) {
	s := newState(WithClaimRetention(1000))
	claim := messenger.ClaimRequest{Organisation: "o", Key: "k", Attempt: "a1"}
	assert.Assert(t, s.claim(claim, 10).Granted)
	claim.Attempt = "a2"
	assert.Assert(t, !s.claim(claim, 1010).Granted)
	assert.Assert(t, s.claim(claim, 1011).Granted)
}

// TestSnapshotsAndChangesAgree checks on random histories that a restored
// state equals the original, and that a watcher who takes changes or snapshots
// from any index ends with the same objects.
func TestSnapshotsAndChangesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(WithMaxTombstones(2), WithMaxTickets(4))
		known, watched := 0, map[string]messenger.Object{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.random(t)
			if rapid.Bool().Draw(t, "watch") {
				known = follow(watched, s.ChangesSince(known))
			}
		}
		follow(watched, s.ChangesSince(known))
		data, err := s.Snapshot()
		assert.NilError(t, err)
		restored := New(WithMaxTombstones(2), WithMaxTickets(4))
		assert.NilError(t, restored.Restore(data))
		again, err := restored.Snapshot()
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(data))
		current := map[string]messenger.Object{}
		follow(current, s.ChangesSince(0))
		assert.DeepEqual(t, watched, current)
	})
}

func (s *state) random(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	number := rapid.IntRange(1, 40).Draw(t, "number")
	if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
		s.ticket(messenger.Ticket{Number: number, Objects: []messenger.Object{{Kind: KindModel, Name: name, Removed: true}}})
		return
	}
	s.ticket(models(number, "hana", rapid.IntRange(0, 3).Draw(t, "groups"), name))
}

// follow applies a response the way a watcher does.
func follow(objects map[string]messenger.Object, response messenger.SyncResponse) int {
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
