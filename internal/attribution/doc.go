// Package attribution splits task failures between workers and jobs by who else fails. It quarantines and
// probes workers, and parks jobs.
package attribution
