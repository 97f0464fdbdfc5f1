package entry

import (
	"expvar"
	"strconv"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/metrics"
	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
)

// Metrics of an entry host, served at the debug address. Histogram values are in milliseconds.
var (
	answers            = expvar.NewMap("entry_answers")
	commitRelays       = expvar.NewMap("entry_commit_relays")
	commitTime         = metrics.NewHistogram("entry_commit_ms")
	admissions         = expvar.NewMap("entry_admissions")
	leasesLost         = expvar.NewInt("entry_lease_losses")
	localWaits         = expvar.NewMap("entry_local_waits")
	pollTimeBeyondWait = metrics.NewHistogram("entry_look_beyond_wait_ms")
	pollsFailed        = expvar.NewInt("entry_looks_failed")
	pollsSent          = expvar.NewInt("entry_looks")
	workerCallOutcomes = expvar.NewMap("entry_orders")
	workerCallTime     = metrics.NewHistogram("entry_order_ms")
	overTargetSeconds  = expvar.NewMap("entry_over_target_seconds")
	ownerChanges       = expvar.NewMap("entry_owner_changes")
	panics             = expvar.NewMap("entry_panics")
	ownersFenced       = expvar.NewInt("entry_owners_fenced")
	recordsFailed      = expvar.NewInt("entry_records_failed")
	startWait          = metrics.NewHistogram("entry_start_wait_ms")
	submitRecordTime   = metrics.NewHistogram("entry_submit_record_ms")
	shardGauges        = expvar.NewMap("entry_shard")
	storeConflicts     = expvar.NewInt("entry_store_conflicts")
	storeFailures      = expvar.NewInt("entry_store_failures")
	storeWrites        = expvar.NewInt("entry_store_writes")
	taskRetries        = expvar.NewMap("entry_task_retries")
	workerLifetimes    = expvar.NewMap("entry_worker_lifetimes")
	timerLag           = metrics.NewHistogram("entry_timer_lag_ms")
)

// countLocalWait counts the waits for local placements by how they begin and end, and the time that they took.
func countLocalWait(event string, waited time.Duration) {
	localWaits.Add(event, 1)
	localWaits.Add("waited_ms", waited.Milliseconds())
}

// countLifetimeEvent counts what owners learn of the lifetimes of workers.
func countLifetimeEvent(event string, n int) { workerLifetimes.Add(event, int64(n)) }

// countRetry counts failed runs and what follows them.
func countRetry(e retrylimit.Event) { taskRetries.Add(string(e), 1) }

// setGauges publishes the state of the shard, by name, and withdraws the gauges that it no longer has.
func (r *runner) setGauges(values map[string]int) {
	for name := range r.gauges {
		if _, ok := values[name]; !ok {
			shardGauges.Delete(r.gaugeName(name))
			delete(r.gauges, name)
		}
	}
	for name, n := range values {
		v := new(expvar.Int)
		v.Set(int64(n))
		shardGauges.Set(r.gaugeName(name), v)
		r.gauges[name] = true
	}
}

// deleteGauges withdraws the gauges of a shard that this host has given up. Their last values would stay for ever.
func (r *runner) deleteGauges() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.gauges {
		shardGauges.Delete(r.gaugeName(name))
	}
}

func (r *runner) gaugeName(name string) string { return strconv.Itoa(r.shard) + "_" + name }
