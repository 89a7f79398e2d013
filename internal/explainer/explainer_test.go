package explainer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const entryLog = `not a line of pairs
time=2026-12-04T08:00:04.000Z level=info msg=request process=entry-1 attempt=a0 outcome=answered endpoint=i-1 group=large/7 total-ms=900
time=2026-12-04T08:00:05.700Z level=info msg="stream broke" process=entry-1 attempt=a1 endpoint=i-1 group=large/7 verdict=2 begun=true err="the group lost a member"
time=2026-12-04T08:00:06.900Z level=info msg=request process=entry-1 attempt=a1 outcome=answered endpoint=i-9 group=large/8 first-ms=180 gap-ms=640 total-ms=1900
`

const controlLog = `  5.4 node-1 time=2026-12-04T08:00:05.500Z level=info msg=endpoint process=control-1 id=i-2 answers=false
time=2026-12-04T08:00:05.600Z level=info msg=group process=control-1 name=large/7 state=closing reason="member i-2 does not answer"
time=2026-12-04T08:00:05.650Z level=info msg=order process=control-1 endpoint=i-1 op=leave group=large/7
time=2026-12-04T07:59:00.000Z level=info msg=group process=control-1 name=large/7 state=open
time=2026-12-04T08:00:05.660Z level=info msg=group process=control-1 name=small/3 state=closing
`

func TestTimelineOverTwoProcesses(t *testing.T) {
	e := New("a1")
	assert.NilError(t, e.Read("entry-1.log", strings.NewReader(entryLog)))
	assert.NilError(t, e.Read("control-1.log", strings.NewReader(controlLog)))
	golden.Assert(t, e.Timeline(), "timeline.golden")
}

func TestUnknownRequestNamesTheRemedy(t *testing.T) {
	e := New("a7")
	assert.NilError(t, e.Read("entry-1.log", strings.NewReader(entryLog)))
	assert.Assert(t, strings.Contains(e.Timeline(), "read the logs of all entries"))
}
