package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 128

// ErrInvalidKey reports a key that is empty, too long or not printable ASCII.
var ErrInvalidKey = eris.New("invalid idempotency key")

// Key identifies a request across its repeats.
type Key struct {
	// MintedAt is the creation time encoded in the key, zero if it has none.
	MintedAt time.Time
	text     string
	// Zone is the zone prefix of the key, empty if it has none.
	Zone string
}

// NewKey returns a key of the form <zone>:<id>.
func NewKey(zone string, id ulid.ULID) Key {
	return Key{MintedAt: id.Timestamp(), text: zone + ":" + id.String(), Zone: zone}
}

// ParseKey parses a key. Text that is not of the form [<zone>:]<ULID> is a valid key whose missing parts
// are zero. Errors match ErrInvalidKey.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > MaxKeyBytes {
		return Key{}, eris.Wrapf(ErrInvalidKey, "%d bytes, allowed are 1 to %d", len(text), MaxKeyBytes)
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) {
		return Key{}, eris.Wrap(ErrInvalidKey, "not printable ASCII")
	}
	k := Key{text: text}
	zone, id, ok := strings.Cut(text, ":")
	if !ok {
		id = text
	} else {
		k.Zone = zone
	}
	// A ULID in lower case is a different key, so a time is read only from the canonical form.
	if u, err := ulid.ParseStrict(id); err == nil && u.String() == id {
		k.MintedAt = u.Timestamp()
	}
	return k, nil
}

// String returns the key's text.
func (k Key) String() string { return k.text }

// Home returns the zone whose owner decides on the key: the key's zone if it is in zones, else one chosen by
// the key's hash. zones must have the same order on every host. The result is empty if zones is empty.
func Home(k Key, zones []string) string {
	if slices.Contains(zones, k.Zone) {
		return k.Zone
	}
	if len(zones) == 0 {
		return ""
	}
	return zones[fleet.Partition(k.text, len(zones))]
}

// Partition returns the key's partition among the shards of its home zone.
func Partition(k Key, shards int) int { return fleet.Partition(k.text, shards) }
