package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"gotest.tools/v3/assert"
)

// TestDarkDomain kills everything in one failure domain while requests come in:
// each of them is still answered whole, and after the domain's return all
// groups serve again.
func TestDarkDomain(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 6, 3
	s := start(t, d)
	s.declare(d, 2)
	dark := []string{"control-1", "instance-1", "instance-4", "orders-1", "instance-1-endpoint", "instance-4-endpoint", "orders-1-endpoint"}
	var wg sync.WaitGroup
	replies := make([]reply, 16)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = s.chat(i%2, d, fmt.Sprintf("cove %d", i), 60, true, nil)
		}()
	}
	for _, name := range dark {
		s.kill(name)
	}
	wg.Wait()
	for i, r := range replies {
		assert.Equal(t, r.text, expected(fmt.Sprintf("cove %d", i), 60), "%+v %v", r.err, r.broken)
		assert.Assert(t, r.whole)
	}
	s.accept(ticketText(2, "hana", d, 2))
	for _, name := range dark {
		s.launch(s.processes[name])
	}
	s.untilServing(2 + d.services)
	s.until("the new version runs everywhere", func() bool {
		return s.group(d.model+"-0").Version == "v2" && s.group(d.model+"-1").Version == "v2"
	})
}

// checkNotStale reads the model's version directly from a control process that
// nobody else reaches: it may refuse, but must not answer with an older one.
func (s *system) checkNotStale(name string, d deployment, version string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var response messenger.SyncResponse
	if transporter.NewClient().Get(ctx, "http://"+s.processes[name].address+"/v1/objects", &response) != nil {
		return
	}
	for _, object := range response.Objects {
		if object.Name == d.model && object.Model != nil {
			assert.Equal(s.t, object.Model.Version, version, "%s answered with an older state", name)
		}
	}
}

// TestHalfCutControlLeaderIsReplaced lets nothing reach the control leader any
// more, while it still reaches all others and believes it leads.
func TestHalfCutControlLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	d := taisetsu()
	d.instances, d.services, d.forwardControls = 2, 1, true
	s := start(t, d)
	s.declare(d, 1)
	former := s.leader()
	s.forwards[former].setCut(true)
	s.accept(ticketText(2, "hana", d, 1))
	s.until("another one leads", func() bool { return s.leader() != former })
	s.checkNotStale(former, d, "v2")
	s.accept(ticketText(3, "hana", d, 1))
	s.forwards[former].setCut(false)
	s.accept(ticketText(4, "hana", d, 1))
	s.until("the newest version runs", func() bool {
		group := s.group(d.model + "-0")
		return group.Ready && group.Version == "v4"
	})
	out, code := s.submit(ticketText(3, "ren", d, 2))
	assert.Equal(t, code, 3, out)
	assert.Assert(t, strings.Contains(out, "hana"), out)
}
