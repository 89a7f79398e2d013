// Package transporter carries the inner messages: JSON over HTTP by net/http
// on both sides, with typed errors that tell whether anything was sent.
//
// # Usage
//
//	client := transporter.NewClient()
//	var answer messenger.SyncResponse
//	err := client.Call(ctx, "http://127.0.0.1:7101/inner/sync", request, &answer)
//	if errors.Is(err, transporter.ErrUnreachable) { ... } // nothing was sent
package transporter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	idlePerHost    = 64
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// maxInnerBytes bounds one inner message. It is above the largest packed document and
	// the snapshot around it, each encoded once more.
	maxInnerBytes = 32 << 20
	// innerPoolBytes bounds the inner answers under way together, beyond freeBytes each:
	// far below what the target allows a control process in all, 128 MB.
	innerPoolBytes = 32 << 20
)

// ErrUnreachable means that no connection could be made, so that no byte of
// the message left; check the address and that the process runs.
var ErrUnreachable = errors.New("the process could not be reached; check its address and that it runs")

// ErrRefused means that no process listens at the address; it comes with
// ErrUnreachable. Start the process, or wait for its successor.
var ErrRefused = errors.New("no process listens at the address; start it or wait for its successor")

// ErrBroken means that the exchange ended without a whole answer, so that its
// outcome is not known.
var ErrBroken = errors.New("the exchange broke; its outcome is not known")

// StatusError is an answer with a status of 300 or above.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Body
}

// Client sends inner messages. The answers that it decodes at a time hold a bounded
// amount of memory together.
type Client struct {
	http    *http.Client
	answers *Pool
}

// NewClient returns a client that keeps connections open between calls.
func NewClient(opts ...ClientOption) *Client {
	transport := newTransport(true)
	for _, opt := range opts {
		opt(transport)
	}
	return newClient(checkExchanges(transport))
}

// NewOneShotClient returns a client that opens a connection for each call, for
// calls that the HTTP library must never replay.
func NewOneShotClient() *Client { return newClient(checkExchanges(newTransport(false))) }

// NewOperatorClient returns a client for the calls of an operator, which control redirects
// to its leader. All other clients follow no redirect: it is an answer like any other.
func NewOperatorClient() *Client {
	c := NewClient()
	c.http.CheckRedirect = nil
	return c
}

func newClient(transport http.RoundTripper) *Client {
	keepRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: keepRedirect}, answers: NewPool(innerPoolBytes)}
}

func newTransport(keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:         dialCounted,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		// An endpoint in trouble may send a head without an end.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Do sends a request as it is; errors are ErrUnreachable or ErrBroken.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	response, _, err := c.DoOn(request)
	return response, err
}

// CheckListener opens and closes a connection. It returns ErrUnreachable if that
// fails, and ErrRefused with it if no process listens at the address.
func (c *Client) CheckListener(ctx context.Context, address string) error {
	conn, err := dialCounted(ctx, "tcp", address)
	if err != nil {
		return classify(err, false)
	}
	return conn.Close()
}

// classify tells a failed dial from any later failure. A dial that failed after another
// connection was opened proves nothing: the request may have been sent on that one.
func classify(err error, opened bool) error {
	if err == nil {
		return nil
	}
	var op *net.OpError
	if opened || !errors.As(err, &op) || op.Op != "dial" {
		return errors.Mark(err, ErrBroken)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = errors.Mark(err, ErrRefused)
	}
	return errors.Mark(err, ErrUnreachable)
}

// Post sends a message and returns the response with an open body; a status of
// 300 or above is returned as a StatusError.
func (c *Client) Post(ctx context.Context, url string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode the message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build the request"), ErrUnreachable)
	}
	request.Header.Set("Content-Type", "application/json")
	return c.checked(request)
}

func (c *Client) checked(request *http.Request) (*http.Response, error) {
	response, err := c.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxHeaderBytes))
	return nil, &StatusError{Status: response.StatusCode, Body: string(text)}
}

// Call sends a message and decodes the answer into out.
func (c *Client) Call(ctx context.Context, url string, in, out any) error {
	response, err := c.Post(ctx, url, in)
	if err != nil {
		return err
	}
	return c.decode(response, out)
}

// Get fetches a JSON answer into out.
func (c *Client) Get(ctx context.Context, url string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "build the request"), ErrUnreachable)
	}
	response, err := c.checked(request)
	if err != nil {
		return err
	}
	return c.decode(response, out)
}

func (c *Client) decode(response *http.Response, out any) error {
	body := pooledReader{body: response.Body, pool: c.answers, left: maxInnerBytes}
	defer body.release()
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(&body).Decode(out); err != nil {
		return errors.Mark(errors.Wrap(err, "decode the answer"), ErrBroken)
	}
	discard(response.Body)
	return nil
}
