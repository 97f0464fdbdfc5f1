package locality

// RackDemand compares the tasks that name a rack and don't run there with the room that runs which end leave there. It is in thousandths of
// a core.
type RackDemand struct{ unmet, room map[string]int64 }

// NewRackDemand returns the demand for racks with the given room.
func NewRackDemand(room map[string]int64) *RackDemand {
	return &RackDemand{unmet: map[string]int64{}, room: room}
}

// Add notes tasks that name a rack.
func (d *RackDemand) Add(rack string, cpu int64) { d.unmet[rack] += cpu }

// Share returns the part of the room in a rack that the tasks would take which don't run there, at most 1. A nil demand is 0.
func (d *RackDemand) Share(rack string) float64 {
	if d == nil || d.unmet[rack] == 0 {
		return 0
	}
	return min(float64(d.unmet[rack])/float64(max(d.room[rack], 1)), 1)
}
