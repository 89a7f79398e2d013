package quarantiner

import "papayaseam/internal/messenger"

// Msg is an input of a table.
type Msg interface{ quarantinerMsg() }

// CrashMsg reports one crashed boot and the content that may have crashed it.
type CrashMsg struct{ Report messenger.CrashReport }

// SurvivedMsg reports content that began after a crash under it was known, and ran
// on.
type SurvivedMsg struct{ Keys []string }

// LapsedMsg ends the suspicion or the hold of content after its time.
type LapsedMsg struct{ Keys []string }

// ApplyMsg carries the changes of another table, of which this one is a copy.
type ApplyMsg struct{ Changes messenger.QuarantineChanges }

func (CrashMsg) quarantinerMsg()    {}
func (SurvivedMsg) quarantinerMsg() {}
func (LapsedMsg) quarantinerMsg()   {}
func (ApplyMsg) quarantinerMsg()    {}

// Effect tells what changed.
type Effect interface{ quarantinerEffect() }

// HeldEffect says that content is held from now on.
type HeldEffect struct{ Record messenger.QuarantineRecord }

// ReleasedEffect says that content is no longer held; it carries the record before.
type ReleasedEffect struct{ Record messenger.QuarantineRecord }

func (HeldEffect) quarantinerEffect()     {}
func (ReleasedEffect) quarantinerEffect() {}
