package laburnumridge

import (
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Decision is a decision of an entry host with its reason.
type Decision = explain.Decision

// Explanation contains the decisions about an id, merged from all entry hosts.
type Explanation struct {
	// Decisions are ordered from oldest to newest.
	Decisions []Decision `json:"decisions"`
	ID        string     `json:"id"`
	// Unreachable contains the entry hosts that did not answer, whose decisions are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

// HostStatus is the state of an entry host.
type HostStatus struct {
	Draining  bool   `json:"draining,omitempty"`
	ID        string `json:"id"`
	Reachable bool   `json:"reachable"`
	Revision  int64  `json:"revision"`
	Zone      string `json:"zone"`
}

// Resources is the amount of each resource that a worker provides or a task reserves.
type Resources = fleet.Resources

// ShardStatus is the ownership of a shard.
type ShardStatus struct {
	Epoch int64 `json:"epoch"`
	// Owner is empty while no entry host owns the shard.
	Owner string `json:"owner,omitempty"`
	// Shard has the form zone/index.
	Shard string `json:"shard"`
	Zone  string `json:"zone"`
}

// Status is the state of the fleet, as far as the answering entry host knows it.
type Status struct {
	Hosts  []HostStatus  `json:"hosts"`
	Shards []ShardStatus `json:"shards"`
	Teams  []TeamStatus  `json:"teams,omitempty"`
	// Unreachable contains the entry hosts that did not answer, whose part of the state is missing.
	Unreachable []string       `json:"unreachable,omitempty"`
	Workers     []WorkerStatus `json:"workers"`
	Works       []WorkStatus   `json:"works"`
	Zones       []ZoneStatus   `json:"zones"`
}

// TeamStatus is a team's quota and the part of it that is reserved in a zone.
type TeamStatus struct {
	Quota Resources `json:"quota"`
	Team  string    `json:"team"`
	Used  Resources `json:"used"`
	Zone  string    `json:"zone"`
}

// WorkStatus is the number of replicas of a service, or of tasks of a batch workload, in a zone.
type WorkStatus struct {
	Kind string `json:"kind"`
	// Replicas is the desired number of replicas; 0 for batch work.
	Replicas int    `json:"replicas,omitempty"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Work     string `json:"work"`
	Zone     string `json:"zone"`
}

// WorkerStatus is the capacity, reservations and state of a worker.
type WorkerStatus struct {
	Capacity    Resources `json:"capacity"`
	ID          string    `json:"id"`
	Leaving     bool      `json:"leaving,omitempty"`
	Quarantined bool      `json:"quarantined,omitempty"`
	Rack        string    `json:"rack,omitempty"`
	// Reason is why the worker is quarantined or not used.
	Reason   string    `json:"reason,omitempty"`
	Reserved Resources `json:"reserved"`
	Zone     string    `json:"zone"`
}

// ZoneStatus is the number and reachability of the hosts of a zone.
type ZoneStatus struct {
	EntryHosts int    `json:"entry_hosts"`
	Name       string `json:"name"`
	Reachable  bool   `json:"reachable"`
	Workers    int    `json:"workers"`
}
