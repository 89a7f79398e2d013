package rationer

import (
	"fmt"
	"strings"

	"papayaseam/internal/describer"
)

// Mode says which services are rationed.
type Mode string

// The modes.
const (
	Auto Mode = "auto" // Auto rations services whose routes declare different priorities.
	On   Mode = "on"   // On rations every service with an engine.
	Off  Mode = "off"  // Off rations none.
)

// Modes holds all modes.
var Modes = []string{string(Auto), string(On), string(Off)}

const (
	// maxExplained bounds the services and the priorities that an explanation lists.
	maxExplained = 8
	// defaultMode applies where none is set.
	defaultMode = Auto
)

// Plan returns the services of a configuration that are rationed and one explanation for
// each service with an engine. Plain services hold no slots of a model. Organisations
// whose priorities differ do not ration a service by themselves: their priorities have
// been declared for as long as organisations have, and had no effect.
func Plan(mode Mode, config *describer.Configuration) ([]Service, []string) {
	if mode == "" {
		mode = defaultMode
	}
	var services []Service
	var explanations []string
	for _, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		priorities := config.Priorities(service.Name)
		ranked := len(priorities) > 1 && len(config.RoutePriorities(service.Name)) > 1
		rationed := len(priorities) > 0 && (mode == On || (mode == Auto && ranked))
		if rationed {
			services = append(services, Service{Name: service.Name, Priorities: priorities})
		}
		if len(explanations) < maxExplained {
			explanations = append(explanations, explain(mode, service.Name, priorities, rationed))
		}
	}
	return services, explanations
}

// explain says why a service is rationed or not.
func explain(mode Mode, name string, priorities []int, rationed bool) string {
	effect := "off"
	if rationed {
		effect = "on"
	}
	reason := fmt.Sprintf("priorities %s", strings.Trim(fmt.Sprint(priorities[:min(len(priorities), maxExplained)]), "[]"))
	switch {
	case len(priorities) == 0:
		reason = "no requests are possible"
	case mode == Off:
		reason = "by the settings"
	case len(priorities) == 1:
		reason = fmt.Sprintf("all requests have priority %d", priorities[0])
	case !rationed:
		reason = "all routes have one priority"
	}
	return fmt.Sprintf("%s %s: %s", name, effect, reason)
}
