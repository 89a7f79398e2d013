package soaker

import "time"

// EvacuatedMsg reports that an evacuation was acknowledged, or that its end is about to be
// requested.
type EvacuatedMsg struct {
	Domain string
	Active bool
	Now    time.Duration
}

// ColdMsg reports that a server has become cold until some time.
type ColdMsg struct {
	Server     string
	Now, Until time.Duration
}

func (EvacuatedMsg) observation() {}
func (ColdMsg) observation()      {}

const (
	// evacuateTime is the declared time after the acknowledgement of an evacuation from
	// which on no request may arrive in the domain.
	evacuateTime = 5 * time.Second
	// coldRequests is the declared number of requests that a cold server may get in one
	// second: 32 a second, half as many again, and 5.
	coldRequests = 53
)

// domains holds what is known of evacuations and cold servers.
type domains struct {
	evacuated map[string]time.Duration // evacuated holds when each evacuation was acknowledged.
	cold      map[string]ColdMsg
	recent    map[string][]time.Duration // recent holds the requests of the last second at each cold server.
}

func newDomains() domains {
	return domains{evacuated: map[string]time.Duration{}, cold: map[string]ColdMsg{}, recent: map[string][]time.Duration{}}
}

// arrived checks a request at a server, and returns what it breaks or nothing.
func (d *domains) arrived(msg ArrivedMsg) string {
	since, evacuated := d.evacuated[msg.Domain]
	if evacuated && msg.Now > since+evacuateTime {
		return "arrived in an evacuated failure domain"
	}
	cold, ok := d.cold[msg.Server]
	if !ok || msg.Now < cold.Now || msg.Now > cold.Until {
		delete(d.recent, msg.Server)
		return ""
	}
	recent := append(d.recent[msg.Server], msg.Now)
	for len(recent) > 0 && recent[0] < msg.Now-time.Second {
		recent = recent[1:]
	}
	d.recent[msg.Server] = recent
	if len(recent) > coldRequests {
		return "is one request too many for a cold server"
	}
	return ""
}

// evacuation takes an evacuation or its end. A repeated start does not move its time.
func (d *domains) evacuation(msg EvacuatedMsg) {
	if !msg.Active {
		delete(d.evacuated, msg.Domain)
	} else if _, known := d.evacuated[msg.Domain]; !known {
		d.evacuated[msg.Domain] = msg.Now
	}
}
