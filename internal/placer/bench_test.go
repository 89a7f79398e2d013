package placer

import (
	"testing"
	"time"
)

// benchmarkPlan measures one plan of a fleet that serves, with an eighth of its
// instances free.
func benchmarkPlan(b *testing.B, domains, size int) {
	w := newCluster(domains, size)
	w.run(3 * time.Second)
	w.demand = map[string]float64{"large": float64(domains*size) / 4, "small": float64(domains*size) / 4}
	for i, e := range w.endpoints {
		if i%8 == 0 {
			w.crash(e.view.Instance)
		}
	}
	w.run(2 * time.Second)
	msg := w.planMsg()
	b.ReportAllocs()
	for b.Loop() {
		msg.Now += planInterval
		w.placer.Update(msg)
	}
}

func BenchmarkPlan72(b *testing.B)   { benchmarkPlan(b, 4, 18) }
func BenchmarkPlan380(b *testing.B)  { benchmarkPlan(b, 20, 19) }
func BenchmarkPlan1700(b *testing.B) { benchmarkPlan(b, 12, 142) }
