package registrar

import (
	"slices"

	"papayaseam/internal/messenger"
)

// applyClaim gives the right to start a keyed request to one attempt. A later
// attempt takes it over only by naming the holder as its previous attempt,
// which a caller does only once that one is certain not to have run.
func (r *Registrar) applyClaim(claim messenger.ClaimRequest) messenger.ClaimAnswer {
	r.expireClaims()
	key := claim.Organisation + "\x00" + claim.Key
	held, ok := r.claims[key]
	if ok && held.Fingerprint != claim.Fingerprint {
		return messenger.ClaimAnswer{Conflict: true, Attempt: held.Attempt, Kind: "key-reused", Message: "the idempotency key was used with other content; use a new key"}
	}
	if ok && held.Attempt != claim.Attempt && held.Attempt != claim.Previous {
		return messenger.ClaimAnswer{Attempt: held.Attempt, Group: held.Group, Address: held.Address, Token: held.Token}
	}
	if !ok {
		r.claimOrder = append(r.claimOrder, key)
	}
	atMs := held.AtMs
	if !ok {
		atMs = r.clockMs
	}
	r.claims[key] = claimRecord{Key: key, Fingerprint: claim.Fingerprint, Attempt: claim.Attempt, Group: claim.Group, Address: claim.Address, Token: claim.Token, AtMs: atMs}
	return messenger.ClaimAnswer{Granted: true, Attempt: claim.Attempt, Group: claim.Group, Address: claim.Address}
}

func (r *Registrar) expireClaims() {
	n := 0
	for n < len(r.claimOrder) && r.claims[r.claimOrder[n]].AtMs+r.options.claimMs < r.clockMs {
		delete(r.claims, r.claimOrder[n])
		n++
	}
	r.claimOrder = r.claimOrder[n:]
}

// applyCrash counts a crashed replica for each fingerprint that ran there.
func (r *Registrar) applyCrash(index int, crash messenger.CrashRequest) messenger.CrashAnswer {
	answer := messenger.CrashAnswer{Index: index}
	for _, fingerprint := range crash.Fingerprints {
		object, _ := r.Object(KindHold, fingerprint)
		hold := messenger.HoldSpec{}
		if object.Hold != nil {
			hold.Replicas = slices.Clone(object.Hold.Replicas)
		}
		if !slices.Contains(hold.Replicas, crash.Replica) {
			hold.Replicas = append(hold.Replicas, crash.Replica)
			r.set(index, messenger.Object{Kind: KindHold, Name: fingerprint, Number: object.Number, Hold: &hold})
		}
		answer.Crashes = append(answer.Crashes, len(hold.Replicas))
	}
	r.boundHolds(index)
	return answer
}

// boundHolds lifts the oldest suspicions, never a hold, beyond the bound.
func (r *Registrar) boundHolds(index int) {
	holds := r.Objects(KindHold)
	slices.SortFunc(holds, compareObjects)
	for _, hold := range holds[:max(0, len(holds)-r.options.holdsKept)] {
		if len(hold.Hold.Replicas) < HoldAfterCrashes {
			r.remove(index, hold)
		}
	}
}

// applyClear lifts the suspicion from a fingerprint that was answered.
func (r *Registrar) applyClear(index int, clearing messenger.ClearRequest) {
	object, ok := r.Object(KindHold, clearing.Fingerprint)
	if ok && len(object.Hold.Replicas) < HoldAfterCrashes {
		r.remove(index, object)
	}
}

func (r *Registrar) remove(index int, object messenger.Object) {
	r.set(index, messenger.Object{Kind: object.Kind, Name: object.Name, Number: object.Number, Removed: true})
}

// applyAssignment changes a group if nobody else changed it meanwhile and none
// of its members is in another active group. A changed membership gets the log
// index as its epoch, so that epochs grow over all groups and serve endpoints
// as fencing numbers.
func (r *Registrar) applyAssignment(index int, assignment messenger.Assignment) bool {
	object, ok := r.Object(KindGroup, assignment.Name)
	current := messenger.GroupSpec{}
	if ok {
		current = *object.Group
	}
	if current.Revision != assignment.ExpectedRevision || !r.membersFree(assignment) {
		return false
	}
	r.release(assignment.Name, current)
	group := assignment.Group
	group.Revision = current.Revision + 1
	group.Epoch = current.Epoch
	if !sameMembership(current, group) {
		group.Epoch = index
	}
	r.set(index, messenger.Object{Kind: KindGroup, Name: assignment.Name, Group: &group})
	r.occupy(assignment.Name, group)
	return true
}

// sameMembership reports whether two states of a group may share an epoch.
func sameMembership(a, b messenger.GroupSpec) bool {
	return a.Active == b.Active && a.Model == b.Model && a.Service == b.Service && a.Version == b.Version &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members)
}

func (r *Registrar) membersFree(assignment messenger.Assignment) bool {
	if !assignment.Group.Active {
		return true
	}
	seen := map[string]bool{}
	for _, member := range slices.Concat(assignment.Group.Members, assignment.Group.Standbys) {
		holder, held := r.memberOf[member.Instance]
		if seen[member.Instance] || (held && holder != assignment.Name) {
			return false
		}
		seen[member.Instance] = true
	}
	return len(assignment.Group.Members) > 0
}

func (r *Registrar) release(name string, group messenger.GroupSpec) {
	for _, member := range slices.Concat(group.Members, group.Standbys) {
		if r.memberOf[member.Instance] == name {
			delete(r.memberOf, member.Instance)
		}
	}
}

func (r *Registrar) occupy(name string, group messenger.GroupSpec) {
	if !group.Active {
		return
	}
	for _, member := range slices.Concat(group.Members, group.Standbys) {
		r.memberOf[member.Instance] = name
	}
}
