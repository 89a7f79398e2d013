package rationer

import "time"

// Msg is an input of a Rationer.
type Msg interface{ rationerMsg() }

// ConfigurationMsg names the services that are rationed from now on.
type ConfigurationMsg struct{ Services []Service }

// RequestMsg reports that a client sent a request.
type RequestMsg struct{ Request Request }

// AdmittedMsg reports that a request is sent to an endpoint for the first time.
type AdmittedMsg struct{ Request Request }

// RefusedMsg reports that a request was refused before it was sent.
type RefusedMsg struct {
	Request Request
	Short   bool // Short means that it found no slot, although all of the usual capacity was open to it.
}

// ServedMsg reports the fraction of the requests to a service that all entries sent to
// endpoints. It counts for a while only.
type ServedMsg struct {
	Now      time.Duration
	Service  string
	Fraction float64
}

func (ConfigurationMsg) rationerMsg() {}
func (ServedMsg) rationerMsg()        {}
func (RequestMsg) rationerMsg()       {}
func (AdmittedMsg) rationerMsg()      {}
func (RefusedMsg) rationerMsg()       {}
