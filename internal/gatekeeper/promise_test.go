package gatekeeper_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusalWithoutAStatementPromisesNothing guards against a status that tells a client
// to send its request again, from an endpoint that may have run it.
func TestRefusalWithoutAStatementPromisesNothing(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for _, c := range []struct {
			service, path string
			want          int
		}{
			{"desk", "/orders/1", http.StatusBadGateway},
			{"writers", "/once/1", http.StatusBadGateway},
			{"desk", "/look/1", status},
		} {
			s := newSystem(t, time.Minute)
			e := s.addEndpoint(c.service, respond(status, "busy"))
			s.start()
			response, _, err := s.call(http.MethodPost, c.path, "x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.want, "%d at %s", status, c.path)
			assert.Equal(t, response.Header.Get("Signature") != "", c.want == status, "%d at %s", status, c.path)
			assert.Equal(t, e.requestCount(), 1, "%d at %s", status, c.path)
		}
	}
}
