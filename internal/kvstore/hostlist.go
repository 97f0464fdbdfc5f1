package kvstore

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// HostPrefix is the key prefix of the platform's host list.
const HostPrefix = "hosts/"

// ReadHostList reads the platform's host list. Errors match ErrUnavailable, also if an entry is malformed.
func ReadHostList(ctx context.Context, s Store) (fleet.Snapshot, error) {
	kvs, _, err := s.Range(ctx, HostPrefix)
	if err != nil {
		return fleet.Snapshot{}, err
	}
	hosts := make([]fleet.Host, 0, len(kvs))
	for _, kv := range kvs {
		var h fleet.Host
		if err := json.Unmarshal(kv.Value, &h); err != nil {
			return fleet.Snapshot{}, eris.Wrapf(ErrUnavailable, "decoding host list entry %s: %s", kv.Key, err)
		}
		hosts = append(hosts, h)
	}
	return fleet.NewSnapshot(hosts...), nil
}
