package registrar

import (
	"encoding/json"
	"fmt"
	"testing"

	"papayaseam/internal/messenger"
)

// filledRegistrar returns a registrar with n groups of 16 members and ten
// organisations.
func filledRegistrar(n int) *testRegistrar {
	r := newTestRegistrar()
	for i := range 10 {
		r.ticket(messenger.Ticket{Number: i + 1, Objects: []messenger.Object{{
			Kind: KindOrganisation, Name: fmt.Sprintf("o%d", i), Organisation: &messenger.OrganisationSpec{Weight: 1},
		}}})
	}
	for i := range n {
		group := messenger.GroupSpec{Model: "m", Version: "v1", Active: true, Region: "r", FailureDomain: "d", FabricDomain: "f"}
		for j := range 16 {
			group.Members = append(group.Members, messenger.Member{Instance: fmt.Sprintf("instance-%d-%d", i, j), Address: "10.0.0.1:7001"})
		}
		r.assign(messenger.Assignment{Name: fmt.Sprintf("g%d", i), Group: group})
	}
	return r
}

// BenchmarkSnapshot measures encoding a full configuration, by number of groups.
func BenchmarkSnapshot(b *testing.B) {
	for _, groups := range []int{13, 26, 53, 106} {
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			r := filledRegistrar(groups)
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(r.ChangesSince(0))
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkPoll measures a watcher's poll when nothing has changed.
func BenchmarkPoll(b *testing.B) {
	for _, groups := range []int{13, 106} {
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			r := filledRegistrar(groups)
			knownIndex := r.ModifiedIndex()
			b.ReportAllocs()
			for b.Loop() {
				r.ChangesSince(knownIndex)
			}
		})
	}
}

// BenchmarkChange measures encoding one changed object for a watcher.
func BenchmarkChange(b *testing.B) {
	for _, groups := range []int{13, 106} {
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			r := filledRegistrar(groups)
			knownIndex := r.ModifiedIndex()
			r.ticket(modelTicket(100, "hana", 1, "m"))
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(r.ChangesSince(knownIndex))
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkClaim measures one claim, by the number of claims already held.
func BenchmarkClaim(b *testing.B) {
	for _, claims := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held-%d", claims), func(b *testing.B) {
			r := newTestRegistrar()
			for i := range claims {
				r.claim(messenger.ClaimRequest{Organisation: "o", Key: fmt.Sprint(i), Attempt: "a"}, 0)
			}
			data, _ := r.Snapshot()
			n := 0
			for b.Loop() {
				n++
				r.claim(messenger.ClaimRequest{Organisation: "p", Key: fmt.Sprint(n), Attempt: "a"}, 0)
			}
			b.ReportMetric(float64(len(data))/float64(claims), "snapshot-bytes/claim")
		})
	}
}
