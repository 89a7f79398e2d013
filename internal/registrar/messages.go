package registrar

import "papayaseam/internal/messenger"

// CommandMsg carries one committed command and its index in the log.
type CommandMsg struct {
	Index   int
	Command messenger.Command
}

// Effect is an answer to a command or a notice to watchers.
type Effect interface{ registrarEffect() }

// TicketEffect answers a ticket.
type TicketEffect struct{ Answer messenger.TicketAnswer }

// ClaimEffect answers a claim.
type ClaimEffect struct{ Answer messenger.ClaimAnswer }

// CrashEffect answers a report of crashed fingerprints.
type CrashEffect struct{ Answer messenger.CrashAnswer }

// AssignEffect tells whether an assignment was taken.
type AssignEffect struct{ Accepted bool }

// ChangedEffect tells watchers that objects changed at an index.
type ChangedEffect struct{ Index int }

func (TicketEffect) registrarEffect()  {}
func (ClaimEffect) registrarEffect()   {}
func (CrashEffect) registrarEffect()   {}
func (AssignEffect) registrarEffect()  {}
func (ChangedEffect) registrarEffect() {}
