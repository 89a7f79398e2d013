package messenger

import "fmt"

// LoadedName is how an engine's announcement names what it has loaded: model,
// version and rank.
func LoadedName(model, version string, rank int) string {
	return fmt.Sprintf("%s:%s:%d", model, version, rank)
}
