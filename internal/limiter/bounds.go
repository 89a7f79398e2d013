package limiter

import "time"

const (
	// heapShare is the part of the memory to which the heap is kept; the rest is for
	// stacks, the program itself and the buffers of the system.
	heapShare = 0.6
	// bodyShare is the part of the memory for the bodies that are read or in progress.
	// With workShare it stays below heapShare, so that the collector has room.
	bodyShare = 0.25
	// workShare is the part of the memory for the copies that are made of large bodies as
	// they are decoded and encoded.
	workShare = 0.15
	// keepShare is the part of the memory for answers that a side process keeps.
	keepShare = 0.2
	// headShare is the part of the memory for heads that are above FreeHeadBytes.
	headShare = 0.05
	// connectionShare is the part of the memory for connections that wait.
	connectionShare = 0.3
	// connectionBytes is what a connection that waits costs: two buffers of 4 KB, the
	// stack of its goroutine and its records.
	connectionBytes = 20 << 10
	// blockedShare is the part of the memory for the system's buffers of connections
	// whose peer does not read.
	blockedShare = 0.1

	bytesPerMB = 1 << 20

	// ReceiveBytes bounds the bytes that have arrived on an accepted connection and are not read.
	ReceiveBytes = 128 << 10
	// SendBytes bounds the bytes that its client has not taken.
	SendBytes = 256 << 10
	// FreeHeadBytes is what each head may hold: half of the usual limit of a whole head.
	FreeHeadBytes = 8 << 10
	// FreeBodyBytes is what each body may hold outside of the budget; it counts as a part
	// of its connection.
	FreeBodyBytes = 4 << 10
)

// Port is the use of a listener.
type Port int

// The ports.
const (
	// PortMain is where clients, or endpoints and operators, call.
	PortMain Port = iota
	// PortInner is where the other processes call.
	PortInner
	// PortProbe is where readiness and metrics are asked for.
	PortProbe
)

// portShares are the parts of the descriptors for the connections that each port accepts.
// The rest is for connections to other processes, files and the process itself. A leader of
// 300 machines accepts some connections of each at its inner port; an entry without side
// processes has none, and what it leaves is for its connections to endpoints.
var portShares = map[Port]float64{PortMain: 0.5, PortInner: 0.35, PortProbe: 0.05}

// Bounds are the bounds of one process.
type Bounds struct {
	MemoryMB       int
	MaxDescriptors int
	PerAddress     int           // PerAddress bounds the connections of one client address; 0 for no bound.
	HeadTime       time.Duration // HeadTime bounds the time for a head.
	IdleTime       time.Duration // IdleTime bounds the time between requests.
	BodyTime       time.Duration // BodyTime is what any body may take; beyond it, MinRate holds.
	MinRate        int           // MinRate is the least number of bytes of a body in a second.
	WriteTime      time.Duration // WriteTime bounds a write without progress.
}

// NewBounds returns the default bounds. They are outside of what clients do that keep to
// the usual limits: a head within 3 s, and 15 s between requests.
func NewBounds() Bounds {
	return Bounds{
		MemoryMB: 256, MaxDescriptors: 4096, HeadTime: 10 * time.Second, IdleTime: time.Minute,
		BodyTime: 10 * time.Second, MinRate: 1 << 10, WriteTime: 15 * time.Second,
	}
}

func (b Bounds) share(part float64) int { return int(part * float64(b.MemoryMB) * bytesPerMB) }

// HeapBytes returns the limit of the heap.
func (b Bounds) HeapBytes() int64 { return int64(b.share(heapShare)) }

// BodyBytes returns the budget of all bodies.
func (b Bounds) BodyBytes() int { return b.share(bodyShare) }

// WorkBytes returns the budget of the copies of large bodies.
func (b Bounds) WorkBytes() int { return b.share(workShare) }

// KeepBytes returns the budget of the answers that a side process keeps.
func (b Bounds) KeepBytes() int { return b.share(keepShare) }

// HeadBytes returns the budget of heads above FreeHeadBytes.
func (b Bounds) HeadBytes() int { return b.share(headShare) }

// Connections returns how many connections a port accepts at a time: the lesser of its part
// of the descriptors and of the memory.
func (b Bounds) Connections(port Port) int {
	part := portShares[port]
	n := min(part*float64(b.MaxDescriptors), 2*part*float64(b.share(connectionShare)/connectionBytes))
	return max(1, int(n))
}

// Blocked returns how many connections may have a write that waits for a slow reader.
func (b Bounds) Blocked() int { return max(1, b.share(blockedShare)/SendBytes) }

// BodyOverdue reports whether a body that has begun at a time and has so many bytes by now
// is too slow. A deadline of 0 means none.
func (b Bounds) BodyOverdue(startedAt, deadline, now time.Duration, bytes int64) bool {
	if deadline > 0 && now >= deadline {
		return true
	}
	earned := time.Duration(float64(bytes) / float64(max(b.MinRate, 1)) * float64(time.Second))
	return now-startedAt >= b.BodyTime+earned
}
