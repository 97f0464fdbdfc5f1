package placement

// addedSlowdown is the slowdown of services up to which a batch task may be added to a worker while another
// worker is suited better. It is twice what most works add in the measured scenarios, about 1.1.
const addedSlowdown = 1.25

// tolerated returns the workers whose services a batch task slows down little, or nil if that does not
// restrict the choice. On a full fleet the first room that becomes free is often beside a service that the
// task slows down; the task then waits for a better one and leaves the room to other work. Where no worker
// is suited, full or not, the task takes any, so that it does not wait for ever.
func (p *Placer) tolerated(f *filter) map[string]bool {
	if p.policy != PolicyScore || p.slowdown == nil || f.task.IsUrgent() {
		return nil
	}
	var out map[string]bool
	now := Task{Kind: f.task.Kind}
	for _, w := range f.view.workers {
		switch f.reject(w) {
		case "", RejectedCapacity:
		default:
			continue
		}
		if p.slowdown(w, f.task) <= addedSlowdown*p.slowdown(w, &now) {
			if out == nil {
				out = map[string]bool{}
			}
			out[w.ID] = true
		}
	}
	return out
}
