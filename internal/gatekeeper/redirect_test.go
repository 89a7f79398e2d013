package gatekeeper_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRedirectOfAnEndpointIsItsAnswer guards against an entry that follows a redirect: a
// request that has run is sent to another endpoint and its client is told that it has not,
// or an endpoint gets a request that nobody sent.
func TestRedirectOfAnEndpointIsItsAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nowhere := "http://" + l.Addr().String() + "/receipt"
	assert.NilError(t, l.Close())
	for _, location := range []string{"/receipt", nowhere} {
		s := newSystem(t, time.Minute)
		for range 2 {
			s.addEndpoint("desk", func(w http.ResponseWriter, r *http.Request) {
				status := map[string]int{"/orders/301": 301, "/orders/302": 302, "/orders/303": 303, "/orders/307": 307, "/look/308": 308}[r.URL.Path]
				if status == 0 {
					return
				}
				w.Header().Set("Location", location)
				respond(status, "moved")(w, r)
			})
		}
		s.start()
		for i, c := range []struct {
			path   string
			status int
		}{{"/orders/301", 301}, {"/orders/302", 302}, {"/orders/303", 303}, {"/orders/307", 307}, {"/look/308", 308}} {
			response, body, err := s.call(http.MethodPost, c.path, "x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status, c.path)
			assert.Equal(t, body, "moved", c.path)
			assert.Equal(t, response.Header.Get("Location"), location, c.path)
			assert.Assert(t, response.Header.Get("Signature") != "", c.path)
			assert.Equal(t, s.endpoints[0].requestCount()+s.endpoints[1].requestCount(), i+1, c.path)
		}
	}
}
