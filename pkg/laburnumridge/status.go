package laburnumridge

import (
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Decision is one decision of an entry host with its reason.
type Decision = explain.Decision

// Explanation lists the decisions that concern an id, merged over all entry hosts.
type Explanation struct {
	// Decisions are ordered from the oldest to the latest.
	Decisions []Decision `json:"decisions"`
	ID        string     `json:"id"`
	// Unreachable names the entry hosts that could not be asked.
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

// Resources is an amount of each dimension that a worker offers and a task reserves.
type Resources = fleet.Resources

// ShardStatus names the owner of a shard.
type ShardStatus struct {
	Epoch int64 `json:"epoch"`
	// Owner is empty while no entry host owns the shard.
	Owner string `json:"owner,omitempty"`
	// Shard is written as zone/index.
	Shard string `json:"shard"`
	Zone  string `json:"zone"`
}

// Status is the state of the fleet as the answering entry host knows it.
type Status struct {
	Hosts  []HostStatus  `json:"hosts"`
	Shards []ShardStatus `json:"shards"`
	Teams  []TeamStatus  `json:"teams,omitempty"`
	// Unreachable names the entry hosts whose part is missing.
	Unreachable []string       `json:"unreachable,omitempty"`
	Workers     []WorkerStatus `json:"workers"`
	Works       []WorkStatus   `json:"works"`
	Zones       []ZoneStatus   `json:"zones"`
}

// TeamStatus is what a team reserves of its quota in a zone.
type TeamStatus struct {
	Quota Resources `json:"quota"`
	Team  string    `json:"team"`
	Used  Resources `json:"used"`
	Zone  string    `json:"zone"`
}

// WorkStatus counts the replicas of a service or the tasks of a batch work in a zone.
type WorkStatus struct {
	Kind string `json:"kind"`
	// Replicas is the wanted number; 0 for batch work.
	Replicas int    `json:"replicas,omitempty"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Work     string `json:"work"`
	Zone     string `json:"zone"`
}

// WorkerStatus is the capacity of a worker and what is reserved on it.
type WorkerStatus struct {
	Capacity    Resources `json:"capacity"`
	ID          string    `json:"id"`
	Leaving     bool      `json:"leaving,omitempty"`
	Quarantined bool      `json:"quarantined,omitempty"`
	Rack        string    `json:"rack,omitempty"`
	// Reason says why the worker is quarantined or not used.
	Reason   string    `json:"reason,omitempty"`
	Reserved Resources `json:"reserved"`
	Zone     string    `json:"zone"`
}

// ZoneStatus counts the hosts of a zone.
type ZoneStatus struct {
	EntryHosts int    `json:"entry_hosts"`
	Name       string `json:"name"`
	Reachable  bool   `json:"reachable"`
	Workers    int    `json:"workers"`
}
