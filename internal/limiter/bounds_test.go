package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bounds that clients inside the declared limits can reach, or that do not
// fit into the machine: an entry of 184 MB and 4,100 descriptors.
func TestBoundsOfAnEntry(t *testing.T) {
	b := NewBounds()
	b.MemoryMB, b.MaxDescriptors = 184, 4100
	descriptors := 0
	for port := range portShares {
		descriptors += b.Connections(port)
	}
	assert.Assert(t, descriptors <= 4100*9/10)
	assert.Assert(t, b.Connections(PortMain)+2*b.Connections(PortProbe) <= 4100*6/10, "an entry needs as many for its endpoints")
	assert.Assert(t, b.Connections(PortInner) > 4*300)
	assert.Equal(t, b.KeepBytes()+b.BodyBytes()+b.WorkBytes() <= int(b.HeapBytes()), true)
	assert.Assert(t, b.Connections(PortMain) > 2000)
	assert.Assert(t, b.BodyBytes() >= 10*4<<20)
	assert.Assert(t, b.HeadTime > 3*time.Second)
	assert.Assert(t, b.IdleTime > 15*time.Second)
	held := b.BodyBytes() + b.WorkBytes() + b.HeadBytes() + b.Connections(PortMain)*connectionBytes
	assert.Assert(t, held < 184<<20*85/100, "%d", held)
	small := Bounds{MemoryMB: 16, MaxDescriptors: 64}
	assert.Equal(t, small.Connections(PortProbe), 3)
	assert.Equal(t, small.Blocked(), 6)
}

func TestSlowBodyIsOverdue(t *testing.T) {
	b := NewBounds()
	assert.Assert(t, !b.BodyOverdue(0, 0, b.BodyTime-1, 0))
	assert.Assert(t, b.BodyOverdue(0, 0, b.BodyTime, 0))
	assert.Assert(t, !b.BodyOverdue(0, 0, b.BodyTime+time.Second, 2<<10), "a slow body above the least rate goes on")
	assert.Assert(t, b.BodyOverdue(0, time.Second, time.Second, 4<<20), "a fast body ends at the deadline too")
}

// Guards against a flood of connections without a request that closes those in use.
func TestLongestWaitingConnection(t *testing.T) {
	connections := []Connection{{Served: true}, {Waiting: true, Served: true, Since: 1}, {Waiting: true, Since: 9}, {Waiting: true, Since: 8}}
	assert.Equal(t, LongestWaiting(connections), 3)
	assert.Equal(t, LongestWaiting(connections[:2]), 1)
	assert.Equal(t, LongestWaiting(connections[:1]), -1)
}

// Guards against clients that do not read and hold the buffers of the system for good.
func TestSlowReadersEnd(t *testing.T) {
	b := NewBounds()
	b.MemoryMB = 16
	now := time.Hour
	connections := []Connection{{}, {BlockedSince: now - b.WriteTime}, {BlockedSince: now - minBlockedTime/2}}
	assert.DeepEqual(t, b.TooSlow(connections, now), []int{1})
	for i := range b.Blocked() + 2 {
		connections = append(connections, Connection{BlockedSince: now - b.WriteTime + time.Duration(i+1)})
	}
	assert.DeepEqual(t, b.TooSlow(connections, now), []int{1, 3, 4})
}
