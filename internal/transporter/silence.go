package transporter

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedMs is how long sent bytes may stay unacknowledged before a
// connection counts as lost; some connections go silent without a reset.
const unacknowledgedMs = 2000

// keepAlive finds silent connections on which nothing is sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 2}

// boundUnacknowledged sets the limit on a new socket.
func boundUnacknowledged(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedMs)
	})
	if err != nil {
		return err
	}
	return failed
}
