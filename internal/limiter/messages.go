package limiter

import "time"

// Msg is an input of a Limiter.
type Msg interface{ limiterMsg() }

// BeginMsg reports that a body begins.
type BeginMsg struct {
	ID  uint64
	Now time.Duration
}

// AskMsg asks for bytes for a body. It results in exactly one GrantEffect or RefuseEffect
// for this ask, of this update or of a later one. It counts as progress: the body has filled
// what it was granted before.
type AskMsg struct {
	ID    uint64
	Ask   uint64 // Ask tells the asks of one body apart.
	Bytes int
	Now   time.Duration
}

// CompleteMsg reports that a body is complete, so that its request is in progress.
type CompleteMsg struct{ ID uint64 }

// ReturnMsg returns a part of the bytes that a body holds.
type ReturnMsg struct {
	ID    uint64
	Bytes int
}

// EndMsg reports that a body holds nothing any more. It returns its bytes; later messages
// about it have no effect.
type EndMsg struct{ ID uint64 }

func (BeginMsg) limiterMsg()    {}
func (AskMsg) limiterMsg()      {}
func (CompleteMsg) limiterMsg() {}
func (ReturnMsg) limiterMsg()   {}
func (EndMsg) limiterMsg()      {}

// Effect is an output of a Limiter.
type Effect interface{ limiterEffect() }

// GrantEffect grants the bytes of an ask.
type GrantEffect struct{ ID, Ask uint64 }

// RefuseEffect refuses an ask, as the budget is short and nothing can be evicted for it.
type RefuseEffect struct{ ID, Ask uint64 }

// EvictEffect names a body to end. Its bytes count until its EndMsg.
type EvictEffect struct{ ID uint64 }

func (GrantEffect) limiterEffect()  {}
func (RefuseEffect) limiterEffect() {}
func (EvictEffect) limiterEffect()  {}
