package director

import (
	"fmt"

	"papayaseam/internal/placer"

	"github.com/VictoriaMetrics/metrics"
)

// setGauge sets a gauge, which it creates at the first use.
func setGauge(name string, value float64) { metrics.GetOrCreateGauge(name, nil).Set(value) }

// setInstanceGauges sets the numbers of a service's instances by state.
func setInstanceGauges(service string, c placer.EndpointCounts) {
	for state, n := range map[string]int{
		"open": c.Open, "changing": c.Changing, "free": c.Free, "cold": c.Cold, "silent": c.Silent, "leaving": c.Leaving,
	} {
		setGauge(fmt.Sprintf(`papayaseam_instances{service=%q,state=%q}`, service, state), float64(n))
	}
	setGauge(fmt.Sprintf(`papayaseam_stranded_accelerators{service=%q}`, service), float64(c.Changing+c.Free+c.Cold))
}
