package workercall

import "time"

// Origin is the event from which a bound counts, as it appears in logs.
type Origin string

// Bound is the latest time at which leases that others have granted end, on the owner's clock, and the event from which it counts.
type Bound struct {
	End    time.Time
	Origin Origin
}

// Later returns the bound that ends later.
func (b Bound) Later(other Bound) Bound {
	if other.End.After(b.End) {
		return other
	}
	return b
}
