package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	contact    = 4 * time.Second // contact_ms
	deadlyPath = "/deadly"

	serverBack  = 1500 * time.Millisecond
	streamParts = 12
)

// deadlyRuns returns how long a server runs the deadly request before it crashes.
func deadlyRuns() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("DEADLY_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 500 * time.Millisecond
}

// streamer makes a stand-in server answer with streams of events. A request for deadlyPath
// crashes it while it runs, if it is deadly.
func (s *server) streamer(deadly bool, crashed func(at time.Time, bystanders int)) {
	s.stream = func(w http.ResponseWriter, r *http.Request, attempt string) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Papayaseam-Server-Seal", "seal."+s.id+"."+attempt)
		s.open.Add(1)
		defer s.open.Add(-1)
		flusher := http.NewResponseController(w)
		next := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &next)
			next++
		}
		begun := time.Now()
		for ; next <= streamParts; next++ {
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, attempt, next)
			_ = flusher.Flush()
			time.Sleep(100 * time.Millisecond)
			if deadly && strings.Contains(r.URL.Path, deadlyPath) && time.Since(begun) >= deadlyRuns() {
				if s.crashed.CompareAndSwap(false, true) {
					crashed(time.Now(), int(s.open.Load())-1)
					s.end()
					time.AfterFunc(serverBack, func() {
						if s.lab.ctx.Err() == nil {
							s.crashed.Store(false)
							_ = s.begin()
						}
					})
				}
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// deadlyStream: a request crashes each server half a second after it has begun to run there,
// and comes again and again.
func deadlyStream(l *lab) (bool, error) {
	if err := l.up(3, 2, manifest(1, []routeSpec{{"draft", "streaming", "writers", 6000, 2, false}}, []serviceSpec{{name: "writers"}})); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	lost := 0
	var list []*server
	for i := range 6 {
		s, err := l.newServer(fmt.Sprintf("i-%d", i), "writers", l.zone(i), 24, 0, "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		s.streamer(l.trouble, func(at time.Time, bystanders int) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, at)
			lost += bystanders
			l.note("%s crashes under the deadly request, with %d other requests on it; crash %d", s.id, bystanders, len(crashes))
		})
		list = append(list, s)
	}
	time.Sleep(2 * time.Second)
	l.load("/draft/", 10, 6*time.Second, 0, 1)
	for n := 0; n < 20; n++ {
		l.loads.Go(func() {
			id := fmt.Sprintf("d%03d", n)
			status, body, _, err := l.request(n%2, id, "/draft"+deadlyPath, "the same each time", 6*time.Second)
			l.note("client: deadly request %s by entry-%d: status %d, %d events, failed %v, %.60q", id, n%2, status, strings.Count(body, "\n\n"), err != nil, strings.TrimSpace(body))
		})
		time.Sleep(2 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	retries := 0
	if len(crashes) >= 3 {
		for _, s := range list {
			for _, a := range s.since(crashes[2].Add(contact)) {
				if strings.Contains(a.path, deadlyPath) {
					retries++
				}
			}
		}
	}
	l.note("crashes: %d; other requests on the servers as they crashed: %d; times that the deadly request reached a server later than %v after its third crash: %d, where three are allowed", len(crashes), lost, contact, retries)
	return retries > 3, nil
}
