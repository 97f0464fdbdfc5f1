package host

import (
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// MergeReports returns the state that an owner derives from the reports of a worker.
func MergeReports(id string, reports ...worker.Report) ledger.WorkerReport {
	var w workerReport
	var out ledger.WorkerReport
	for _, r := range reports {
		out = w.merge(ledger.Contact{Worker: id}, r)
	}
	return out
}
