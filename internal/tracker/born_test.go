package tracker

import (
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// TestAnnouncementWithoutBootProvesNoLaterBoot guards against a head that counts as ended
// since its first announcement, from another writer, lacked the boot that its answer has.
func TestAnnouncementWithoutBootProvesNoLaterBoot(t *testing.T) {
	tr := New()
	tr.Update(AnnounceMsg{Now: time.Second, Endpoint: view("i-1", 0, 1, "a:1"), Report: &messenger.EndpointReport{Group: "small/9", Epoch: 9, State: "open"}})
	tr.Update(LaterBootMsg{ID: "i-1", BootTime: 0})
	e, _ := tr.Endpoint("i-1")
	assert.Assert(t, !e.BootEnded)
}
