package admitter

import "time"

// Msg is an input of a Machine.
type Msg interface{ admitterMsg() }

// SubmitMsg submits an attempt for admission.
type SubmitMsg struct{ Attempt Attempt }

// StartMsg starts queued attempts up to the concurrency limit. The sender must have
// checked the group's grants immediately before.
type StartMsg struct{}

// FinishMsg reports that a running attempt has ended.
type FinishMsg struct{ ID string }

// RevokeMsg prevents an attempt from starting.
type RevokeMsg struct {
	ID string
	// WithinRetention means that the record of the attempt cannot have been evicted,
	// so that an unknown attempt was never submitted.
	WithinRetention bool
}

// OpenMsg makes the group admit attempts.
type OpenMsg struct{}

// CloseMsg refuses queued and new attempts with a reason until the next OpenMsg.
type CloseMsg struct{ Reason string }

// AbortAllMsg ends all running attempts.
type AbortAllMsg struct{}

// Organisation is the configured weight and limit of one organisation.
type Organisation struct {
	Name             string
	Weight           int
	ConcurrencyLimit int // ConcurrencyLimit bounds its running attempts; 0 means unlimited.
}

// LimitsMsg applies a new configuration. A ConcurrencyLimit of 0 leaves the current
// one unchanged. An organisation that is not listed has weight 1 and no limit.
type LimitsMsg struct {
	ConcurrencyLimit int
	Organisations    []Organisation
	HeldFingerprints []string
}

// TickMsg expires deadlines and retention times.
type TickMsg struct{}

func (SubmitMsg) admitterMsg()   {}
func (StartMsg) admitterMsg()    {}
func (FinishMsg) admitterMsg()   {}
func (RevokeMsg) admitterMsg()   {}
func (OpenMsg) admitterMsg()     {}
func (CloseMsg) admitterMsg()    {}
func (AbortAllMsg) admitterMsg() {}
func (LimitsMsg) admitterMsg()   {}
func (TickMsg) admitterMsg()     {}

// Effect is an action that a Machine asks its owner to execute.
type Effect interface{ admitterEffect() }

// StartEffect sends an attempt to the endpoint.
type StartEffect struct {
	ID     string
	Waited time.Duration // Waited is the time spent in the queue.
}

// RefuseEffect reports that an attempt did not run and never will.
type RefuseEffect struct {
	ID      string
	Kind    string
	Message string
}

// DuplicateEffect reports that an attempt with this ID was submitted before.
type DuplicateEffect struct {
	ID    string
	State State
}

// RevokedEffect answers a RevokeMsg.
type RevokedEffect struct {
	ID     string
	NotRun bool
	State  State
}

// AbortEffect cancels the call of a running attempt.
type AbortEffect struct{ ID string }

// EvictEffect drops an attempt and its stored response.
type EvictEffect struct{ ID string }

func (StartEffect) admitterEffect()     {}
func (RefuseEffect) admitterEffect()    {}
func (DuplicateEffect) admitterEffect() {}
func (RevokedEffect) admitterEffect()   {}
func (AbortEffect) admitterEffect()     {}
func (EvictEffect) admitterEffect()     {}
