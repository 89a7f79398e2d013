package transporter

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestClientsFollowNoRedirect guards against requests that nobody sent, to wherever an
// answer names.
func TestClientsFollowNoRedirect(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	}))
	defer server.Close()
	for _, client := range []*Client{NewClient(), NewOneShotClient()} {
		var status *StatusError
		err := client.Call(t.Context(), server.URL, struct{}{}, &struct{}{})
		assert.Assert(t, errors.As(err, &status), "%v", err)
		assert.Equal(t, status.Status, http.StatusSeeOther)
	}
	assert.Equal(t, arrived.Load(), int64(2))
}

// TestFailedDialAfterASentRequestIsNotUnreachable guards against "nothing was sent" where
// the library repeated a request that was sent, and could not connect again.
func TestFailedDialAfterASentRequestIsNotUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		reader := bufio.NewReader(conn)
		_, err = http.ReadRequest(reader)
		if err == nil {
			_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
		}
		if err == nil {
			_, err = http.ReadRequest(reader)
		}
		_ = l.Close()
		_ = conn.Close()
		served <- err
	}()
	client := NewClient()
	url := "http://" + l.Addr().String() + "/"
	assert.NilError(t, client.Get(t.Context(), url, &struct{}{}))
	err = client.Get(t.Context(), url, &struct{}{})
	assert.NilError(t, <-served)
	assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrUnreachable), "%v", err)
}
