package quarantiner

import "papayaseam/internal/messenger"

// Msg is an input of a table.
type Msg interface{ quarantinerMsg() }

// ReportMsg reports crashed boots with the content that may have crashed them, boots
// that run on after earlier reports, content that ran on after it had begun, and content
// whose suspicion or hold is over. What several entries saw of one crash is best reported
// in one message.
type ReportMsg struct{ Command messenger.QuarantineCommand }

// ApplyMsg carries the changes of another table, of which this one is a copy.
type ApplyMsg struct{ Changes messenger.QuarantineChanges }

func (ReportMsg) quarantinerMsg() {}
func (ApplyMsg) quarantinerMsg()  {}

// Effect tells what changed.
type Effect interface{ quarantinerEffect() }

// HeldEffect says that content is held from now on.
type HeldEffect struct{ Record messenger.QuarantineRecord }

// ReleasedEffect says that content is no longer held; it carries the record before.
type ReleasedEffect struct{ Record messenger.QuarantineRecord }

func (HeldEffect) quarantinerEffect()     {}
func (ReleasedEffect) quarantinerEffect() {}
