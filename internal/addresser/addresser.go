// Package addresser allocates loopback addresses that no other process uses, for
// processes that are about to be started to listen on.
//
// # Usage
//
//	listen := addresser.Next() // "127.64.12.7:20001"
//
// A free port that is found by binding and closing it can be taken by another
// process before it is used. So each calling process allocates ports on a loopback
// IP address of its own, derived from its process id. This also avoids the ephemeral
// ports that the system assigns to outgoing connections from 127.0.0.1.
package addresser

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	firstPort = 20_000
	portCount = 40_000
	// firstOctet is the lowest second octet of the addresses. Process ids have at
	// most 22 bits, of which the upper 6 are added to it.
	firstOctet = 64
)

// allocated counts the addresses that Next has returned.
var allocated atomic.Int64

// Next returns the next address (host:port) of this process. Addresses repeat only
// after 40000 calls.
func Next() string {
	port := firstPort + int(allocated.Add(1)-1)%portCount
	return fmt.Sprintf("%s:%d", loopbackIP(os.Getpid()), port)
}

// loopbackIP returns the loopback IP address for a process id.
func loopbackIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstOctet+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
