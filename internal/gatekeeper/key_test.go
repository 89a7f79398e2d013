package gatekeeper_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKeyTakenAwayWhileABodyArrivesIsRefused guards against a body that takes longer to
// arrive than a removed key may work: its request is sent when its last byte is.
func TestKeyTakenAwayWhileABodyArrivesIsRefused(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	body, sender := io.Pipe()
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/orders/1", body)
	assert.NilError(t, err)
	r.Host = "a.example"
	r.Header.Set("Key", "k1")
	r.Header.Set("Attempt", "slow")
	answered := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			answered <- 0
			return
		}
		_ = response.Body.Close()
		answered <- response.StatusCode
	}()
	_, err = sender.Write([]byte("first part"))
	assert.NilError(t, err)
	// The entry has admitted the head before the key is taken away.
	time.Sleep(100 * time.Millisecond)
	s.declare(4)
	waitUntil(t, func() bool {
		response, _, err := s.call(http.MethodPost, "/orders/2", "x")
		return err == nil && response.StatusCode == http.StatusUnauthorized
	})
	before := e.requestCount()
	_, err = sender.Write([]byte("last part"))
	assert.NilError(t, err)
	assert.NilError(t, sender.Close())
	assert.Equal(t, <-answered, http.StatusUnauthorized)
	assert.Equal(t, e.requestCount(), before)
}
