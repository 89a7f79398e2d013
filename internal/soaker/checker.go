package soaker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Observation is an input of a Checker: what a caller, a server or an operator has seen.
type Observation interface{ observation() }

// ArrivedMsg reports that a server has begun to run a request.
type ArrivedMsg struct {
	Request, Server string
	Domain          string // Domain is the failure domain of the server.
	Now             time.Duration
}

// AnsweredMsg reports the answer to a request, after which no other is expected. Status 0
// means that there was none.
type AnsweredMsg struct {
	Request string
	Once    bool // Once is set for a request that must not run twice.
	Status  int
	Body    string // Body is the body of an answer with status 200.
	Wanted  string // Wanted is the body that answers this request.
}

// DeclaredMsg reports that a configuration was acknowledged.
type DeclaredMsg struct{ Version int }

// ReadMsg reports a configuration that control returned, and the version that had been
// acknowledged when it was asked for.
type ReadMsg struct{ Version, Acknowledged int }

// EndedMsg reports that a process has ended although nothing ended it.
type EndedMsg struct{ Process, Reason string }

// UsageMsg reports what a process holds.
type UsageMsg struct {
	Process                                           string
	Memory, MemoryBound, Descriptors, DescriptorBound int
}

// FailedMsg reports that something did not happen within its time, such as control that
// settles after a loss.
type FailedMsg struct{ What string }

func (ArrivedMsg) observation()  {}
func (AnsweredMsg) observation() {}
func (DeclaredMsg) observation() {}
func (ReadMsg) observation()     {}
func (EndedMsg) observation()    {}
func (UsageMsg) observation()    {}
func (FailedMsg) observation()   {}

// maxViolations bounds the list of violations; the first ones explain the others.
const maxViolations = 20

// request is what is known of one request.
type request struct {
	runs   []string
	once   bool // once is set for a request that was answered and must not run twice.
	notRun bool // notRun is set once an answer said that the request has not run and never will.
}

// Checker finds broken promises in what is observed. It is safe for concurrent use.
type Checker struct {
	mu           sync.Mutex
	requests     map[string]*request
	acknowledged int
	answered     map[int]int
	domains      domains
	violations   []string
}

// NewChecker returns a checker that has observed nothing.
func NewChecker() *Checker {
	return &Checker{requests: map[string]*request{}, answered: map[int]int{}, domains: newDomains()}
}

// Update takes one observation.
func (c *Checker) Update(msg Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch msg := msg.(type) {
	case ArrivedMsg:
		c.arrived(msg)
	case AnsweredMsg:
		c.answer(msg)
	case DeclaredMsg:
		c.acknowledged = max(c.acknowledged, msg.Version)
	case ReadMsg:
		if msg.Version < msg.Acknowledged {
			c.violate("configuration %d was read after %d was acknowledged", msg.Version, msg.Acknowledged)
		}
	case EndedMsg:
		c.violate("%s ended by itself: %s", msg.Process, msg.Reason)
	case UsageMsg:
		if msg.Memory > msg.MemoryBound || msg.Descriptors > msg.DescriptorBound {
			c.violate("%s holds %d of %d bytes, %d of %d descriptors", msg.Process, msg.Memory, msg.MemoryBound, msg.Descriptors, msg.DescriptorBound)
		}
	case EvacuatedMsg:
		c.domains.evacuation(msg)
	case ColdMsg:
		c.domains.cold[msg.Server] = msg
	case FailedMsg:
		c.violate("%s", msg.What)
	}
}

func (c *Checker) request(id string) *request {
	if c.requests[id] == nil {
		c.requests[id] = &request{}
	}
	return c.requests[id]
}

func (c *Checker) arrived(msg ArrivedMsg) {
	r := c.request(msg.Request)
	r.runs = append(r.runs, msg.Server)
	if broken := c.domains.arrived(msg); broken != "" {
		c.violate("%s at %s %s", msg.Request, msg.Server, broken)
	}
	if r.once && len(r.runs) > 1 {
		c.violate("%s ran at %v, and must run once", msg.Request, r.runs)
	}
	if r.notRun {
		c.violate("%s ran at %s after it was reported as not run", msg.Request, msg.Server)
	}
}

// refusals are the statuses that say that a request has not run and never will.
var refusals = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// answer checks an answer. A run that arrives later is checked by arrived.
func (c *Checker) answer(msg AnsweredMsg) {
	c.answered[msg.Status]++
	r := c.request(msg.Request)
	if msg.Status == http.StatusOK && msg.Body != msg.Wanted {
		c.violate("%s was answered %q instead of %q", msg.Request, shorten(msg.Body), shorten(msg.Wanted))
	}
	if msg.Status == http.StatusOK && len(r.runs) == 0 {
		c.violate("%s was answered but never ran", msg.Request)
	}
	if slices.Contains(refusals, msg.Status) {
		r.notRun = true
		if len(r.runs) > 0 {
			c.violate("%s was answered %d, and ran at %v", msg.Request, msg.Status, r.runs)
		}
	}
	r.once = msg.Once
	if msg.Once && len(r.runs) > 1 {
		c.violate("%s ran at %v, and must run once", msg.Request, r.runs)
	}
}

// shownBytes bounds the part of a body that a violation shows.
const shownBytes = 80

func shorten(text string) string { return text[:min(len(text), shownBytes)] }

func (c *Checker) violate(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// Acknowledged returns the newest acknowledged version.
func (c *Checker) Acknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acknowledged
}

// Violations returns the promises that were broken.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Answered returns the number of answers with each status.
func (c *Checker) Answered() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.answered)
}
