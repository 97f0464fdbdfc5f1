package demo

import (
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/examples"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// User describes the fleet and the workloads of one of the users in examples.
type User struct {
	// Batch is the batch workload that the demo submits as jobs.
	Batch  string
	Name   string
	Note   []byte
	Region string
	// Services are the services that receive requests. Only the first is not idempotent.
	Services       []string
	Worker         fleet.Resources
	WorkersPerRack int
	WorkersPerZone int
	Zones          []string
}

// UserByName returns the user with the given name, kelaniya or retablo.
func UserByName(name string) (User, error) {
	switch name {
	case "kelaniya":
		return User{
			Batch: "dosing-history", Name: name, Note: examples.KelaniyaNote, Region: "western",
			Services:       []string{"dose-orders", "dosing-checks", "room-readings"},
			Worker:         fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
			WorkersPerRack: 6, WorkersPerZone: 12, Zones: []string{"kelaniya", "peliyagoda"},
		}, nil
	case "retablo":
		return User{
			Batch: "settlement", Name: name, Note: examples.RetabloNote, Region: "peru-central",
			Services:       []string{"seat-holds", "seat-search"},
			Worker:         fleet.Resources{Connections: 64, CPUMilli: 16_000, MemoryMiB: 62_000, Slots: 8},
			WorkersPerRack: 8, WorkersPerZone: 16, Zones: []string{"lima-a", "lima-b"},
		}, nil
	}
	return User{}, eris.Errorf("user %q must be kelaniya or retablo", name)
}
