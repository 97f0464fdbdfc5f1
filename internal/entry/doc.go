// Package entry implements the daemon of an entry host on a platform whose store supports transactions. The daemon
// records the jobs that callers submit, follows the config, and schedules the shards that it owns.
package entry
