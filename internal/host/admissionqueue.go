package host

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/admission"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// admissionInterval is how often queued requests are checked against their deadlines.
const admissionInterval = 100 * time.Millisecond

// admissionQueue connects the admission queue with the goroutines whose requests wait in it.
type admissionQueue struct {
	mu         sync.Mutex
	peakDemand float64 // of the demand, decaying
	queue      *admission.Queue
	waiters    map[string]chan admission.Decision
}

func newAdmissionQueue(q *admission.Queue) *admissionQueue {
	return &admissionQueue{queue: q, waiters: map[string]chan admission.Decision{}}
}

// admit waits until the request may take a slot, or is refused.
func (w *admissionQueue) admit(ctx context.Context, r admission.Request) admission.Decision {
	decided := make(chan admission.Decision, 1)
	w.mu.Lock()
	d := w.queue.Offer(r.Arrived, r)
	if d.Verdict == admission.VerdictQueued {
		w.waiters[r.ID] = decided
	}
	w.mu.Unlock()
	if d.Verdict != admission.VerdictQueued {
		return d
	}
	select {
	case d = <-decided:
		return d
	case <-ctx.Done():
	}
	if w.queue.Cancel(r.ID) {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiters, r.ID)
		return admission.Decision{Reason: admission.ReasonExpired, Verdict: admission.VerdictRefused}
	}
	// The queue has decided already; its decision is on the way.
	return <-decided
}

// deliver wakes the requests that the queue has decided on.
func (w *admissionQueue) deliver(outcomes []admission.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range outcomes {
		if ch, ok := w.waiters[o.Request.ID]; ok {
			delete(w.waiters, o.Request.ID)
			ch <- o.Decision
		}
	}
}

// done gives a request's slot back.
func (w *admissionQueue) done(id string, took time.Duration, result admission.Result) {
	w.deliver(w.queue.Done(time.Now(), id, took, result))
}

// runAdmission runs the time-based part of the admission queue.
func (h *Host) runAdmission(ctx context.Context) {
	ticker := time.NewTicker(admissionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.admission.deliver(h.admission.queue.SetCapacity(now, h.backends.grantedSlots(now)))
			h.admission.deliver(h.admission.queue.Tick(now))
		}
	}
}

// demandDecay is how much of the peak demand remains at each announcement, so that grants do not change with
// every request.
const demandDecay = 0.8

// demand returns how many slots and connections this host could use.
func (h *Host) demand() (requests, feeds float64) {
	running, queued := h.admission.queue.Load()
	h.admission.mu.Lock()
	defer h.admission.mu.Unlock()
	h.admission.peakDemand = math.Ceil(max(float64(running+queued), h.admission.peakDemand*demandDecay-demandDecay/2))
	return h.admission.peakDemand, float64(h.feeds.Load())
}

// guaranteedShares derives the guaranteed part of each service from the slots that its replicas reserve, unless the
// note states a share, and the parts of teams from their declared shares.
func guaranteedShares(c note.Catalogue, hosts fleet.Snapshot, zone string) (kinds, teams map[string]float64) {
	kinds, teams = map[string]float64{}, map[string]float64{}
	var total float64
	for _, w := range hosts.Workers(zone) {
		total += float64(w.Capacity.Slots)
	}
	for _, item := range c.Items() {
		w := item.Work
		switch {
		case w.Kind == note.KindTeam && w.Share > 0:
			teams[w.Name] = w.Share
		case w.Kind == note.KindService && w.Share > 0:
			kinds[w.Name] = w.Share
		case w.Kind == note.KindService && total > 0:
			kinds[w.Name] = min(1, float64(w.ReplicasPerZone)*float64(w.Resources.Slots)/total)
		}
	}
	return kinds, teams
}
