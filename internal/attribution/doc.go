// Package attribution decides whether task failures are caused by the worker or by the job, by comparing the job on
// other workers and the worker with other jobs. It quarantines and probes workers, and parks jobs.
package attribution
