package note

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Kind is the kind of an item that a note lists.
type Kind string

// Kinds of items.
const (
	// KindBatch is work that runs to its end in tasks.
	KindBatch Kind = "batch"
	// KindFeed is a service of long-running streams.
	KindFeed Kind = "feed"
	// KindService is a service of short requests.
	KindService Kind = "service"
	// KindTeam is a team with a quota.
	KindTeam Kind = "team"
)

// Duration is a time.Duration written as text such as "1.5s".
type Duration struct{ time.Duration }

// MarshalText returns d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText accepts what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	var err error
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Work is one item of a note: a service, a feed, a batch work or a team.
type Work struct {
	// CheckpointInterval is how often a batch task writes a checkpoint; zero means never.
	CheckpointInterval Duration `json:"checkpoint_interval,omitzero" toml:"checkpoint_interval"`
	// Deadline is the time from submission in which a batch job should end; zero means none.
	Deadline Duration `json:"deadline,omitzero" toml:"deadline"`
	// Every is the period at which a batch work is submitted by itself; zero means never.
	Every Duration `json:"every,omitzero" toml:"every"`
	// Idempotent says that running a request twice does no harm.
	Idempotent bool `json:"idempotent,omitempty" toml:"idempotent"`
	Kind       Kind `json:"kind" toml:"kind"`
	// LatencyTarget is the response time that a service should keep at the 99th percentile.
	LatencyTarget Duration `json:"latency_target,omitzero" toml:"latency_target"`
	Name          string   `json:"name" toml:"name"`
	// Priority orders batch work; 0 is the least urgent and 9 the most.
	Priority int `json:"priority,omitempty" toml:"priority"`
	// Quota bounds what a team's work may reserve in each zone.
	Quota fleet.Resources `json:"quota,omitzero" toml:"quota"`
	// ReplicasPerZone is the number of backend servers of a service in each zone.
	ReplicasPerZone int `json:"replicas_per_zone,omitempty" toml:"replicas_per_zone"`
	// Resources is what one replica or one task reserves.
	Resources fleet.Resources `json:"resources,omitzero" toml:"resources"`
	// RunTime is the estimated run time of a batch task.
	RunTime Duration `json:"run_time,omitzero" toml:"run_time"`
	// Share is the guaranteed part of a zone's request capacity, 0 to 1.
	Share float64 `json:"share,omitempty" toml:"share"`
	Team  string  `json:"team,omitempty" toml:"team"`
}

// IsLatencyCritical reports whether the work answers requests.
func (w Work) IsLatencyCritical() bool { return w.Kind == KindFeed || w.Kind == KindService }
