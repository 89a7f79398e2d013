package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func run(args ...string) (stdout, stderr string, code int) {
	var out, errs bytes.Buffer
	code = Main(append([]string{"papayaseam"}, args...), &out, &errs)
	return out.String(), errs.String(), code
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[ticket]\nnumber = x\n"), 0o600))
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"version"}, ExitDone},
		{[]string{"bogus"}, ExitUsage},
		{[]string{"status", "--output", "yaml"}, ExitUsage},
		{[]string{"settings", "check"}, ExitUsage},
		{[]string{"ticket", "check", bad}, ExitUsage},
		{[]string{"ticket", "check", "no-such-file.ini"}, ExitFailed},
		{[]string{"ticket", "show", "seven"}, ExitUsage},
	} {
		_, stderr, code := run(c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, stderr)
	}
}

func TestDigestOfAKey(t *testing.T) {
	out, _, _ := run("ticket", "key", "papaya-demo-key")
	ticket, err := os.ReadFile("../../examples/tickets/0001-chart-desk.ini")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(ticket), strings.TrimSpace(out)))
}

func TestExampleTicketsAreGood(t *testing.T) {
	files, err := filepath.Glob("../../examples/tickets/*.ini")
	assert.NilError(t, err)
	for _, file := range files {
		_, stderr, code := run("ticket", "check", file)
		assert.Equal(t, code, ExitDone, stderr)
	}
}

func TestStatusAsText(t *testing.T) {
	var out bytes.Buffer
	report := messenger.StatusReport{
		Leader: "control-1@127.0.0.1:7101", Term: 3, Index: 42, Voters: []string{"control-1@127.0.0.1:7101"},
		FreeAccelerators: 1, StrandedAccelerators: 1, Holds: []string{"3f0c"},
		Groups: []messenger.GroupState{
			{Name: "verse-8b-0", Model: "verse-8b", Epoch: 7, Active: true, Ready: true, Members: []string{"i1", "i2"}, Parallel: 8, FailureDomain: "camden", FabricDomain: "f1"},
			{Name: "verse-8b-1", Model: "verse-8b", Epoch: 9, Active: true, Members: []string{"i3", "i4"}, Parallel: 8, FailureDomain: "bangor", FabricDomain: "f2"},
		},
		Processes: []messenger.ProcessState{
			{Instance: "entry-1", Role: "entry", FailureDomain: "camden", AgeMs: 120, Applied: 40, Behind: true},
			{Instance: "i1", Role: "side", FailureDomain: "camden", AgeMs: 80, Applied: 42, Group: "verse-8b-0", EndpointUp: true},
			{Instance: "i4", Role: "side", FailureDomain: "bangor", AgeMs: 9000, Applied: 42, Group: "verse-8b-1"},
		},
	}
	assert.NilError(t, WriteStatus(&out, report))
	golden.Assert(t, out.String(), "status.txt")
}
