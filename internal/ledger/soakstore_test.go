package ledger_test

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

type logEntry struct {
	data   []byte
	writer string
}

// simStore stands in for the platform: live keys with leases, the shard's record and its log.
type simStore struct {
	epoch   int64
	live    map[string]time.Time
	log     []logEntry
	outage  bool
	owner   string
	record  int // record is the mod revision of the shard's record.
	s       *sim
	state   ledger.State
	takenAt time.Time
}

func (p *simStore) isLive(host string) bool { return p.s.now.Before(p.live[host]) }

// renew extends the lease of a live key, or grants a new one and returns true.
func (p *simStore) renew(host string) bool {
	lapsed := !p.isLive(host)
	p.live[host] = p.s.now.Add(9 * time.Second)
	return lapsed
}

// swapRecord writes the shard's record if it has the given revision.
func (p *simStore) swapRecord(revision int, owner string, epoch int64) bool {
	if p.record != revision {
		return false
	}
	if epoch != p.epoch {
		p.takenAt = p.s.now
		p.s.count["takeovers"]++
	}
	p.record++
	p.owner, p.epoch = owner, epoch
	return true
}

// append returns whether the entry at seq is the writer's, as a read-back after a conflict would show.
func (p *simStore) append(seq int, writer string, data []byte) bool {
	if seq < len(p.log) {
		return p.log[seq].writer == writer
	}
	b, err := ledger.DecodeBatch(data)
	if err == nil {
		p.state, err = p.state.Apply(b)
	}
	if err != nil {
		p.s.fail("log", err.Error())
	}
	p.log = append(p.log, logEntry{data, writer})
	for _, c := range b.Changes {
		switch c.Kind {
		case ledger.ChangeBind:
			p.s.binds[c.Task]++
		case ledger.ChangeEnd:
			p.s.checkEnd(c.Task)
		}
	}
	return true
}

// read returns the fold of the log; the snapshot form is used to check that it is complete.
func (p *simStore) read() (ledger.State, int) {
	var back ledger.State
	data, err := p.state.MarshalJSON()
	if err == nil {
		err = back.UnmarshalJSON(data)
	}
	if err != nil {
		p.s.fail("snapshot", err.Error())
	}
	return back, len(p.log)
}
