package gatekeeper_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/exposer"
	"papayaseam/internal/limiter"
	"papayaseam/internal/transporter"

	"gotest.tools/v3/assert"
)

// BenchmarkForwardedRequest measures a small request through the server of the clients'
// port to an endpoint, on a connection that is kept open.
func BenchmarkForwardedRequest(b *testing.B) {
	s := newSystem(b, time.Hour)
	s.addEndpoint("desk", respond(http.StatusOK, "printed"))
	s.start()
	limits := transporter.NewLimits(limiter.NewBounds(), exposer.NewLogger(io.Discard, "entry"))
	server, err := transporter.Listen("127.0.0.1:0", s.entry, transporter.WithLimits(limits, limiter.PortMain))
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- server.Run(ctx) }()
	go func() { ended <- limits.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	body := strings.Repeat("x", 600)
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/look/1", strings.NewReader(body))
		assert.NilError(b, err)
		r.Host = "a.example"
		r.Header.Set("Key", "k1")
		r.Header.Set("Attempt", "a1")
		response, err := http.DefaultClient.Do(r)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		assert.Equal(b, response.StatusCode, http.StatusOK)
	}
}
