package flood

const (
	// directLimits and productLimits are the settings of the limits, added to those of
	// each program.
	directLimits  = ""
	productLimits = ""
)
