package slots

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// DefaultTTL is how long a host may use a grant.
	DefaultTTL = 2 * time.Second
	// clockDriftDivisor sets the margin for clock drift: the owner counts a grant as usable for the
	// TTL plus 1/clockDriftDivisor of it.
	clockDriftDivisor = 10
)

// Stamp is a time on a host's own monotonic clock, measured from the creation of its pool.
type Stamp time.Duration

// Grant is the number of slots that a host may use on each backend server of a shard. The host may use
// none on a server that is not listed.
type Grant struct {
	// Encoded as an array because renewals are most of the control traffic between hosts.
	_ struct{} `cbor:",toarray"`

	Counts map[string]int
	Epoch  int64
	Host   string
	// RenewedSeq, if above zero, is the sequence number of an earlier grant whose counts this grant
	// renews; Counts is then empty. Most grants only renew: listing all counts twice a second would
	// exceed the limit on control traffic per host.
	RenewedSeq int64
	Seq        int64
	Shard      fleet.ShardID
	// Stamp is the latest stamp that the owner received from the host. The TTL starts at it, so a
	// grant that is delayed in transit is not usable after the owner considers it expired.
	Stamp Stamp
	TTL   time.Duration
}

// Ack reports the last grant that a host installed and the slots that it uses.
type Ack struct {
	_ struct{} `cbor:",toarray"`

	Epoch int64
	// Expired is set if the host could take no slots when it sent the ack: its grant had expired or was
	// of a fenced epoch, or it had not received any.
	Expired bool
	Host    string
	// InUse lists only the backend servers on which the host uses more slots than it may; on the
	// others the grant bounds the number in use.
	InUse map[string]int
	Seq   int64
	Shard fleet.ShardID
	Stamp Stamp
}
