package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"papayaseam/internal/reporter"

	"gotest.tools/v3/assert"
)

// TestBurnOfACausedOutage sends 10 good requests, takes the only order service
// away, sends 5 that fail, and compares the burn with the one worked out by
// hand: 5 of 15 bad at 90 % allow a burn of (5/15)/0.1.
func TestBurnOfACausedOutage(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 2, 1
	s := start(t, d)
	s.declare(d, 1)
	file := filepath.Join(s.folder, "objective.ini")
	text := fmt.Sprintf("[ticket]\nnumber = 2\nauthor = hana\nreason = objective\n[objective orders]\ntarget = %s\npercent = 90\n", d.service)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	out, code := s.command("ticket", "submit", file, "--wait", "30s")
	assert.Equal(t, code, 0, out)
	for i := range 10 {
		assert.Equal(t, s.order(i%2, d, "map", "").status, 201)
	}
	s.kill("orders-1-endpoint")
	s.until("the service is gone", func() bool { return !s.group(d.service + "@orders-1").Ready })
	statuses := make(chan int, 5)
	for i := range 5 {
		go func() { statuses <- s.order(i%2, d, "map", "").status }()
	}
	for range 5 {
		status := <-statuses
		assert.Assert(t, status >= 500, "%d", status)
	}
	out, code = s.command("report", "burn", "--format", "json")
	assert.Equal(t, code, 0, out)
	var report reporter.Report
	assert.NilError(t, json.Unmarshal([]byte(out), &report), out)
	assert.Equal(t, len(report.Missing), 0, out)
	row := report.Rows[0]
	assert.Equal(t, row.Burns[3].Total, 15.0)
	assert.Equal(t, row.Burns[3].Bad, 5.0)
	assert.Assert(t, row.Burns[3].Rate > 3.33 && row.Burns[3].Rate < 3.34, "%v", row.Burns[3].Rate)
	assert.Assert(t, row.BudgetLeft < -2.33 && row.BudgetLeft > -2.34)
}
