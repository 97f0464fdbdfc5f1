package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// LeaseSource names the owner whose claim bounds the leases of workers after a takeover.
type LeaseSource struct {
	Host string
	// Incarnation identifies the process of the host, and Revision its claim.
	Incarnation string
	Revision    int64
	// Requested is the longest lease that this owner can have requested, from its last renewal or order.
	Requested time.Duration
}

// fields returns the source for a log line; there are none if the owner is not known.
func (s LeaseSource) fields() logrus.Fields {
	if s.Host == "" {
		return nil
	}
	return logrus.Fields{"bounded_by": s.Host, "bounded_by_incarnation": s.Incarnation, "bounded_by_claim": s.Revision, "bounded_by_request": s.Requested.String()}
}
