package transporter_test

import (
	"context"
	"net"
	"testing"

	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestGoneProcessIsToldFromBrokenExchange calls an address at which nobody
// listens any more, and one that closes the connection without an answer.
func TestGoneProcessIsToldFromBrokenExchange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			err = conn.Close()
		}
		closed <- err
	}()
	client := transporter.NewClient()
	var answer struct{}
	err = client.Call(context.Background(), "http://"+l.Addr().String()+"/", struct{}{}, &answer)
	assert.Assert(t, errors.Is(err, transporter.ErrBroken) && !errors.Is(err, transporter.ErrUnreachable), "%v", err)
	assert.NilError(t, <-closed)
	assert.NilError(t, l.Close())
	err = client.Call(context.Background(), "http://"+l.Addr().String()+"/", struct{}{}, &answer)
	assert.Assert(t, errors.Is(err, transporter.ErrRefused) && errors.Is(err, transporter.ErrUnreachable), "%v", err)
}
