package workflow

import (
	"slices"
	"strings"
)

// Config is one version of the queues and services. It is immutable.
type Config struct {
	Limits   Limits             `json:"limits"`
	Queues   []Queue            `json:"queues"`
	Services map[string]Service `json:"services"`
	// Version increases with each change; 0 means that there is no config yet.
	Version int64 `json:"version"`

	byHost map[string][]Queue
	byName map[string]Queue
}

// NewConfig returns a config with its lookup tables.
func NewConfig(version int64, queues []Queue, services []Service, limits Limits) Config {
	c := Config{
		Limits: limits, Queues: queues, Services: make(map[string]Service, len(services)), Version: version,
		byHost: map[string][]Queue{}, byName: make(map[string]Queue, len(queues)),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
		c.byName[q.Name] = q
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Lookup returns the queue at host whose prefix is the longest that matches path, and the rest of the path.
func (c Config) Lookup(host, path string) (q Queue, rest string, ok bool) {
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):], true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with the given name.
func (c Config) Queue(name string) (Queue, bool) {
	q, ok := c.byName[name]
	return q, ok
}
