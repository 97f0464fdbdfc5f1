package explain

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// defaultSize is the number of decisions kept. At 500 bytes a decision this takes about 2 MB.
const defaultSize = 4096

// Decision is a decision of an entry host, what it concerns, and its reason.
type Decision struct {
	At       time.Time `json:"at"`
	Attempt  int       `json:"attempt,omitempty"`
	Decision string    `json:"decision"`
	Host     string    `json:"host,omitempty"`
	Job      string    `json:"job,omitempty"`
	// Note is the id of a release note.
	Note string `json:"note,omitempty"`
	// Options are the alternatives that were considered, each with its score or the reason why it was excluded.
	Options []string `json:"options,omitempty"`
	Reason  string   `json:"reason"`
	Request string   `json:"request,omitempty"`
	// Revision is the revision of the catalogue that the decision applied or was based on.
	Revision int64  `json:"revision,omitempty"`
	Task     string `json:"task,omitempty"`
	// Work is the name of a service, feed or batch work.
	Work   string `json:"work,omitempty"`
	Worker string `json:"worker,omitempty"`
	Zone   string `json:"zone,omitempty"`
}

// Ring is a ring buffer of the latest decisions of a host. It writes a log line for each decision.
type Ring struct {
	host      string
	log       *logrus.Entry
	mu        sync.Mutex
	nextIndex int
	now       func() time.Time
	buffer    []Decision
	full      bool
}

// Option sets a property of a Ring.
type Option func(*Ring)

// New returns a Ring for the decisions of a host.
func New(host string, log *logrus.Entry, opts ...Option) *Ring {
	r := &Ring{host: host, log: log, now: time.Now, buffer: make([]Decision, defaultSize)}
	for _, o := range opts {
		o(r)
	}
	return r
}

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(r *Ring) { r.now = now } }

// WithSize sets how many decisions are kept; n must be positive.
func WithSize(n int) Option { return func(r *Ring) { r.buffer = make([]Decision, n) } }

// Add sets the time and host of a decision, stores it and logs it. If the ring is full, it replaces the oldest decision.
func (r *Ring) Add(d Decision) {
	d.At, d.Host = r.now(), r.host
	r.mu.Lock()
	r.buffer[r.nextIndex] = d
	r.nextIndex++
	if r.nextIndex == len(r.buffer) {
		r.nextIndex, r.full = 0, true
	}
	r.mu.Unlock()
	r.log.WithFields(d.fields()).Info("decision")
}

// Find returns the decisions that concern an id (task, job, request, note, work or worker), oldest first.
func (r *Ring) Find(id string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Decision
	start, count := 0, r.nextIndex
	if r.full {
		start, count = r.nextIndex, len(r.buffer)
	}
	for i := range count {
		d := r.buffer[(start+i)%len(r.buffer)]
		if d.refersTo(id) {
			out = append(out, d)
		}
	}
	return out
}

func (d Decision) refersTo(id string) bool {
	return id == d.Task || id == d.Job || id == d.Request || id == d.Note || id == d.Work || id == d.Worker
}

func (d Decision) fields() logrus.Fields {
	f := logrus.Fields{"decision": d.Decision, "reason": d.Reason}
	for _, field := range []struct{ key, value string }{
		{"job", d.Job},
		{"note", d.Note},
		{"request", d.Request},
		{"task", d.Task},
		{"work", d.Work},
		{"worker", d.Worker},
		{"zone", d.Zone},
	} {
		if field.value != "" {
			f[field.key] = field.value
		}
	}
	if d.Attempt != 0 {
		f["attempt"] = d.Attempt
	}
	if d.Revision != 0 {
		f["revision"] = d.Revision
	}
	if len(d.Options) > 0 {
		f["options"] = d.Options
	}
	return f
}
