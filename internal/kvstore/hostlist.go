package kvstore

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// HostPrefix is the prefix of the keys in which the platform keeps its host list.
const HostPrefix = "hosts/"

// HostList reads the platform's host list; errors match ErrUnavailable.
func HostList(ctx context.Context, s Store) (fleet.Snapshot, error) {
	kvs, _, err := s.Range(ctx, HostPrefix)
	if err != nil {
		return fleet.Snapshot{}, err
	}
	hosts := make([]fleet.Host, 0, len(kvs))
	for _, kv := range kvs {
		var h fleet.Host
		if err := json.Unmarshal(kv.Value, &h); err != nil {
			return fleet.Snapshot{}, eris.Wrapf(ErrUnavailable, "host list: %s: %s", kv.Key, err)
		}
		hosts = append(hosts, h)
	}
	return fleet.NewSnapshot(hosts...), nil
}
