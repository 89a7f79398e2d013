package e2e

import (
	"net"
	"sync"
	"testing"

	"papayaseam/internal/addresser"

	"gotest.tools/v3/assert"
)

// forward is a small TCP forwarder that can make its open connections go
// silent for good, or refuse everything, like a cut.
type forward struct {
	address  string
	target   string
	listener net.Listener

	mu     sync.Mutex
	epoch  int
	cut    bool
	opened []net.Conn
}

func newForward(t testing.TB, target string) *forward {
	listener, err := net.Listen("tcp", addresser.Next())
	assert.NilError(t, err)
	f := &forward{address: listener.Addr().String(), target: target, listener: listener}
	t.Cleanup(f.close)
	go f.accept()
	return f
}

func (f *forward) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *forward) serve(in net.Conn) {
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = in.Close()
		return
	}
	f.mu.Lock()
	f.opened = append(f.opened, in, out)
	epoch := f.epoch
	f.mu.Unlock()
	go f.copy(in, out, epoch)
	f.copy(out, in, epoch)
}

// copy passes bytes on until its connection has gone silent; then it swallows
// them without closing anything.
func (f *forward) copy(to, from net.Conn, epoch int) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		silent := f.cut || f.epoch != epoch
		f.mu.Unlock()
		if err != nil && !silent {
			_ = to.Close()
			return
		}
		if err != nil {
			return
		}
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence makes the open connections silent for good; new ones work.
func (f *forward) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
}

// setCut makes all connections silent, also new ones, until it is lifted.
func (f *forward) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	f.epoch++
}

func (f *forward) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.opened {
		_ = conn.Close()
	}
}
