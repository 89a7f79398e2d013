package router

import "papayaseam/internal/messenger"

// Msg is an input of the router.
type Msg interface{ routerMsg() }

// GroupsMsg carries all active groups of the newest configuration.
type GroupsMsg struct{ Groups []Group }

// LoadsMsg carries load reports, taken from digests or from responses.
type LoadsMsg struct{ Loads []messenger.GroupLoad }

// SentMsg reports that this entry sent an attempt to a group.
type SentMsg struct{ Group string }

// RefusedMsg reports that a group refused an attempt or could not be reached.
type RefusedMsg struct {
	Group       string
	Unreachable bool // Unreachable means that the leader did not answer at all.
}

func (GroupsMsg) routerMsg()  {}
func (LoadsMsg) routerMsg()   {}
func (SentMsg) routerMsg()    {}
func (RefusedMsg) routerMsg() {}
