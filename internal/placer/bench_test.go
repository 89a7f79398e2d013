package placer

import (
	"testing"
	"time"
)

// benchmarkPlan measures one plan for a cluster under load in which every eighth
// instance crashed.
func benchmarkPlan(b *testing.B, domains, size int) {
	c := newCluster(domains, size)
	c.run(3 * time.Second)
	c.demand = map[string]float64{"large": float64(domains*size) / 4, "small": float64(domains*size) / 4}
	for i, e := range c.endpoints {
		if i%8 == 0 {
			c.crash(e.view.Instance)
		}
	}
	c.run(2 * time.Second)
	msg := c.planMsg()
	b.ReportAllocs()
	for b.Loop() {
		msg.Now += planInterval
		c.placer.Update(msg)
	}
}

func BenchmarkPlan72(b *testing.B)   { benchmarkPlan(b, 4, 18) }
func BenchmarkPlan380(b *testing.B)  { benchmarkPlan(b, 20, 19) }
func BenchmarkPlan1700(b *testing.B) { benchmarkPlan(b, 12, 142) }
