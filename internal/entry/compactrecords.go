package entry

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// buildsInterval is how often an owner looks whether all live hosts read compact records.
const buildsInterval = time.Second

// followBuilds tells the owner whether the next owner of the shard can read compact records.
func (r *runner) followBuilds() {
	for r.ctx.Err() == nil {
		isRead := r.host.directory.allReadCompact()
		r.locked(func() { r.owner.AllowCompact(isRead) })
		retry.Sleep(r.ctx, buildsInterval)
	}
}

// allReadCompact reports whether all live hosts read compact records of jobs.
func (d *directory) allReadCompact() bool {
	return d.allHosts(func(h hostRecord) bool { return h.ReadsCompact })
}
