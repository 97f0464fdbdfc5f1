package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// renewalTimeout ends an attempt whose answer is of no use any more. Without it, a host whose calls all take longer would keep the
// lease in the store, and with it shards for which it does not act.
const renewalTimeout = sessionTTL - sessionExpiryMargin

var errNoRenewalAnswer = errors.New("renewals of the lease get no answer")

// renewal is an attempt to renew a lease and its outcome.
type renewal struct {
	err error
	// isUnanswered is set if the attempt ended without an answer.
	isUnanswered bool
	number       int
	sent         time.Time
}

// renewals are the attempts to renew one lease. An attempt without an answer after sessionRenewInterval goes on while another one is
// made: a host that is short of processor time would give up each attempt before its turn comes. At most four are in flight,
// since each ends after renewalTimeout.
type renewals struct {
	// answered is the number of the newest attempt that has an outcome, begun the number of attempts.
	answered, begun int
	gap             renewalsGap
	lease           int64
	next            *time.Timer
	outcomes        chan renewal
	session         *session
	// silence, if not nil, is closed sessionCallTimeout after the first attempt since the last answer.
	silence     <-chan struct{}
	stopSilence context.CancelFunc
	unanswered  unansweredRenewals
}

// keep renews the lease until it has ended or been abandoned, or ctx ends.
func (s *session) keep(ctx context.Context, lease int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &renewals{
		lease: lease, next: time.NewTimer(sessionRenewInterval), outcomes: make(chan renewal), session: s, stopSilence: func() {},
		gap: renewalsGap{probed: make(chan struct{})}, unanswered: newUnansweredRenewals(),
	}
	defer r.next.Stop()
	defer func() { r.stopSilence() }()
	for s.holds(lease) {
		select {
		case <-ctx.Done():
			return
		case <-r.silence:
			r.endSilence()
			if ctx.Err() == nil {
				s.setHealthy(errNoRenewalAnswer)
			}
		case <-r.next.C:
			switch {
			case !s.holds(lease):
			case r.gap.isOpen(s.now()):
				r.probe(ctx)
			default:
				r.begin(ctx)
			}
		case <-r.gap.probed:
			r.applyProbe()
		case a := <-r.outcomes:
			r.finish(a)
		}
	}
}

func (r *renewals) begin(ctx context.Context) {
	r.begun++
	if r.silence == nil {
		silent, stop := withTimeout(ctx, sessionCallTimeout)
		r.silence, r.stopSilence = silent.Done(), stop
	}
	a := renewal{number: r.begun, sent: r.session.now()}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, renewalTimeout)
		defer cancel()
		a.err = r.session.store.KeepAlive(callCtx, r.lease)
		a.isUnanswered = errors.Is(a.err, kvstore.ErrUnknownOutcome) || a.err != nil && callCtx.Err() != nil
		select {
		case r.outcomes <- a:
		case <-ctx.Done():
		}
	}()
	r.next.Reset(sessionRenewInterval)
}

// finish takes the outcome of an attempt into account. A success counts from when the attempt was sent, whatever the order of the
// answers. A conflict is final whatever the order, as a lease that has ended does not come back.
func (r *renewals) finish(a renewal) {
	s := r.session
	switch {
	case a.err == nil:
		s.extendLease(r.lease, a.sent)
	case errors.Is(a.err, kvstore.ErrConflict):
		s.endLease(r.lease)
		return
	}
	r.applyAnswer(a)
	if a.number < r.answered {
		return // a later attempt shows whether the store is reachable
	}
	r.answered = a.number
	r.endSilence()
	s.setHealthy(a.err)
	if a.number == r.begun && !r.gap.isOpen(s.now()) {
		r.next.Reset(renewalPause(a.err))
	}
}

func (r *renewals) endSilence() {
	r.stopSilence()
	r.silence = nil
}

// renewalPause returns the time from the outcome of a renewal to the next one.
func renewalPause(err error) time.Duration {
	if err != nil {
		return sessionRetryInterval
	}
	return sessionRenewInterval
}

// holds reports whether a lease is the present one.
func (s *session) holds(lease int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lease != 0 && s.lease == lease
}

// extendLease relies on a lease for longer after a renewal, if it is the present one.
func (s *session) extendLease(lease int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expires := sent.Add(sessionTTL - sessionExpiryMargin); lease == s.lease && expires.After(s.expires) {
		s.expires = expires
	}
}

// endLease notes that the store has ended a lease, if it is the present one.
func (s *session) endLease(lease int64) {
	s.mu.Lock()
	isCurrent := lease == s.lease
	if isCurrent {
		s.lease, s.expires = 0, time.Time{}
	}
	s.mu.Unlock()
	if isCurrent {
		leasesLost.Add(1)
		s.log.WithFields(logrus.Fields{"decision": "lease_ended", "lease": lease}).
			Warn("host's lease has expired; requesting a new one")
	}
}
