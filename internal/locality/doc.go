// Package locality decides how long the tasks of a step wait for a placement near their data or their group. It does no I/O and knows
// no jobs or workers, only forecasts.
package locality
