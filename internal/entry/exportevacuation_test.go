package entry

import "context"

// FetchConfigFromPeer asks a peer for a newer config and newer evacuations.
func (h *Host) FetchConfigFromPeer(ctx context.Context) { h.fetchConfigFromPeer(ctx) }

// EvacuatedZones returns the zones that the host takes for evacuated, and whether it knows.
func (h *Host) EvacuatedZones() ([]string, bool) {
	return h.config.evacuations.Current().Names(), h.config.evacuations.IsKnown()
}
