package describer

// number is a declared number and the words that name it.
type number struct {
	name  string
	value float64
}

// checkNumbers returns an error if a count, rate or time of the service is negative. Those
// without a meaningful upper bound are not limited: they never bind.
func (s Service) checkNumbers() error {
	numbers := []number{{"connections", float64(s.MaxConnections)}, {"cold time", float64(s.ColdTime)}, {"cold rate", s.ColdRate}}
	if s.Engine != nil {
		numbers = append(numbers, s.Engine.numbers()...)
	}
	for _, n := range numbers {
		if n.value < 0 {
			return invalid("the %s of service %q is negative; use 0 or more", n.name, s.Name)
		}
	}
	return nil
}

// numbers returns the declared numbers of an engine.
func (e *Engine) numbers() []number {
	numbers := []number{
		{"slots", float64(e.Slots)},
		{"capacity in tokens", float64(e.KVTokens)},
		{"step time", float64(e.StepTime)},
		{"step time per sequence", float64(e.StepTimePerSequence)},
		{"prefill rate", e.PrefillTokensPerSec},
		{"usual prompt", float64(e.TypicalPromptTokens)},
		{"usual answer", float64(e.TypicalOutputTokens)},
		{"limit on loads per second", e.MaxLoadsPerSec},
		{"limit on loads at once", float64(e.MaxConcurrentLoads)},
		{"number of cached models", float64(e.MaxCachedModels)},
		{"time to form a group", float64(e.GroupFormTime)},
		{"factor across domains", e.FarFactor},
		{"stride", float64(e.EventsStride)},
	}
	for _, m := range e.Models {
		numbers = append(numbers,
			number{"share of model " + m.Name, m.InitialShare},
			number{"pace of model " + m.Name, m.TimeFactor},
			number{"load time of model " + m.Name, float64(m.ColdLoadTime)},
			number{"warm time of model " + m.Name, float64(m.WarmLoadTime)},
		)
	}
	return numbers
}
