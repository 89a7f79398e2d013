package supervisor

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnsoundAnswerIsNeverComplete guards against reporting an answer as complete that is none in
// the protocol, or whose end is not certain.
func TestUnsoundAnswerIsNeverComplete(t *testing.T) {
	const rest = "Content-Length: 13\r\n\r\ndata: whole\n\n"
	c := &cutter{t: t}
	s := newServing(t, c.serve)
	for name, answer := range map[string]string{
		"status 600":             "HTTP/1.1 600 X\r\n" + rest,
		"blank in a name":        "HTTP/1.1 200 OK\r\nFoo Bar: x\r\n" + rest,
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\ndata: whole\n\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nFoo\x01: x\r\n" + rest,
		"first line with blank":  "HTTP/1.1 200 OK\r\n Foo: x\r\n" + rest,
		"chunks in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\ndata: whole\n\n\r\n0\r\n\r\n",
	} {
		for _, repeatable := range []bool{false, true} {
			c.set(answer, false)
			assert.Equal(t, verdict(s, fmt.Sprint(name, repeatable), repeatable), "may-have-run", name)
			assert.Equal(t, c.count(), 1, name)
		}
	}
}
