package forwarder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/router"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

const wholeEvent = "data: whole\n\n"

// leaderAnswer returns the bytes with which a leader answers an attempt, and how many of
// them hold the last frame.
func leaderAnswer(attempt, contentType string) (data string, least int) {
	relay := newResponseRelay(nil, &clientRequest{})
	_, _ = io.WriteString(relay.digest, wholeEvent)
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	_ = encoder.Encode(messenger.Frame{Attempt: attempt, Status: http.StatusOK, ContentType: contentType, Data: []byte(wholeEvent)})
	_ = encoder.Encode(messenger.Frame{Attempt: attempt, Offset: len(wholeEvent), Final: true, Verdict: "answered", Length: len(wholeEvent), Digest: hexDigest(relay.digest)})
	data = fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", lines.Len(), lines.String())
	return data, strings.LastIndex(data, "}") + 1
}

// cutLeader is a leader that cuts its answer to an attempt after as many bytes as the
// path of the attempt's request says, and then does not know the attempt.
type cutLeader struct {
	t           *testing.T
	contentType string
	mu          sync.Mutex
	attempts    map[string]int // attempts holds the number of attempts by path.
}

func (l *cutLeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/inner/attempt":
		var request messenger.AttemptRequest
		assert.Check(l.t, json.NewDecoder(r.Body).Decode(&request))
		l.mu.Lock()
		l.attempts[request.Path]++
		l.mu.Unlock()
		cut, err := strconv.Atoi(request.Path)
		assert.Check(l.t, err)
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.Check(l.t, err) {
			data, _ := leaderAnswer(request.Attempt, l.contentType)
			_, _ = io.WriteString(conn, data[:cut])
			_ = conn.Close()
		}
	case "/inner/revoke":
		_ = json.NewEncoder(w).Encode(messenger.RevokeAnswer{})
	default:
		http.Error(w, "the attempt is not known here", http.StatusNotFound)
	}
}

// TestCutAnswerOfLeaderIsNeverComplete guards against a client that takes an answer for
// whole of which the leader sent a part, up to the middle of the head or of a frame.
func TestCutAnswerOfLeaderIsNeverComplete(t *testing.T) {
	for _, contentType := range []string{"text/plain", eventStreamType} {
		l := &cutLeader{t: t, contentType: contentType, attempts: map[string]int{}}
		server := httptest.NewServer(l)
		t.Cleanup(server.Close)
		data, least := leaderAnswer(uuid.NewString(), contentType)
		f := New(Config{Name: "e1"}, exposer.NewLogger(io.Discard, "e1"), exposer.NewHealth())
		var groups []router.Group
		var loads []messenger.GroupLoad
		for cut := range len(data) + 1 {
			name := strconv.Itoa(cut)
			member := messenger.Member{Instance: name, Address: strings.TrimPrefix(server.URL, "http://")}
			groups = append(groups, router.Group{Name: name, Spec: messenger.GroupSpec{Service: name, Epoch: 1, Active: true, Members: []messenger.Member{member}}})
			loads = append(loads, messenger.GroupLoad{Group: name, Epoch: 1, Ready: true, Parallel: 8, Incarnation: "x.1"})
		}
		f.router.Update(f.now(), router.GroupsMsg{Groups: groups})
		f.router.Update(f.now(), router.LoadsMsg{Loads: loads})
		var wait sync.WaitGroup
		for cut := range len(data) + 1 {
			wait.Go(func() {
				name, w := strconv.Itoa(cut), httptest.NewRecorder()
				f.dispatch(w, httptest.NewRequest(http.MethodPost, "/", nil), &clientRequest{id: name, organisation: "press", service: name, method: http.MethodPost, path: name, startedAt: f.now()})
				l.mu.Lock()
				defer l.mu.Unlock()
				assert.Check(t, (w.Code == http.StatusOK && w.Body.String() == wholeEvent) == (cut >= least), "%s, cut after %q: %d %q", contentType, data[:cut], w.Code, w.Body)
				assert.Check(t, cut >= least || strings.Contains(w.Body.String(), `"verdict":"may-have-run"`), "%s, cut after %q: %q", contentType, data[:cut], w.Body)
				assert.Check(t, l.attempts[name] == 1, "%s, cut after %q: %d attempts", contentType, data[:cut], l.attempts[name])
			})
		}
		wait.Wait()
	}
}
