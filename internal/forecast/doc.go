// Package forecast predicts when a job would end in a shard, from the work ahead of it and from how long tasks really took, and decides
// which submissions are refused because they could not be served.
package forecast
