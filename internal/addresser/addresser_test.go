package addresser

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNextReturnsDistinctAddresses guards against two processes that are started
// with the same listen address.
func TestNextReturnsDistinctAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 5000 {
		address := Next()
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
}

// TestAddressAcceptsConnections guards against addresses that a process can't listen
// on or that clients can't reach.
func TestAddressAcceptsConnections(t *testing.T) {
	listener, err := net.Listen("tcp", Next())
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.NilError(t, listener.Close())
}

// TestProcessIDsMapToDistinctLoopbackAddresses guards against collisions between the
// addresses of concurrent processes, over the whole range of process ids.
func TestProcessIDsMapToDistinctLoopbackAddresses(t *testing.T) {
	seen := map[string]int{}
	for _, pid := range []int{1, 2, 255, 256, 257, 65_535, 65_536, 4_194_303} {
		address := loopbackIP(pid)
		assert.Assert(t, net.ParseIP(address).IsLoopback(), address)
		other, found := seen[address]
		assert.Assert(t, !found, "process ids %d and %d have the same address", pid, other)
		seen[address] = pid
	}
}
