// Package describer holds one whole declared configuration: routes, services,
// organisations with their keys, and limits, and tells whether it is valid.
//
// # Usage
//
//	if err := configuration.Check(); err != nil { ... } // names the remedy
//	route, ok := configuration.Route("maps.example", "/verse/12")
//	organisation, ok := configuration.Organisation(key)
//
// A Configuration is not changed after Index was called.
package describer

import (
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks a configuration that must not be accepted; correct what the
// message names and send it again.
var ErrInvalid = errors.New("the configuration is not valid; correct it and send it again")

// Kind tells what may be repeated.
type Kind int

// The kinds of routes.
const (
	KindSafe      Kind = iota // KindSafe requests may run more than once.
	KindUnsafe                // KindUnsafe requests run once at most.
	KindStreaming             // KindStreaming answers are series of events.
)

// Split sends a part of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// Route is where the requests of one host and path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration // Timeout is the longest that a client waits.
	Objective   time.Duration // Objective is the latency within which an answer is on time.
	MaxEventGap time.Duration // Gap is the longest pause between events of an answer on time.
	Priority    int           // Priority is the rank; 0 goes first.
	MaxAttempts int           // MaxAttempts bounds the endpoints that one request is sent to.
	Public      bool          // Public routes need no key.
	Resumable   bool          // Resumable streams may go on at another endpoint.
	Splits      []Split
}

// Repeatable reports whether a request that may have run may be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Model is one model of a service's engines.
type Model struct {
	Name         string
	GroupSize    int           // Size is the number of instances in a group.
	InitialShare float64       // Share is the part of the instances that it starts with.
	TimeFactor   float64       // Pace multiplies the times of a group.
	ColdLoadTime time.Duration // Load is the time of a load from the weight store.
	WarmLoadTime time.Duration // Warm is the time of a load from the instance's host.
}

// Engine describes the engines of a service whose replicas are groups.
type Engine struct {
	Slots               int
	KVTokens            int
	Models              []Model
	StepTime            time.Duration // Step is the base time of one token step.
	StepTimePerSequence time.Duration // PerSequence is added to a step for each running request.
	PrefillTokensPerSec float64       // ReadPerSec is the number of prompt tokens read in a second.
	TypicalPromptTokens int
	TypicalOutputTokens int
	MaxLoadsPerSec      float64 // LoadsPerSec bounds the loads that may start in a second.
	MaxConcurrentLoads  int
	MaxCachedModels     int // KeptModels is the number of models that a host keeps.
	GroupFormTime       time.Duration
	FarFactor           float64
	EventsStride        int
}

// Service is one service and how its endpoints are reached.
type Service struct {
	Name           string
	MaxConnections int
	Engine         *Engine // Engine is nil for a plain service.
}

// Organisation is one organisation and its keys.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Ranked tells that Priority was declared.
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the whole declared state.
type Configuration struct {
	Version       int
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	hosts map[string][]int
	keys  map[string]int
}

// Check returns an ErrInvalid that names the first mistake, or nil.
func (c *Configuration) Check() error {
	services := map[string]bool{}
	for _, service := range c.Services {
		services[service.Name] = true
	}
	places := map[string]bool{}
	for _, route := range c.Routes {
		if err := route.check(services); err != nil {
			return err
		}
		place := route.Host + " " + route.Prefix
		if places[place] {
			return invalid("two routes share %s; change the host or the prefix of one", place)
		}
		places[place] = true
	}
	return c.checkKeys()
}

func (r Route) check(services map[string]bool) error {
	total := 0
	for _, split := range r.Splits {
		if !services[split.Service] {
			return invalid("route %q names the unknown service %q; declare it", r.Name, split.Service)
		}
		if split.Weight < 0 {
			return invalid("route %q has a negative weight; use 0 or more", r.Name)
		}
		total += split.Weight
	}
	switch {
	case total <= 0:
		return invalid("the weights of route %q add up to 0; raise one", r.Name)
	case r.Timeout <= 0:
		return invalid("route %q has no time limit; set one above 0", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("the prefix %q of route %q must begin and end with a slash", r.Prefix, r.Name)
	}
	return nil
}

func (c *Configuration) checkKeys() error {
	holders := map[string]string{}
	for _, organisation := range c.Organisations {
		for _, key := range organisation.Keys {
			if holder, taken := holders[key]; taken && holder != organisation.Name {
				return invalid("the organisations %q and %q share a key; give each its own", holder, organisation.Name)
			}
			holders[key] = organisation.Name
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

// Index prepares the look-ups; call it once before Route or Organisation.
func (c *Configuration) Index() {
	c.hosts = map[string][]int{}
	for i, route := range c.Routes {
		c.hosts[route.Host] = append(c.hosts[route.Host], i)
	}
	c.keys = map[string]int{}
	for i, organisation := range c.Organisations {
		for _, key := range organisation.Keys {
			c.keys[key] = i
		}
	}
}

// Route returns the route of a host with the longest prefix that begins the
// path.
func (c *Configuration) Route(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	best := -1
	for _, i := range c.hosts[host] {
		prefix := c.Routes[i].Prefix
		if strings.HasPrefix(path, prefix) && (best < 0 || len(prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Organisation returns the organisation that holds a key.
func (c *Configuration) Organisation(key string) (Organisation, bool) {
	i, ok := c.keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[i], true
}

// Service returns a service by its name.
func (c *Configuration) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Model returns a model of the engine by its name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
