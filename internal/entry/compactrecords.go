package entry

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// buildsInterval is how often an owner looks whether all live hosts read compact records.
const buildsInterval = time.Second

// followBuilds tells the owner which records all hosts know that may own the shard next.
func (r *runner) followBuilds() {
	for r.ctx.Err() == nil {
		isRead, sharesEnds := r.host.directory.allReadCompact(), r.host.directory.allShareEnds()
		r.locked(func() {
			r.owner.AllowCompact(isRead)
			r.owner.AllowSharedEnds(sharesEnds)
		})
		retry.Sleep(r.ctx, buildsInterval)
	}
}

// allReadCompact reports whether all live hosts read compact records of jobs.
func (d *directory) allReadCompact() bool {
	return d.allHosts(func(h hostRecord) bool { return h.ReadsCompact })
}
