package registrar

import "papayaseam/internal/messenger"

// CommandMsg is a committed command and its log index.
type CommandMsg struct {
	Index   int
	Command messenger.Command
}

// Effect is a response to a command or a notification for watchers.
type Effect interface{ registrarEffect() }

// TicketEffect is the response to a ticket.
type TicketEffect struct{ Answer messenger.TicketAnswer }

// ClaimEffect is the response to a claim.
type ClaimEffect struct{ Answer messenger.ClaimAnswer }

// CrashEffect is the response to a crash report.
type CrashEffect struct{ Answer messenger.CrashAnswer }

// AssignEffect reports whether an assignment was accepted.
type AssignEffect struct{ Accepted bool }

// ChangedEffect notifies watchers that an object changed at a log index.
type ChangedEffect struct{ Index int }

func (TicketEffect) registrarEffect()  {}
func (ClaimEffect) registrarEffect()   {}
func (CrashEffect) registrarEffect()   {}
func (AssignEffect) registrarEffect()  {}
func (ChangedEffect) registrarEffect() {}
