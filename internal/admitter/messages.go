package admitter

import "time"

// Msg is an input of the machine.
type Msg interface{ admitterMsg() }

// SubmitMsg offers an attempt.
type SubmitMsg struct{ Attempt Attempt }

// StartMsg starts what fits; the sender has just checked the grants.
type StartMsg struct{}

// FinishMsg tells that a running attempt has ended.
type FinishMsg struct{ ID string }

// RevokeMsg asks that an attempt never starts.
type RevokeMsg struct {
	ID              string
	WithinRetention bool // WithinRetention means that an unknown attempt was never taken.
}

// OpenMsg lets work in.
type OpenMsg struct{}

// CloseMsg refuses waiting and new work with a reason.
type CloseMsg struct{ Reason string }

// AbortAllMsg ends all running work.
type AbortAllMsg struct{}

// Organisation is the declared share of one organisation.
type Organisation struct {
	Name             string
	Weight           int
	ConcurrencyLimit int // ConcurrencyLimit bounds its running attempts; 0 means no bound.
}

// LimitsMsg carries the newest configuration.
type LimitsMsg struct {
	ConcurrencyLimit int
	Organisations    []Organisation
	HeldFingerprints []string
}

// TickMsg tells that time has passed.
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

// Effect is an output of the machine.
type Effect interface{ admitterEffect() }

// StartEffect sends an attempt to the endpoint.
type StartEffect struct {
	ID     string
	Waited time.Duration
}

// RefuseEffect tells that an attempt did not run and never will.
type RefuseEffect struct {
	ID      string
	Kind    string
	Message string
}

// DuplicateEffect tells that an attempt of this identity is known already.
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

// AbortEffect ends the call of a running attempt.
type AbortEffect struct{ ID string }

// ForgetEffect drops an attempt and its kept answer.
type ForgetEffect struct{ ID string }

func (StartEffect) admitterEffect()     {}
func (RefuseEffect) admitterEffect()    {}
func (DuplicateEffect) admitterEffect() {}
func (RevokedEffect) admitterEffect()   {}
func (AbortEffect) admitterEffect()     {}
func (ForgetEffect) admitterEffect()    {}
