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
	Counts map[string]int `cbor:"counts"`
	Epoch  int64          `cbor:"epoch"`
	Host   string         `cbor:"host"`
	Seq    int64          `cbor:"seq"`
	Shard  fleet.ShardID  `cbor:"shard"`
	// Stamp is the latest stamp that the owner had from the host. The TTL counts from it, so a
	// grant that was delayed on its way does not outlive the time for which the owner counts it.
	Stamp Stamp         `cbor:"stamp"`
	TTL   time.Duration `cbor:"ttl"`
}

// Ack reports the last grant that a host installed and what it uses.
type Ack struct {
	Epoch int64 `cbor:"epoch"`
	// Expired says that the host could no longer use the grant when it sent the ack.
	Expired bool           `cbor:"expired"`
	Host    string         `cbor:"host"`
	InUse   map[string]int `cbor:"in_use"`
	Seq     int64          `cbor:"seq"`
	Shard   fleet.ShardID  `cbor:"shard"`
	Stamp   Stamp          `cbor:"stamp"`
}
