package registrar

import (
	"encoding/json"
	"fmt"
	"testing"

	"papayaseam/internal/messenger"
)

// filled returns a state with n groups of 16, as many claims a group as a
// target leader commits in a minute, and ten organisations.
func filled(n int) *state {
	s := newState()
	for i := range 10 {
		s.ticket(messenger.Ticket{Number: i + 1, Objects: []messenger.Object{{
			Kind: KindOrganisation, Name: fmt.Sprintf("o%d", i), Organisation: &messenger.OrganisationSpec{Weight: 1},
		}}})
	}
	for i := range n {
		group := messenger.GroupSpec{Model: "m", Version: "v1", Active: true, Region: "r", FailureDomain: "d", FabricDomain: "f"}
		for j := range 16 {
			group.Members = append(group.Members, messenger.Member{Instance: fmt.Sprintf("instance-%d-%d", i, j), Address: "10.0.0.1:7001"})
		}
		s.assign(messenger.Assignment{Name: fmt.Sprintf("g%d", i), Group: group})
	}
	return s
}

// BenchmarkSnapshot gives time and bytes of a whole configuration by groups.
func BenchmarkSnapshot(b *testing.B) {
	for _, groups := range []int{13, 26, 53, 106} {
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			s := filled(groups)
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(s.ChangesSince(0))
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkPoll gives the time of a watcher's poll without news.
func BenchmarkPoll(b *testing.B) {
	for _, groups := range []int{13, 106} {
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			s := filled(groups)
			known := s.ModifiedIndex()
			b.ReportAllocs()
			for b.Loop() {
				s.ChangesSince(known)
			}
		})
	}
}

// BenchmarkChange gives the time and bytes of one changed object for a watcher.
func BenchmarkChange(b *testing.B) {
	for _, groups := range []int{13, 106} {
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			s := filled(groups)
			known := s.ModifiedIndex()
			s.ticket(models(100, "hana", 1, "m"))
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(s.ChangesSince(known))
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkClaim gives the time of one claim by the number of claims held.
func BenchmarkClaim(b *testing.B) {
	for _, held := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held-%d", held), func(b *testing.B) {
			s := newState()
			for i := range held {
				s.claim(messenger.ClaimRequest{Organisation: "o", Key: fmt.Sprint(i), Attempt: "a"}, 0)
			}
			data, _ := s.Snapshot()
			n := 0
			for b.Loop() {
				n++
				s.claim(messenger.ClaimRequest{Organisation: "p", Key: fmt.Sprint(n), Attempt: "a"}, 0)
			}
			b.ReportMetric(float64(len(data))/float64(held), "snapshot-bytes/claim")
		})
	}
}
