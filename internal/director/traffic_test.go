package director

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// TestOutdatedConfigurationIsAcceptedWithoutLogEntry guards against a log that grows
// with configurations whose version is not above the committed one.
func TestOutdatedConfigurationIsAcceptedWithoutLogEntry(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	before, err := leader.director.journal.Load()
	assert.NilError(t, err)
	for _, document := range []string{"7 seven", "7 other", "3 three"} {
		c.declare(c.otherNode(leader), document)
	}
	after, err := leader.director.journal.Load()
	assert.NilError(t, err)
	assert.Equal(t, len(after.Entries), len(before.Entries))
	document, err := leader.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "7 seven")
}

// TestFollowRequestOmitsDocument guards against a follower whose log lags behind and
// that is sent the whole document with every view.
func TestFollowRequestOmitsDocument(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	var request messenger.FleetRequest
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&request)
		_ = json.NewEncoder(w).Encode(c.leader().director.handleFollow(r.Context(), request))
	}))
	defer leader.Close()
	follower := c.otherNode(c.leader()).director
	assert.Assert(t, follower.followLeaderOnce(context.Background(), strings.TrimPrefix(leader.URL, "http://")))
	assert.Equal(t, request.Version, skipDocument)
	assert.Equal(t, c.leader().director.handleFollow(context.Background(), request).Document, "")
}

// TestPeerBatchesAreBoundedByBytes guards against calls to a peer that are too large
// for a slow link to transfer within their timeout.
func TestPeerBatchesAreBoundedByBytes(t *testing.T) {
	large := messenger.ReplicaMessage{Entries: []messenger.Entry{{Data: bytes.Repeat([]byte("x"), maxPeerBatchBytes/2)}}}
	queue := make(chan messenger.ReplicaMessage, peerQueueCapacity)
	for range peerQueueCapacity {
		queue <- large
	}
	batch := drainQueue(large, queue)
	assert.Equal(t, len(batch), 2)
	assert.Equal(t, transferTime(messenger.ReplicaBatch{Messages: batch}), time.Duration(maxPeerBatchBytes)*time.Second/minLinkBytesPerSecond)
	assert.Equal(t, transferTime(messenger.ReplicaBatch{Messages: []messenger.ReplicaMessage{{}}}), time.Duration(0))
}

// incompressible returns a document with the given version and about size random
// bytes.
func incompressible(version, size int) string {
	random := rand.NewChaCha8([32]byte{byte(version)})
	data := make([]byte, size/2)
	_, _ = random.Read(data)
	return strconv.Itoa(version) + " " + hex.EncodeToString(data)
}

// TestLogIsCompactedUnderLargeConfigurations guards against new replicas that must
// read all earlier configurations instead of a snapshot and a short log.
func TestLogIsCompactedUnderLargeConfigurations(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	for version := 1; version <= 24; version++ {
		c.declare(leader, incompressible(version, 64<<10))
	}
	state, err := leader.director.journal.Load()
	assert.NilError(t, err)
	bytes := 0
	for _, entry := range state.Entries {
		bytes += len(entry.Data)
	}
	assert.Assert(t, state.Snapshot.Index > 0)
	assert.Assert(t, bytes <= 2*compactAfterBytes, "%d bytes", bytes)
}
