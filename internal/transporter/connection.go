package transporter

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"papayaseam/internal/timekeeper"
)

// Connection is the connection of one exchange. It is valid once the exchange has
// returned.
type Connection struct {
	conn   net.Conn
	reused bool
	sentAt time.Duration
}

// Reused reports whether the connection carried an earlier exchange, so that what is
// read from it may belong to that one.
func (c *Connection) Reused() bool { return c.reused }

// Opened reports whether a connection was obtained. The HTTP library may replay a
// request that was sent, so a failure to connect proves that nothing was sent only if
// none was; errors are marked ErrUnreachable only then.
func (c *Connection) Opened() bool { return c.conn != nil }

// SentAt returns when the request began to be written, by the clock of timekeeper; 0 if
// there was no connection to write it to.
func (c *Connection) SentAt() time.Duration { return c.sentAt }

// Abandon closes the connection, so that no later exchange reads from it.
func (c *Connection) Abandon() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// DoOn is Do, and returns the connection of the exchange too. An answer that is not sound is
// ErrUnsound, with ErrBroken: it says nothing on whether the request ran. So is one whose status
// is not final, since no request asks for another protocol.
func (c *Client) DoOn(request *http.Request) (*http.Response, *Connection, error) {
	connection := &Connection{}
	var current atomic.Pointer[exchangeConn] // current is used by the library's goroutines too.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection.conn, connection.reused, connection.sentAt = info.Conn, info.Reused, timekeeper.Now()
		if c, ok := info.Conn.(*exchangeConn); ok {
			c.begin()
			current.Store(c)
		}
	}, WroteRequest: func(httptrace.WroteRequestInfo) {
		if c := current.Load(); c != nil {
			c.endRequest()
		}
	}}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	err = classify(err, connection.Opened())
	if err != nil {
		return response, connection, err
	}
	if err := checkSound(response, connection); err != nil {
		connection.Abandon()
		_ = response.Body.Close()
		return nil, connection, err
	}
	return response, connection, nil
}
