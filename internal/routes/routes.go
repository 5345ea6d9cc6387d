// Package routes holds the platform's configuration for callers' requests: the service that
// each request is sent to, and the limits that apply. It does no I/O.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/customers"
	"github.com/dogwoodflow/dogwoodflow/internal/spread"
)

// Kind says how the requests of a route are run, and how often they may run.
type Kind int

// The kinds of route.
const (
	Unsafe Kind = iota // runs at most once for each attempt of the caller
	Safe               // may run more than once
	Batch              // a trainer's batch of samples, which run after its submission
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name          string
	Host          string // not case-sensitive
	PathPrefix    string // starts and ends with a slash
	Kind          Kind
	Streaming     bool          // the answer is a stream of events
	Resumable     bool          // another upstream may continue a stream after its last event
	Timeout       time.Duration // longest time that a caller waits, 0: no limit
	LatencyTarget time.Duration // latency objective
	Priority      int           // 0 is the highest
	Public        bool          // callers need no key
	Services      []WeightedService
	MaxAttempts   int // number of upstreams to which one attempt of a caller may be sent

	Retention     time.Duration // of batches: time from submission after which a sample may be dropped
	BatchTarget   time.Duration // of batches: time from submission within which all results are due
	SingleVersion bool          // of batches: a sample may have tokens of one weight version only
}

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string // name
	Weight  int    // relative to the weights of the route's other services
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int      // an upstream resets connections beyond this number, of all daemons together
	Engine         *Engine  // nil: the upstreams aren't model engines
	Scaling        *Scaling // nil: upstreams can't be ordered
}

// Scaling limits how many upstreams of a service may be ordered, and says at which price.
type Scaling struct {
	MinPerDataCentre, MaxPerDataCentre int                // number of upstreams in one data centre
	BootTime                           time.Duration      // time from an order until its upstreams serve
	SpotPrice                          float64            // price of a spot upstream relative to a regular one, 0: there are none
	RegularPrices                      map[string]float64 // price of a regular upstream, by data centre
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int      // number of samples that an engine runs at once
	Models []string // names of the models that the service serves
	Moves  bool
}

// Limits are the limits on callers' requests and connections, 0: no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request's header to its end
	IdleTimeout    time.Duration // between two requests on a connection
}

// Config is a version of the configuration. It isn't changed after New.
type Config struct {
	Version  int64
	Services map[string]Service // by name
	Limits   Limits
	// Customers are the customers with their keys. nil: callers need no key.
	Customers *customers.Directory
	byHost    map[string][]Route // by lower-case host, longest prefix first
	routes    []Route
}

// New returns a configuration.
func New(version int64, routes []Route, services []Service, limits Limits, directory *customers.Directory) *Config {
	c := &Config{Version: version, Services: map[string]Service{}, Limits: limits, Customers: directory, byHost: map[string][]Route{}, routes: routes}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return c
}

// Match returns the host's route with the longest prefix of the path. It returns false if
// there is none.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// AcceptsBatches reports whether the host has a route for batches.
func (c *Config) AcceptsBatches(host string) bool {
	return slices.ContainsFunc(c.byHost[strings.ToLower(host)], func(r Route) bool { return r.Kind == Batch })
}

// Routes returns all routes in the order of the configuration document.
func (c *Config) Routes() []Route { return c.routes }

// PickFor selects the service for what is named by a key with a probability proportional to its
// weight. It is the same one at all daemons and as long as the weights are.
func (r Route) PickFor(key ...string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	const bits = 53 // of a float64's mantissa
	return r.Pick(float64(spread.Hash(key...)>>(64-bits)) / (1 << bits))
}

// Pick selects the service for a request with a probability proportional to its weight.
// random is a number from the uniform distribution over [0, 1).
func (r Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	offset := int(random * float64(total))
	for _, s := range r.Services {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
