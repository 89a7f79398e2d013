package gatekeeper_test

import (
	"strings"
	"testing"
	"time"
)

// TestAnswerWithoutFinalStatusIsBroken guards against a client that gets a closed
// connection, or a 101 that it did not ask for, from an endpoint whose status is none
// or not final.
func TestAnswerWithoutFinalStatusIsBroken(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Switching Protocols", "HTTP/1.0 101 Switching Protocols"} {
		t.Run(line, func(t *testing.T) {
			s, c := newSystem(t, time.Minute), &cutter{t: t}
			for range 8 {
				s.addEndpoint("desk", c.serve)
				s.addEndpoint("writers", c.serve)
			}
			s.start()
			client := &rawClient{t: t, address: strings.TrimPrefix(s.server.URL, "http://")}
			defer client.close()
			checkCut(client, c, line+"\r\nAttempt: "+cutAttempt+"\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", false)
		})
	}
}
