package registrar

import (
	"slices"

	"papayaseam/internal/messenger"
)

// applyClaim grants one attempt the right to start a request with an idempotency key.
// A later attempt takes the claim over only if it names the current owner as its
// previous attempt; callers do so only when that attempt has certainly not run.
func (r *Registrar) applyClaim(claim messenger.ClaimRequest) messenger.ClaimAnswer {
	r.expireClaims()
	key := claim.Organisation + "\x00" + claim.Key
	existing, ok := r.claims[key]
	if ok && existing.Fingerprint != claim.Fingerprint {
		return messenger.ClaimAnswer{Conflict: true, Attempt: existing.Attempt, Kind: "key-reused", Message: "the idempotency key was used with other content; use a new key"}
	}
	if ok && existing.Attempt != claim.Attempt && existing.Attempt != claim.Previous {
		return messenger.ClaimAnswer{Attempt: existing.Attempt, Group: existing.Group, Address: existing.Address, Token: existing.Token}
	}
	if !ok {
		r.claimOrder = append(r.claimOrder, key)
	}
	createdAtMs := existing.CreatedAtMs
	if !ok {
		createdAtMs = r.logTimeMs
	}
	r.claims[key] = claimRecord{Key: key, Fingerprint: claim.Fingerprint, Attempt: claim.Attempt, Group: claim.Group, Address: claim.Address, Token: claim.Token, CreatedAtMs: createdAtMs}
	return messenger.ClaimAnswer{Granted: true, Attempt: claim.Attempt, Group: claim.Group, Address: claim.Address}
}

// expireClaims drops the claims older than the retention period in log time.
func (r *Registrar) expireClaims() {
	n := 0
	for n < len(r.claimOrder) && r.claims[r.claimOrder[n]].CreatedAtMs+r.options.claimRetentionMs < r.logTimeMs {
		delete(r.claims, r.claimOrder[n])
		n++
	}
	r.claimOrder = r.claimOrder[n:]
}

// applyCrash records the crashed replica for each fingerprint that was running on it
// and responds with the number of crashes of each.
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
			r.putObject(index, messenger.Object{Kind: KindHold, Name: fingerprint, Number: object.Number, Hold: &hold})
		}
		answer.Crashes = append(answer.Crashes, len(hold.Replicas))
	}
	r.pruneHolds(index)
	return answer
}

// applyAcquittal takes back the crash of a replica that has not ended, also where the
// fingerprint is held back, and responds with the number of crashes that are left of
// each.
func (r *Registrar) applyAcquittal(index int, crash messenger.CrashRequest) messenger.CrashAnswer {
	answer := messenger.CrashAnswer{Index: index}
	for _, fingerprint := range crash.Fingerprints {
		object, _ := r.Object(KindHold, fingerprint)
		hold := messenger.HoldSpec{}
		if object.Hold != nil {
			hold.Replicas = slices.DeleteFunc(slices.Clone(object.Hold.Replicas), func(replica string) bool { return replica == crash.Replica })
		}
		switch {
		case object.Hold == nil || len(hold.Replicas) == len(object.Hold.Replicas):
		case len(hold.Replicas) == 0:
			r.removeObject(index, object)
		default:
			r.putObject(index, messenger.Object{Kind: KindHold, Name: fingerprint, Number: object.Number, Hold: &hold})
		}
		answer.Crashes = append(answer.Crashes, len(hold.Replicas))
	}
	return answer
}

// pruneHolds drops the oldest crash records beyond the maximum, but none of a
// fingerprint that is held back.
func (r *Registrar) pruneHolds(index int) {
	holds := r.Objects(KindHold)
	slices.SortFunc(holds, compareObjects)
	for _, hold := range holds[:max(0, len(holds)-r.options.maxHolds)] {
		if len(hold.Hold.Replicas) < HoldAfterCrashes {
			r.removeObject(index, hold)
		}
	}
}

// applyClear drops the crash record of a fingerprint whose request was answered,
// unless the fingerprint is already held back.
func (r *Registrar) applyClear(index int, request messenger.ClearRequest) {
	object, ok := r.Object(KindHold, request.Fingerprint)
	if ok && len(object.Hold.Replicas) < HoldAfterCrashes {
		r.removeObject(index, object)
	}
}

// removeObject replaces an object by a tombstone with the same ticket number.
func (r *Registrar) removeObject(index int, object messenger.Object) {
	r.putObject(index, messenger.Object{Kind: object.Kind, Name: object.Name, Number: object.Number, Removed: true})
}

// applyAssignment changes a group if it still has the expected revision and none of
// its members is in another active group. A changed membership gets the log index as
// its epoch, so that epochs increase across all groups and endpoints can use them as
// fencing tokens. It reports whether the assignment was accepted.
func (r *Registrar) applyAssignment(index int, assignment messenger.Assignment) bool {
	object, ok := r.Object(KindGroup, assignment.Name)
	current := messenger.GroupSpec{}
	if ok {
		current = *object.Group
	}
	if current.Revision != assignment.ExpectedRevision || !r.membersAvailable(assignment) {
		return false
	}
	r.releaseMembers(assignment.Name, current)
	group := assignment.Group
	group.Revision = current.Revision + 1
	group.Epoch = current.Epoch
	if !sameMembership(current, group) {
		group.Epoch = index
	}
	r.putObject(index, messenger.Object{Kind: KindGroup, Name: assignment.Name, Group: &group})
	r.reserveMembers(assignment.Name, group)
	return true
}

// sameMembership reports whether two versions of a group can share an epoch.
func sameMembership(a, b messenger.GroupSpec) bool {
	return a.Active == b.Active && a.Model == b.Model && a.Service == b.Service && a.Version == b.Version &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members)
}

// membersAvailable reports whether every member and standby is listed once and in no
// other active group, and that there is at least one member. It is always true for an
// inactive group.
func (r *Registrar) membersAvailable(assignment messenger.Assignment) bool {
	if !assignment.Group.Active {
		return true
	}
	seen := map[string]bool{}
	for _, member := range slices.Concat(assignment.Group.Members, assignment.Group.Standbys) {
		group, assigned := r.groupByInstance[member.Instance]
		if seen[member.Instance] || (assigned && group != assignment.Name) {
			return false
		}
		seen[member.Instance] = true
	}
	return len(assignment.Group.Members) > 0
}

// releaseMembers frees the instances that belong to a group.
func (r *Registrar) releaseMembers(name string, group messenger.GroupSpec) {
	for _, member := range slices.Concat(group.Members, group.Standbys) {
		if r.groupByInstance[member.Instance] == name {
			delete(r.groupByInstance, member.Instance)
		}
	}
}

// reserveMembers records the instances of an active group as belonging to it.
func (r *Registrar) reserveMembers(name string, group messenger.GroupSpec) {
	if !group.Active {
		return
	}
	for _, member := range slices.Concat(group.Members, group.Standbys) {
		r.groupByInstance[member.Instance] = name
	}
}
