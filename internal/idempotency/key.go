package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// MaxKeyBytes bounds the text of a key.
const MaxKeyBytes = 128

// ErrInvalidKey says that a key is empty, too long or not printable ASCII.
var ErrInvalidKey = eris.New("invalid idempotency key")

// Key names a request across repeats.
type Key struct {
	// MintedAt is the time that the key carries; zero if none can be read.
	MintedAt time.Time
	text     string
	// Zone is the home that the key names, empty if none.
	Zone string
}

// NewKey returns the key <zone>:<id>.
func NewKey(zone string, id ulid.ULID) Key {
	return Key{MintedAt: id.Timestamp(), text: zone + ":" + id.String(), Zone: zone}
}

// ParseKey reads a key; text of another form is a key without zone or time. Errors match ErrInvalidKey.
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
	// A ULID in another case would be another key with the same time, so only the canonical form has a time.
	if u, err := ulid.ParseStrict(id); err == nil && u.String() == id {
		k.MintedAt = u.Timestamp()
	}
	return k, nil
}

// String returns the key's text.
func (k Key) String() string { return k.text }

// Home returns the zone whose owner decides on the key: the one that it names, else one by hash over zones,
// which must be sorted alike on every host. It is empty if there are no zones.
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
