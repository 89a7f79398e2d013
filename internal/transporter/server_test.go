package transporter

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runServer starts a server on a free port, which waits for answers up to the given
// time when it ends. It returns how to end the server and where its end is reported.
func runServer(t *testing.T, closeTimeout time.Duration, handle http.HandlerFunc) (address string, end context.CancelFunc, ended <-chan error) {
	s, err := Listen("127.0.0.1:0", handle)
	assert.NilError(t, err)
	s.closeTimeout = closeTimeout
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s.Address(), cancel, done
}

// awaitRefusal returns when nobody listens at the address.
func awaitRefusal(address string) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// Guards against an answer that is cut because its server ends between the handler's
// last write and the bytes on the connection.
func TestEndingServerFinishesAnswersUnderWay(t *testing.T) {
	writing, release := make(chan struct{}), make(chan struct{})
	address, end, ended := runServer(t, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
		close(writing)
		<-release
	})
	go func() {
		<-writing
		end()
		awaitRefusal(address)
		close(release)
	}()
	response, err := http.Get("http://" + address + "/")
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, string(body), "whole")
	assert.NilError(t, <-ended)
}

// Guards against a process that does not end because a handler does not.
func TestEndingServerClosesConnectionsOfHandlersThatDoNotEnd(t *testing.T) {
	serving := make(chan struct{})
	address, end, ended := runServer(t, time.Millisecond, func(_ http.ResponseWriter, r *http.Request) {
		close(serving)
		<-r.Context().Done()
	})
	go func() {
		<-serving
		end()
	}()
	response, err := http.Get("http://" + address + "/")
	if err == nil {
		_ = response.Body.Close()
	}
	assert.ErrorContains(t, err, "EOF")
	assert.NilError(t, <-ended)
}
