// Package syncer keeps a process in step with the control processes: it
// reports the process's status and takes configuration as changes or as one
// snapshot, however long the process was away.
//
// # Usage
//
//	s := syncer.New(syncer.Config{Name: "entry-1", Controls: addresses}, status, notify)
//	err := s.Run(ctx)
//
// Run asks one control process at a time, beginning with one that follows from
// the name, so that the processes spread over all of them; it goes on to the
// next one when an exchange fails.
package syncer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"github.com/cespare/xxhash/v2"
)

const (
	pollWait    = time.Second
	pollTimeout = 3 * time.Second
	retryPause  = 200 * time.Millisecond
	leastPause  = 20 * time.Millisecond
)

// Config names the process and the control processes.
type Config struct {
	Name     string
	Controls []string
}

// Syncer holds the newest known configuration. It is safe for concurrent use.
type Syncer struct {
	cfg    Config
	client *transporter.Client
	status func() messenger.Status
	notify func(messenger.SyncResponse)
	poke   chan struct{}

	mu      sync.Mutex
	index   int
	objects map[string]messenger.Object
	heard   time.Time
}

// New returns a syncer. It calls status for each report, and notify after each
// exchange with what changed already stored.
func New(cfg Config, status func() messenger.Status, notify func(messenger.SyncResponse)) *Syncer {
	return &Syncer{
		cfg: cfg, client: transporter.NewClient(), status: status, notify: notify,
		poke: make(chan struct{}, 1), objects: map[string]messenger.Object{},
	}
}

// Index returns the index of the newest known configuration.
func (s *Syncer) Index() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Age returns the time since control last answered, and false if it never did.
func (s *Syncer) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heard), !s.heard.IsZero()
}

// Object returns an object by kind and name.
func (s *Syncer) Object(kind, name string) (messenger.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind+"/"+name]
	return object, ok
}

// Objects returns all objects of a kind, sorted by name.
func (s *Syncer) Objects(kind string) []messenger.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []messenger.Object
	for _, object := range s.objects {
		if object.Kind == kind {
			list = append(list, object)
		}
	}
	slices.SortFunc(list, func(a, b messenger.Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Poke ends the current wait, so that a changed status or a hint of newer
// configuration is exchanged at once.
func (s *Syncer) Poke() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// Run exchanges until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	home := int(xxhash.Sum64String(s.cfg.Name) % uint64(max(1, len(s.cfg.Controls))))
	for ctx.Err() == nil {
		began := time.Now()
		pause := leastPause
		if !s.exchange(ctx, s.cfg.Controls[home]) {
			home = (home + 1) % len(s.cfg.Controls)
			pause = retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(leastPause, pause-time.Since(began))):
		}
	}
	return nil
}

// exchange reports and polls once. A poke ends the wait early; the reply to
// the abandoned poll is not used.
func (s *Syncer) exchange(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	poked := make(chan bool, 1)
	ended := make(chan struct{})
	go func() {
		select {
		case <-s.poke:
			poked <- true
			cancel()
		case <-ended:
			poked <- false
		}
	}()
	status := s.status()
	status.Applied = s.Index()
	var response messenger.SyncResponse
	request := messenger.SyncRequest{Status: status, Known: status.Applied, WaitMs: int(pollWait / time.Millisecond)}
	err := s.client.Call(ctx, "http://"+address+"/inner/sync", request, &response)
	close(ended)
	early := <-poked
	if err != nil {
		return early
	}
	s.take(response)
	return true
}

// take stores a response. An answer older than what is known comes from a
// control process that lags; it is not used.
func (s *Syncer) take(response messenger.SyncResponse) {
	s.mu.Lock()
	s.heard = time.Now()
	if response.Index < s.index {
		response.Objects = nil
	}
	if response.Snapshot && response.Index >= s.index {
		s.objects = map[string]messenger.Object{}
	}
	for _, object := range response.Objects {
		key := object.Kind + "/" + object.Name
		if object.Removed {
			delete(s.objects, key)
			continue
		}
		s.objects[key] = object
	}
	s.index = max(s.index, response.Index)
	s.mu.Unlock()
	s.notify(response)
}
