package gatekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a short grace of which requests get too little, because the time that
// the answers at its end need does not shrink with it.
func TestRequestsKeepFiveSixthsOfTheGrace(t *testing.T) {
	const endOfProcess = 250 * time.Millisecond
	for _, grace := range []time.Duration{2, 3, 5, 8, 10, 30, 3600} {
		grace *= time.Second
		left := grace - endOfProcess
		kept := left - lastAnswersMargin(left)
		assert.Assert(t, kept >= grace*5/6, "%v of %v", kept, grace)
		assert.Assert(t, kept >= left-maxLastAnswersMargin, "%v of %v", kept, grace)
	}
}
