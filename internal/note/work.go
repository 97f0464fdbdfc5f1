package note

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Kind is the kind of a catalogue item.
type Kind string

// Kinds of items.
const (
	// KindBatch is a batch workload, whose tasks run to completion.
	KindBatch Kind = "batch"
	// KindFeed is a service that answers with long-running streams.
	KindFeed Kind = "feed"
	// KindService is a service that answers short requests.
	KindService Kind = "service"
	// KindTeam is a team, a tenant with a quota.
	KindTeam Kind = "team"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration struct{ time.Duration }

// MarshalText returns d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText accepts what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	var err error
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Work is the definition of a workload in a note: a service, a feed, a batch workload or a team.
type Work struct {
	// CheckpointInterval is how often a batch task writes a checkpoint; zero means never.
	CheckpointInterval Duration `json:"checkpoint_interval,omitzero" toml:"checkpoint_interval"`
	// Deadline is the time after submission by which a batch job should end; zero means none.
	Deadline Duration `json:"deadline,omitzero" toml:"deadline"`
	// Every is the interval at which a batch workload is submitted automatically; zero means never.
	Every Duration `json:"every,omitzero" toml:"every"`
	// Idempotent is true if requests are safe to repeat.
	Idempotent bool `json:"idempotent,omitempty" toml:"idempotent"`
	Kind       Kind `json:"kind" toml:"kind"`
	// LatencyTarget is the objective for a service's 99th percentile response time.
	LatencyTarget Duration `json:"latency_target,omitzero" toml:"latency_target"`
	Name          string   `json:"name" toml:"name"`
	// Priority orders batch workloads, from 0 (lowest) to 9 (highest).
	Priority int `json:"priority,omitempty" toml:"priority"`
	// Quota limits the resources that a team's workloads may reserve in each zone.
	Quota fleet.Resources `json:"quota,omitzero" toml:"quota"`
	// ReplicasPerZone is the number of backend servers of a service in each zone.
	ReplicasPerZone int `json:"replicas_per_zone,omitempty" toml:"replicas_per_zone"`
	// Resources is the reservation of one replica or one task.
	Resources fleet.Resources `json:"resources,omitzero" toml:"resources"`
	// RunTime is the estimated run time of a batch task.
	RunTime Duration `json:"run_time,omitzero" toml:"run_time"`
	// Share is the guaranteed fraction of a zone's request capacity under overload, from 0 to 1.
	Share float64 `json:"share,omitempty" toml:"share"`
	Team  string  `json:"team,omitempty" toml:"team"`
}

// IsLatencyCritical reports whether the workload is a service or a feed.
func (w Work) IsLatencyCritical() bool { return w.Kind == KindFeed || w.Kind == KindService }
