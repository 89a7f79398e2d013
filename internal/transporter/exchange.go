package transporter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// maxSendWait bounds how long the end of a connection waits for the rest of a request that is
// still being sent: on a connection that was reset the next write fails at once.
const maxSendWait = 500 * time.Millisecond

// errReset is returned at the end of a connection on which the request could not be sent whole.
var errReset = errors.New("the connection ended while the request was sent; the answer is not whole")

// exchangeConn is a connection for requests, one after the other. It checks the heads of
// answers, and tells a connection that was reset from one that has ended.
type exchangeConn struct {
	net.Conn
	mu       sync.Mutex
	head     headChecker
	sending  bool // sending is set until the request was passed on to Write.
	writing  bool
	sent     chan struct{} // sent is closed once neither is set.
	writeErr error
}

func newExchangeConn(conn net.Conn) *exchangeConn {
	return &exchangeConn{Conn: conn, head: newHeadChecker(), sent: make(chan struct{})}
}

// checkExchanges makes all connections of a transport exchangeConns.
func checkExchanges(t *http.Transport) *http.Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newExchangeConn(conn), nil
	}
	return t
}

// begin expects the next request, and the head of its answer.
func (c *exchangeConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = newHeadChecker()
	c.sending, c.sent = true, make(chan struct{})
}

// endRequest reports that the request was passed on whole, or can't be.
func (c *exchangeConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
	c.noteSent()
}

// noteSent wakes a read that waits for the end of the request. The caller holds mu.
func (c *exchangeConn) noteSent() {
	if c.sending || c.writing {
		return
	}
	select {
	case <-c.sent:
	default:
		close(c.sent)
	}
}

// fault returns what is not sound in the heads of the answer, or "".
func (c *exchangeConn) fault() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.fault
}

// Write writes a part of a request.
func (c *exchangeConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	select {
	case <-c.sent:
		c.sent = make(chan struct{})
	default:
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if err != nil {
		c.writeErr = err
	}
	c.noteSent()
	return n, err
}

// Read reads a part of an answer. The system tells of a reset only once, to a write or to a
// read: where a write got it, reads find the connection at its end. So the end of an answer is
// one only once the request was sent.
func (c *exchangeConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	if n > 0 {
		c.head.write(data[:n])
	}
	answered, sent := c.head.read > 0, c.sent
	if !c.sending && !c.writing {
		sent = nil
	}
	c.mu.Unlock()
	if !errors.Is(err, io.EOF) || !answered {
		return n, err
	}
	if sent != nil {
		timer := time.NewTimer(maxSendWait)
		defer timer.Stop()
		select {
		case <-sent:
		case <-timer.C:
			return n, errReset
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, errors.Mark(errors.Wrap(c.writeErr, "send the request"), errReset)
	}
	return n, err
}

// soundBody checks the names of the trailers at the end of a body.
type soundBody struct {
	io.ReadCloser
	response   *http.Response
	connection *Connection
}

func (b soundBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if fault := checkNames(b.response.Trailer); fault != "" {
			b.connection.Abandon()
			return n, unsoundError(fault)
		}
	}
	return n, err
}

// checkSound returns an error if the answer of an exchange is not sound.
func checkSound(response *http.Response, connection *Connection) error {
	fault := checkResponse(response)
	if c, ok := connection.conn.(*exchangeConn); ok && fault == "" {
		fault = c.fault()
	}
	if fault != "" {
		return errors.Wrapf(unsoundError(fault), "status %03d", response.StatusCode)
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = soundBody{response.Body, response, connection}
	}
	return nil
}

// unsoundError returns the error for an answer with a fault, and counts it.
func unsoundError(fault string) error {
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_unsound_answers_total{fault=%q}`, fault)).Inc()
	return errors.Mark(errors.Mark(errors.Newf("the %s of the answer is not sound", fault), ErrUnsound), ErrBroken)
}
