package placement

// maxSlowdownRatio limits the factor by which a batch task may further slow down the services of a worker while
// another worker stays within the limit. It allows about twice the slowdown that most batch works cause in the
// measured scenarios, which is a factor of about 1.1.
const maxSlowdownRatio = 1.25

// workersWithAcceptableSlowdown returns the workers, full ones included, whose services the task of f slows down
// by at most maxSlowdownRatio. It returns nil if the choice is not restricted: for urgent tasks, for other
// policies, and if no worker qualifies, so that the task does not wait forever. On a full fleet the first
// capacity to become free is often next to a service that the task slows down; the task waits for a better
// worker and leaves that capacity to other work.
func (p *Placer) workersWithAcceptableSlowdown(f *filter) map[string]bool {
	if p.policy != PolicyScore || p.slowdown == nil || f.task.IsUrgent() {
		return nil
	}
	var out map[string]bool
	// For a task without a work, the slowdown by the tasks that already run on the worker is predicted.
	none := Task{Kind: f.task.Kind}
	for _, w := range f.view.workers {
		switch f.reject(w) {
		case "", RejectedCapacity:
		default:
			continue
		}
		if p.slowdown(w, f.task) <= maxSlowdownRatio*p.slowdown(w, &none) {
			if out == nil {
				out = map[string]bool{}
			}
			out[w.ID] = true
		}
	}
	return out
}
