// Package routes holds the callers' configuration on the platform: which requests
// go to which service, under which bounds. It is pure.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/customers"
)

// Kind says how often a request may run and what its answer looks like.
type Kind int

// The kinds of route.
const (
	Unsafe Kind = iota // at most once for each attempt of the caller
	Safe               // may run again
	Batch              // a trainer's batch of samples, run later
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Streaming   bool          // the answer is a series of events
	Resumable   bool          // a stream may go on elsewhere behind the last event
	Timeout     time.Duration // longest wait of a caller, 0: none
	Target      time.Duration // latency objective
	Priority    int           // 0 is the highest
	Public      bool          // callers need no key
	Services    []Share
	MaxAttempts int // upstreams to which one attempt of a caller may be sent

	Retention     time.Duration // batches: a sample may be given up this long after submission
	BatchTarget   time.Duration // batches: all results are due this long after submission
	SingleVersion bool          // batches: a sample may have only one weight version
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int // an upstream resets connections beyond these, from all daemons together
	Engine         *Engine
	Scaling        *Scaling // nil: its upstreams aren't ours to order
}

// Scaling is how many upstreams of a service may be ordered, and at which price.
type Scaling struct {
	Min, Max  int           // upstreams of a data centre
	Boot      time.Duration // from an order until its upstreams serve
	SpotPrice float64       // of one that may be taken away, as a part of another's; 0: none
	Prices    map[string]float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int // samples run at once
	Models []string
	Moves  bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one accepted configuration. It isn't changed after New.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Customers are those whose keys are in force, nil where callers need none.
	Customers *customers.Directory
	byHost    map[string][]Route // longest prefix first
	routes    []Route
}

// New returns a configuration of the given parts.
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

// Match returns the route with the longest prefix of the path.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasBatches reports whether any route of the host takes batches.
func (c *Config) HasBatches(host string) bool {
	return slices.ContainsFunc(c.byHost[strings.ToLower(host)], func(r Route) bool { return r.Kind == Batch })
}

// Routes returns all routes in the order of the document.
func (c *Config) Routes() []Route { return c.routes }

// Pick returns the service for a request, by weight. roll is uniform in [0, 1).
func (r Route) Pick(roll float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	at := int(roll * float64(total))
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
