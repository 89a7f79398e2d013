// Package describer defines the declared configuration (routes, services,
// organisations with their API keys, and limits), validates it and looks up
// routes, organisations and services in it.
//
// # Usage
//
//	if err := configuration.Check(); err != nil { ... } // says what to correct
//	configuration.Index()
//	route, ok := configuration.Route("maps.example", "/verse/12")
//	organisation, ok := configuration.Organisation(key)
//
// A Configuration must not be changed after Index has been called; from then on it
// is safe for concurrent use.
package describer

import (
	"math"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a configuration that must not be accepted. The
// message says what to correct before it is sent again.
var ErrInvalid = errors.New("the configuration is not valid; correct it and send it again")

// Kind says whether the requests of a route may be retried, and whether their
// responses are streams.
type Kind int

// The kinds of routes.
const (
	KindSafe      Kind = iota // KindSafe requests may be executed more than once.
	KindUnsafe                // KindUnsafe requests must be executed at most once.
	KindStreaming             // KindStreaming responses are event streams.
)

// Split sends a part of a route's requests to a service, in proportion to its
// weight among the splits of the route.
type Split struct {
	Service string
	Weight  int
}

// Route says which services get the requests of one host and path prefix, and how
// the requests are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration // Timeout bounds the time that a client waits.
	Objective   time.Duration // Objective is the latency within which a response counts as on time.
	MaxEventGap time.Duration // MaxEventGap is the longest pause between the events of a stream that counts as on time.
	Priority    int           // Priority orders queued requests; 0 is served first.
	MaxAttempts int           // MaxAttempts bounds the number of endpoints that one request is sent to.
	Public      bool          // Public routes need no API key.
	Resumable   bool          // Resumable streams may continue at another endpoint.
	Splits      []Split
}

// Repeatable reports whether a request that may have been executed may be sent
// again.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Model is one of the models that the engines of a service run.
type Model struct {
	Name         string
	GroupSize    int           // GroupSize is the number of instances in a group.
	InitialShare float64       // InitialShare is the share of the instances that the model gets at the start, relative to the other models.
	TimeFactor   float64       // TimeFactor multiplies the prefill and step times of a group.
	ColdLoadTime time.Duration // ColdLoadTime is the time to load the weights from the weight store.
	WarmLoadTime time.Duration // WarmLoadTime is the time to load weights that are cached on the instance's host.
}

// Engine describes the model engines of a service whose replicas are groups of
// instances.
type Engine struct {
	Slots               int // Slots is the number of requests that an engine runs at once.
	KVTokens            int // KVTokens is the number of tokens that the KV cache of an engine holds.
	Models              []Model
	StepTime            time.Duration // StepTime is the base time of one decode step.
	StepTimePerSequence time.Duration // StepTimePerSequence is added to StepTime for each running request.
	PrefillTokensPerSec float64       // PrefillTokensPerSec is the number of prompt tokens processed in a second.
	TypicalPromptTokens int           // TypicalPromptTokens is assumed for a request that does not state its prompt length.
	TypicalOutputTokens int           // TypicalOutputTokens is assumed for a request that does not state its output length.
	MaxLoadsPerSec      float64       // MaxLoadsPerSec bounds the weight loads that may start in a second.
	MaxConcurrentLoads  int           // MaxConcurrentLoads bounds the weight loads in progress.
	MaxCachedModels     int           // MaxCachedModels is the number of models whose weights a host caches.
	GroupFormTime       time.Duration // GroupFormTime is the time that the members take to form a group.
	FarFactor           float64       // FarFactor is the factor by which the times of a group grow if its members are in different fabric domains.
	EventsStride        int           // EventsStride is the number of decode steps in one pass that produces output.
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int
	Engine         *Engine       // Engine is nil for a service without model groups.
	HealthPath     string        // HealthPath is where endpoints answer health checks; empty if they do not.
	ColdTime       time.Duration // ColdTime is how long an endpoint is cold after a start during traffic.
	ColdRate       float64       // ColdRate is the number of requests per second that a cold endpoint takes from all entries; 0 if it is not limited.
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // HasPriority is set if the configuration declares Priority.
}

// Limits bounds the size of client requests and the time that clients may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the whole declared configuration.
type Configuration struct {
	Version       int
	Routes        []Route
	Services      []Service
	RequiresKeys  bool // RequiresKeys is set if requests to routes that are not public need the key of an organisation, even where none is declared.
	Organisations []Organisation
	Limits        Limits

	routesByHost      map[string][]int // routesByHost holds indexes into Routes.
	organisationByKey map[string]int   // organisationByKey holds indexes into Organisations.
}

// Check returns an error marked ErrInvalid for the first mistake found, or nil if
// the configuration is valid.
func (c *Configuration) Check() error {
	if c.Version <= 0 {
		return invalid("the version %d can never be in force; number versions from 1", c.Version)
	}
	services := map[string]bool{}
	for _, service := range c.Services {
		if err := service.checkNumbers(); err != nil {
			return err
		}
		services[service.Name] = true
	}
	hostPrefixes := map[string]bool{}
	for _, route := range c.Routes {
		if err := route.check(services); err != nil {
			return err
		}
		hostPrefix := route.Host + " " + route.Prefix
		if hostPrefixes[hostPrefix] {
			return invalid("two routes share %s; change the host or the prefix of one", hostPrefix)
		}
		hostPrefixes[hostPrefix] = true
	}
	return c.checkKeys()
}

// check returns an error if the route is not valid or names a service that is not
// among the given ones.
func (r Route) check(services map[string]bool) error {
	totalWeight := 0
	for _, split := range r.Splits {
		if !services[split.Service] {
			return invalid("route %q names the unknown service %q; declare it", r.Name, split.Service)
		}
		if split.Weight < 0 {
			return invalid("route %q has a negative weight; use 0 or more", r.Name)
		}
		if split.Weight > math.MaxInt-totalWeight {
			return invalid("the weights of route %q add up to more than %d; use smaller ones", r.Name, math.MaxInt)
		}
		totalWeight += split.Weight
	}
	switch {
	case totalWeight <= 0:
		return invalid("the weights of route %q add up to 0; raise one", r.Name)
	case r.Timeout <= 0:
		return invalid("route %q has no time limit; set one above 0", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("the prefix %q of route %q must begin and end with a slash", r.Prefix, r.Name)
	}
	return nil
}

// checkKeys returns an error if two organisations share an API key.
func (c *Configuration) checkKeys() error {
	keyOwners := map[string]string{}
	for _, organisation := range c.Organisations {
		for _, key := range organisation.Keys {
			if owner, found := keyOwners[key]; found && owner != organisation.Name {
				return invalid("the organisations %q and %q share a key; give each its own", owner, organisation.Name)
			}
			keyOwners[key] = organisation.Name
		}
	}
	return nil
}

// invalid returns a formatted error marked ErrInvalid.
func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

// Index builds the lookup tables. Call it once, before Route or Organisation.
func (c *Configuration) Index() {
	c.routesByHost = map[string][]int{}
	for i, route := range c.Routes {
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], i)
	}
	c.organisationByKey = map[string]int{}
	for i, organisation := range c.Organisations {
		for _, key := range organisation.Keys {
			c.organisationByKey[key] = i
		}
	}
}

// Route returns the route of the host whose prefix is the longest that matches the
// path. A port in the host is ignored.
func (c *Configuration) Route(host, path string) (Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	longest := -1
	for _, i := range c.routesByHost[host] {
		prefix := c.Routes[i].Prefix
		if strings.HasPrefix(path, prefix) && (longest < 0 || len(prefix) > len(c.Routes[longest].Prefix)) {
			longest = i
		}
	}
	if longest < 0 {
		return Route{}, false
	}
	return c.Routes[longest], true
}

// Organisation returns the organisation that owns an API key. An empty key, which stands
// for a request without one, belongs to nobody, also if it is declared.
func (c *Configuration) Organisation(key string) (Organisation, bool) {
	i, ok := c.organisationByKey[key]
	if !ok || key == "" {
		return Organisation{}, false
	}
	return c.Organisations[i], true
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Model returns the engine's model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
