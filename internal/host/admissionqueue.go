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

// admissionQueue delivers the decisions of an admission.Queue to the goroutines whose requests wait in it.
type admissionQueue struct {
	mu         sync.Mutex
	peakDemand float64 // recent peak of the demand, decays by demandDecay
	queue      *admission.Queue
	waiters    map[string]chan admission.Decision
}

func newAdmissionQueue(q *admission.Queue) *admissionQueue {
	return &admissionQueue{queue: q, waiters: map[string]chan admission.Decision{}}
}

// admit blocks until the request may take a slot or is refused.
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
	// Cancel failed because the queue has already decided; deliver is about to send the decision.
	return <-decided
}

// deliver passes decisions to the requests that wait for them.
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

// done returns a request's slot and delivers the decisions that this allows.
func (w *admissionQueue) done(id string, took time.Duration, result admission.Result) {
	w.deliver(w.queue.Done(time.Now(), id, took, result))
}

// runAdmission updates the capacity of the admission queue and expires queued requests until ctx ends.
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

// demandDecay is the fraction of the peak demand that remains at each acknowledgement. The peak decays slowly, so
// that grants do not change with every request.
const demandDecay = 0.8

// demand returns the slots that this host needs, as a decaying peak of its running and queued requests, and the
// connections that its feeds use.
func (h *Host) demand() (requests, feeds float64) {
	running, queued := h.admission.queue.Load()
	h.admission.mu.Lock()
	defer h.admission.mu.Unlock()
	h.admission.peakDemand = math.Ceil(max(float64(running+queued), h.admission.peakDemand*demandDecay-demandDecay/2))
	return h.admission.peakDemand, float64(h.openFeeds.Load())
}

// guaranteedShares returns the guaranteed share of each service and team. A service without a declared share gets the
// fraction of the zone's slots that its replicas reserve.
func guaranteedShares(c note.Catalogue, hosts fleet.Snapshot, zone string) (services, teams map[string]float64) {
	services, teams = map[string]float64{}, map[string]float64{}
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
			services[w.Name] = w.Share
		case w.Kind == note.KindService && total > 0:
			services[w.Name] = min(1, float64(w.ReplicasPerZone)*float64(w.Resources.Slots)/total)
		}
	}
	return services, teams
}
