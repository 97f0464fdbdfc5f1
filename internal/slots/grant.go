package slots

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// DefaultTTL is how long a host may use a grant.
	DefaultTTL = 2 * time.Second
	// drift is the part added to the TTL on the owner's side for clocks that run at other rates.
	drift = 10
)

// Stamp is a time on a host's own monotonic clock, counted from the start of its wallet.
type Stamp time.Duration

// Grant tells a host how many slots it may use on each backend server of a shard; a server that is
// not listed has none.
type Grant struct {
	_ struct{} `cbor:",toarray"` // renewals are most of the control traffic between hosts

	Counts map[string]int
	Epoch  int64
	Host   string
	// SameAs, if above zero, says that the counts are those since the grant with that sequence
	// number. Most grants renew only; listing all counts twice a second would exceed the control
	// traffic that a host may cause.
	SameAs int64
	Seq    int64
	Shard  fleet.ShardID
	// Stamp is the latest stamp that the owner had from the host. The TTL counts from it, so a
	// grant that was delayed on its way does not outlive the time for which the owner counts it.
	Stamp Stamp
	TTL   time.Duration
}

// Ack reports the last grant that a host installed and what it uses.
type Ack struct {
	_ struct{} `cbor:",toarray"`

	Epoch int64
	// Expired says that the host could no longer use the grant when it sent the ack.
	Expired bool
	Host    string
	// InUse lists the backend servers on which more is in use than the host may use. Elsewhere the
	// grant itself bounds the use.
	InUse map[string]int
	Seq   int64
	Shard fleet.ShardID
	Stamp Stamp
}
