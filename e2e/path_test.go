package e2e

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWholePath runs both deployments in small: a ticket, model answers with
// and without streaming, and an order; all of it twice in the same way.
func TestWholePath(t *testing.T) {
	for name, d := range map[string]deployment{"harrow-quill": harrowQuill(), "taisetsu": taisetsu()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, d)
			s.declare(d, 2)
			for round := range 2 {
				for entry := range 2 {
					prompt := "a clue for the old light"
					streamed := s.chat(entry, d, prompt, 20, true, nil)
					assert.NilError(t, streamed.broken)
					assert.Equal(t, streamed.text, expected(prompt, 20))
					assert.Assert(t, streamed.whole)
					plain := s.chat(entry, d, prompt, 20, false, nil)
					assert.Equal(t, plain.text, expected(prompt, 20))
					order := s.order(entry, d, "two maps", "")
					assert.Equal(t, order.status, 201)
					assert.Assert(t, strings.Contains(order.text, `"placed":"two maps"`), order.text)
				}
				assert.Equal(t, s.runs(d.service), 2*(round+1))
			}
			out, code := s.command("status")
			assert.Equal(t, code, 0, out)
			assert.Assert(t, strings.Contains(out, "serving"), out)
		})
	}
}
