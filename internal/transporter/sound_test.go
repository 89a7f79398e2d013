package transporter

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// peer is a server that does with each connection what a test says, beside HTTP.
type peer struct {
	url   string
	ended chan error // ended receives the end of each connection's function.
}

// startPeer starts a peer that handles one connection after the other.
func startPeer(t *testing.T, handle func(conn *net.TCPConn) error) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &peer{url: "http://" + l.Addr().String() + "/", ended: make(chan error, 1000)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.ended <- handle(conn.(*net.TCPConn))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return p
}

// answerWith answers the first request of a connection with some bytes, and returns nil once
// the client has closed the connection.
func answerWith(answer string) func(conn *net.TCPConn) error {
	return func(conn *net.TCPConn) error {
		buffer := make([]byte, 4096)
		if _, err := conn.Read(buffer); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			return err
		}
		_, err := conn.Read(buffer)
		if errors.Is(err, io.EOF) || err != nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
			return nil
		}
		return errors.New("the client keeps the connection")
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

const soundRest = "Content-Length: 2\r\n\r\n{}"

// unsoundAnswers are answers that are none in the protocol, by what is wrong.
var unsoundAnswers = map[string]string{
	"status 000":                    "HTTP/1.1 000 X\r\n" + soundRest,
	"status 099":                    "HTTP/1.1 099 X\r\n" + soundRest,
	"status with a sign":            "HTTP/1.1 +20 X\r\n" + soundRest,
	"status 600":                    "HTTP/1.1 600 X\r\n" + soundRest,
	"status 999":                    "HTTP/1.1 999 X\r\n" + soundRest,
	"status of two digits":          "HTTP/1.1 20 X\r\n" + soundRest,
	"status of four digits":         "HTTP/1.1 2000 X\r\n" + soundRest,
	"unasked protocol":              "HTTP/1.1 101 X\r\n" + soundRest,
	"version 2.0":                   "HTTP/2.0 200 OK\r\n" + soundRest,
	"version 9.9":                   "HTTP/9.9 200 OK\r\n" + soundRest,
	"blank before the status line":  " HTTP/1.1 200 OK\r\n" + soundRest,
	"blank in a name":               "HTTP/1.1 200 OK\r\nFoo Bar: x\r\n" + soundRest,
	"blank before the colon":        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
	"tab in a name":                 "HTTP/1.1 200 OK\r\nFoo\tBar: x\r\n" + soundRest,
	"control byte in a name":        "HTTP/1.1 200 OK\r\nFoo\x01: x\r\n" + soundRest,
	"zero byte in a name":           "HTTP/1.1 200 OK\r\nFoo\x00: x\r\n" + soundRest,
	"letter beyond ASCII in a name": "HTTP/1.1 200 OK\r\nFo\xc3\xb6: x\r\n" + soundRest,
	"separator in a name":           "HTTP/1.1 200 OK\r\nFoo(1): x\r\n" + soundRest,
	"no name":                       "HTTP/1.1 200 OK\r\n: x\r\n" + soundRest,
	"no colon":                      "HTTP/1.1 200 OK\r\nFoo\r\n" + soundRest,
	"first line begins with blank":  "HTTP/1.1 200 OK\r\n Foo: x\r\n" + soundRest,
	"first line begins with tab":    "HTTP/1.1 200 OK\r\n\tFoo: x\r\n" + soundRest,
	"control byte in a value":       "HTTP/1.1 200 OK\r\nFoo: a\x02b\r\n" + soundRest,
	"carriage return in a value":    "HTTP/1.1 200 OK\r\nFoo: a\rBar: b\r\n" + soundRest,
	"interim head":                  "HTTP/1.1 103 X\r\nFoo Bar: x\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
	"length and chunks":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
	"length with a sign":            "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}",
	"unknown coding":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"length of no body":             "HTTP/1.1 204 No Content\r\n" + soundRest,
	"blank in the name of a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2\r\n{}\r\n0\r\nFoo Bar: x\r\n\r\n",
}

// soundAnswers are answers that a client must take, though they are unusual.
var soundAnswers = map[string]string{
	"no reason":           "HTTP/1.1 200\r\n" + soundRest,
	"newlines only":       "HTTP/1.1 200 OK\nFoo: x\nContent-Length: 2\n\n{}",
	"folded value":        "HTTP/1.1 200 OK\r\nFoo: a\r\n \tb\r\n" + soundRest,
	"same length twice":   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + soundRest,
	"bytes beyond ASCII":  "HTTP/1.1 200 OK\r\nFoo: \xc3\xb6\r\n" + soundRest,
	"all kinds of tokens": "HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9: x\r\n" + soundRest,
	"interim heads":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
	"chunk extension":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nSum: 1\r\n\r\n",
	"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + soundRest,
}

// TestUnsoundAnswerIsBroken guards against an answer that is none in the protocol and is passed
// on, or read as another one than the server's: for every way to call, with the outcome of the
// exchange unknown and its connection closed.
func TestUnsoundAnswerIsBroken(t *testing.T) {
	ways := map[string]func(c *Client, url string) error{
		"request": func(c *Client, url string) error {
			request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
			assert.NilError(t, err)
			response, err := c.Do(request)
			if err != nil {
				return err
			}
			_, err = io.ReadAll(response.Body)
			return errors.CombineErrors(err, response.Body.Close())
		},
		"call": func(c *Client, url string) error {
			var out struct{}
			return c.Call(t.Context(), url, struct{}{}, &out)
		},
		"get": func(c *Client, url string) error {
			var out struct{}
			return c.Get(t.Context(), url, &out)
		},
	}
	clients := map[string]func() *Client{"kept": func() *Client { return NewClient() }, "one-shot": NewOneShotClient, "operator": NewOperatorClient}
	for name, answer := range unsoundAnswers {
		p := startPeer(t, answerWith(answer))
		for way, call := range ways {
			if way != "request" && strings.Contains(name, "trailer") {
				continue // A message ends with its JSON; nothing of what follows is used.
			}
			for kind, newClient := range clients {
				err := call(newClient(), p.url)
				assert.Assert(t, errors.Is(err, ErrBroken) || way == "request" && errors.Is(err, ErrUnsound), "%s, %s, %s: %v", name, way, kind, err)
				assert.Assert(t, !errors.Is(err, ErrUnreachable), "%s, %s, %s: %v", name, way, kind, err)
				assert.NilError(t, <-p.ended, "%s, %s, %s", name, way, kind)
			}
		}
	}
}

// TestUnusualSoundAnswerIsTaken guards against answers that are refused although the protocol
// allows them.
func TestUnusualSoundAnswerIsTaken(t *testing.T) {
	for name, answer := range soundAnswers {
		p := startPeer(t, answerWith(answer))
		request, err := http.NewRequest(http.MethodPost, p.url, strings.NewReader("x"))
		assert.NilError(t, err)
		response, connection, err := NewClient().DoOn(request)
		assert.NilError(t, err, name)
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err, name)
		assert.Equal(t, string(data), "{}", name)
		connection.Abandon()
	}
}

// upload sends a request with a body of some bytes and returns the answer as far as it came.
func upload(t *testing.T, c *Client, url string, size int) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(make([]byte, size))))
	assert.NilError(t, err)
	request.ContentLength = int64(size)
	response, err := c.Do(request)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), errors.CombineErrors(err, response.Body.Close())
}

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer without a length
// that is taken for all of it, since the reset of its connection was told to the upload: for
// uploads of several sizes, and resets at several moments.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	for _, size := range []int{1, 4 << 10, 64 << 10, 256 << 10, 1 << 20, 4 << 20, 16 << 20} {
		for _, wait := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
			for _, early := range []int{1, 64 << 10} {
				p := startPeer(t, func(conn *net.TCPConn) error {
					if _, err := io.ReadAtLeast(conn, make([]byte, early), min(early, size)); err != nil {
						return err
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(wait)
					return conn.SetLinger(0)
				})
				for range 4 {
					status, body, err := upload(t, NewClient(), p.url, size)
					assert.Assert(t, err != nil, "upload of %d bytes, reset after %s: status %d, %q as a whole answer", size, wait, status, body)
					assert.NilError(t, <-p.ended)
				}
			}
		}
	}
}

// TestAnswerThatEndsWithItsConnectionIsWhole guards against sound answers without a length that
// count as cut: after a whole upload, and where the server reads on after its answer.
func TestAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	for _, size := range []int{1, 4 << 10, 32 << 10, 64 << 10, 1 << 20} {
		for _, halfClosed := range []bool{false, true} {
			p := startPeer(t, func(conn *net.TCPConn) error {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return err
				}
				if halfClosed {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
					_ = conn.CloseWrite()
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return err
				}
				if !halfClosed {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				}
				return nil
			})
			for i := range 40 {
				status, body, err := upload(t, NewClient(), p.url, size)
				assert.NilError(t, err, "upload of %d bytes, read on %t, %d", size, halfClosed, i)
				assert.Equal(t, fmt.Sprint(status, body), "200whole")
				assert.NilError(t, <-p.ended)
			}
		}
	}
}

// TestEarlyAnswerWithALengthIsWhole guards against an answer that counts as cut although its
// length shows that it is whole, since its connection was reset after it.
func TestEarlyAnswerWithALengthIsWhole(t *testing.T) {
	p := startPeer(t, func(conn *net.TCPConn) error {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return err
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 X\r\nContent-Length: 5\r\n\r\nwhole")
		time.Sleep(20 * time.Millisecond)
		return conn.SetLinger(0)
	})
	for range 20 {
		status, body, err := upload(t, NewClient(), p.url, 4<<20)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(status, body), "413whole")
		assert.NilError(t, <-p.ended)
	}
}
