package transporter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"papayaseam/internal/limiter"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The states of a connection.
const (
	stateWaiting   int32 = iota // stateWaiting means that no request is in progress.
	stateBusy                   // stateBusy means that a handler runs.
	stateFinishing              // stateFinishing means that the answer is written and the rest of the body read.
)

// writePieceBytes is how much is written at once: what a reader must take within the bound of
// a write.
const writePieceBytes = 64 << 10

// errHeads ends a connection whose head is large while heads hold all they may.
var errHeads = errors.New("heads hold all the memory set aside for them")

// port is the connections of one listener.
type port struct {
	limits *Limits
	most   int

	mu          sync.Mutex
	connections map[*limitedConn]struct{}
	addresses   map[string]int // addresses counts the connections by address; nil without such a bound.
	compared    []*limitedConn // compared and views are used again by each comparison: a flood makes many.
	views       []limiter.Connection
}

// limitedListener accepts connections within the limits.
type limitedListener struct {
	net.Listener
	port *port
}

// Accept returns the next connection that the limits admit.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: conn, port: l.port}
		if c.port.add(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// add admits a connection. Where there are too many, it closes the one that has waited longest,
// or refuses the new one if all are in use.
func (p *port) add(c *limitedConn) bool {
	if p.limits.bounds.PerAddress > 0 {
		c.address, _, _ = net.SplitHostPort(c.RemoteAddr().String())
	}
	p.mu.Lock()
	if c.address != "" && p.addresses[c.address] >= p.limits.bounds.PerAddress {
		p.mu.Unlock()
		addressRefusals.Inc()
		return false
	}
	var victim *limitedConn
	if len(p.connections) >= p.most {
		if victim = p.longestWaiting(); victim == nil {
			p.mu.Unlock()
			connectionRefusals.Inc()
			return false
		}
		p.forget(victim)
	}
	c.since.Store(int64(p.limits.now()))
	p.connections[c] = struct{}{}
	if c.address != "" {
		p.addresses[c.address]++
	}
	p.mu.Unlock()
	if victim != nil {
		connectionEvictions.Inc()
		_ = victim.Close()
	}
	return true
}

// longestWaiting returns the connection to close for another one; mu is held.
func (p *port) longestWaiting() *limitedConn {
	p.compared, p.views = p.view(p.compared[:0], p.views[:0])
	defer clear(p.compared)
	if i := limiter.LongestWaiting(p.views); i >= 0 {
		return p.compared[i]
	}
	return nil
}

// view appends the connections and what is known of them; mu is held.
func (p *port) view(connections []*limitedConn, views []limiter.Connection) ([]*limitedConn, []limiter.Connection) {
	for c := range p.connections {
		connections = append(connections, c)
		views = append(views, limiter.Connection{
			Waiting: c.state.Load() == stateWaiting, Served: c.served.Load(),
			Since: time.Duration(c.since.Load()), BlockedSince: time.Duration(c.writingSince.Load()),
		})
	}
	return connections, views
}

// forget drops a connection; mu is held.
func (p *port) forget(c *limitedConn) {
	if _, ok := p.connections[c]; !ok {
		return
	}
	delete(p.connections, c)
	if c.address == "" {
		return
	}
	if p.addresses[c.address]--; p.addresses[c.address] <= 0 {
		delete(p.addresses, c.address)
	}
}

// limitedConn is an accepted connection.
type limitedConn struct {
	net.Conn
	port         *port
	address      string // address is the client's address, if connections are counted by it.
	state        atomic.Int32
	served       atomic.Bool
	since        atomic.Int64         // since is when the state was entered.
	writingSince atomic.Int64         // writingSince is when the write in progress began; 0 if there is none.
	body         atomic.Pointer[Body] // body is the body of the request in progress; nil if it is not read.
	unreadSince  atomic.Int64         // unreadSince is when a request with a body began that is not read; 0 if there is none.
	head         atomic.Int64         // head counts the bytes that arrived for the next head.
	headHeld     atomic.Int64         // headHeld is what the head holds of the bound of all heads.
}

// Read reads, and counts the bytes of a head.
func (c *limitedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.state.Load() == stateWaiting {
		if over := c.head.Add(int64(n)) - limiter.FreeHeadBytes; over > 0 && !c.holdHead(min(over, int64(n))) {
			headRefusals.Inc()
			return 0, errHeads
		}
	}
	return n, err
}

// holdHead counts bytes of a large head twice: as they arrive and as fields.
func (c *limitedConn) holdHead(n int64) bool {
	c.headHeld.Add(2 * n)
	return c.port.limits.headBytes.Add(2*n) <= int64(c.port.limits.bounds.HeadBytes())
}

func (c *limitedConn) releaseHead() {
	c.head.Store(0)
	if held := c.headHeld.Swap(0); held > 0 {
		c.port.limits.headBytes.Add(-held)
	}
}

// Write writes in pieces, so that a reader that takes nothing can be told from a slow one.
func (c *limitedConn) Write(data []byte) (int, error) {
	written := 0
	for {
		piece := data[written:min(len(data), written+writePieceBytes)]
		c.writingSince.Store(int64(c.port.limits.now()))
		n, err := c.Conn.Write(piece)
		c.writingSince.Store(0)
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// CloseWrite ends the writing side, so that a client that still sends sees the answer.
func (c *limitedConn) CloseWrite() error {
	// Dialled connections must not offer this to the HTTP library, so counted does not.
	if conn, ok := c.Conn.(counted); ok {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			return tcp.CloseWrite()
		}
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.port.mu.Lock()
	c.port.forget(c)
	c.port.mu.Unlock()
	c.releaseHead()
	return err
}

func (c *limitedConn) enter(state int32) {
	c.since.Store(int64(c.port.limits.now()))
	c.state.Store(state)
}

// beginRequest and endRequest surround a handler.
func (c *limitedConn) beginRequest(hasBody bool) {
	if hasBody {
		c.unreadSince.Store(int64(c.port.limits.now()))
	}
	c.state.Store(stateBusy)
	c.served.Store(true)
	c.releaseHead()
}

func (c *limitedConn) endRequest() {
	if c.unreadSince.Swap(0) > 0 {
		// The HTTP library reads a small rest of the body before the connection's next request.
		_ = c.SetReadDeadline(time.Now().Add(refusedTime))
	}
	c.body.Swap(nil).Release()
	c.enter(stateFinishing)
}

type connectionKey struct{}

// connectionOf returns the connection of a request; nil without limits.
func connectionOf(ctx context.Context) *limitedConn {
	c, _ := ctx.Value(connectionKey{}).(*limitedConn)
	return c
}

// limit makes a server keep to the limits.
func (l *Limits) limit(s *Server, use limiter.Port) {
	p := &port{limits: l, most: l.bounds.Connections(use), connections: map[*limitedConn]struct{}{}}
	if l.bounds.PerAddress > 0 {
		p.addresses = map[string]int{}
	}
	l.mu.Lock()
	l.ports = append(l.ports, p)
	l.mu.Unlock()
	s.port = p
	s.server.ReadHeaderTimeout = l.bounds.HeadTime
	s.server.IdleTimeout = l.bounds.IdleTime
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	next := s.server.Handler
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r.Context()); c != nil {
			c.beginRequest(r.ContentLength != 0)
			defer c.endRequest()
		}
		next.ServeHTTP(w, r)
	})
}

// boundBuffers bounds the system's buffers of the connections that a listener accepts, and how
// long their bytes stay unacknowledged.
func (l *Limits) boundBuffers(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		// The system doubles the sizes for its own records. With half of the sending size a
		// transfer of 4 MB over loopback took 0.9 s in place of 1.3 ms, as the sender waited
		// for acknowledgements.
		failed = errors.CombineErrors(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, limiter.ReceiveBytes/2),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, limiter.SendBytes/2))
		// A client that does not take what was written for it before its answer ended.
		failed = errors.CombineErrors(failed,
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.bounds.WriteTime/time.Millisecond)))
	})
	return errors.CombineErrors(err, failed)
}
