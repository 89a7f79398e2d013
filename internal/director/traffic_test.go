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

func TestOvertakenDocumentIsAcceptedWithoutAPlaceInTheLog(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
	c.declare(leader, "7 seven")
	before, err := leader.director.journal.Load()
	assert.NilError(t, err)
	for _, document := range []string{"7 seven", "7 other", "3 three"} {
		c.declare(c.other(leader), document)
	}
	after, err := leader.director.journal.Load()
	assert.NilError(t, err)
	assert.Equal(t, len(after.Entries), len(before.Entries))
	document, err := leader.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "7 seven")
}

func TestFollowerAsksForNoDocument(t *testing.T) {
	c := newCore(t)
	c.declare(c.awaitLeader(), "7 seven")
	var asked messenger.FleetRequest
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&asked)
		_ = json.NewEncoder(w).Encode(c.leader().director.lead(r.Context(), asked))
	}))
	defer leader.Close()
	follower := c.other(c.leader()).director
	assert.Assert(t, follower.followOnce(context.Background(), strings.TrimPrefix(leader.URL, "http://")))
	assert.Equal(t, asked.Version, noDocument)
	assert.Equal(t, c.leader().director.lead(context.Background(), asked).Document, "")
}

func TestCallsToAPeerAreBoundedByBytes(t *testing.T) {
	large := messenger.ReplicaMessage{Entries: []messenger.Entry{{Data: bytes.Repeat([]byte("x"), peerBatchBytes/2)}}}
	queue := make(chan messenger.ReplicaMessage, peerQueue)
	for range peerQueue {
		queue <- large
	}
	batch := drain(large, queue)
	assert.Equal(t, len(batch), 2)
	assert.Equal(t, timeOnLink(messenger.ReplicaBatch{Messages: batch}), time.Duration(peerBatchBytes)*time.Second/slowLink)
	assert.Equal(t, timeOnLink(messenger.ReplicaBatch{Messages: []messenger.ReplicaMessage{{}}}), time.Duration(0))
}

// incompressible returns a document of a version and about as many bytes.
func incompressible(version, size int) string {
	random := rand.NewChaCha8([32]byte{byte(version)})
	data := make([]byte, size/2)
	_, _ = random.Read(data)
	return strconv.Itoa(version) + " " + hex.EncodeToString(data)
}

// TestLogStaysShortUnderLargeDocuments is for new replicas: they read a
// snapshot and a short log, not all documents that ever were.
func TestLogStaysShortUnderLargeDocuments(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
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
	assert.Assert(t, bytes <= 2*compactBytes, "%d bytes", bytes)
}
