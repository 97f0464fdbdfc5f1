package clientmemory

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Reason says why a client was refused or its connection closed.
type Reason string

// Reasons of refusals.
const (
	// ReasonBody means that a body was refused because memory was short.
	ReasonBody Reason = "body_memory"
	// ReasonConnection means that a connection was closed at once, because all others were in use.
	ReasonConnection Reason = "connection_refused"
	// ReasonHeader means that a connection was closed because memory was short for the header of its request.
	ReasonHeader Reason = "header_memory"
	// ReasonIdle means that the connection that was idle for the longest time was closed for a new one.
	ReasonIdle Reason = "connection_replaced"
	// ReasonJob means that a job was refused because memory was short for what its body decodes to.
	ReasonJob Reason = "job_memory"
	// ReasonLate means that a body was not received within the time budget of its request.
	ReasonLate Reason = "body_late"
	// ReasonMessage means that the connection of a peer was closed because memory was short for its message.
	ReasonMessage Reason = "peer_message_memory"
	// ReasonStalled means that a request was ended for others, because its client delivered the least.
	ReasonStalled Reason = "stalled"
)

// logInterval is the time between two log lines with the same reason.
const logInterval = time.Second

// refusals counts what is refused, by reason.
var refusals = expvar.NewMap("client_refusals")

// Reporter counts refusals, and logs one of each reason per second. A nil Reporter only counts.
type Reporter struct {
	log      *logrus.Entry
	loggedAt map[Reason]time.Time
	mu       sync.Mutex
	now      func() time.Time
	unlogged map[Reason]int
}

// NewReporter returns a reporter that logs to log. now is the clock.
func NewReporter(log *logrus.Entry, now func() time.Time) *Reporter {
	return &Reporter{log: log, loggedAt: map[Reason]time.Time{}, now: now, unlogged: map[Reason]int{}}
}

// Add counts the refusal of a client.
func (r *Reporter) Add(reason Reason, client string) {
	refusals.Add(string(reason), 1)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[reason]++
	now := r.now()
	if last, ok := r.loggedAt[reason]; ok && now.Sub(last) < logInterval {
		return
	}
	r.log.WithFields(logrus.Fields{
		"decision": "refuse_client", "reason": reason, "client": client, "count": r.unlogged[reason],
	}).Warn("refused a client to stay within the memory of the machine")
	r.loggedAt[reason], r.unlogged[reason] = now, 0
}
