package entry

import (
	"strconv"
	"strings"
)

// Keys in the platform's store.
const (
	root = "laburnumridge/"
	// controlPrefix is the prefix of the keys that every host watches: hosts, owners, epochs and the layout.
	controlPrefix = root + "control/"
	hostPrefix    = controlPrefix + "host/"
	ownerPrefix   = controlPrefix + "owner/"
	epochPrefix   = controlPrefix + "epoch/"
	// successorPrefix is the prefix of the keys that name the host to which a shard was last handed over. Such a key counts
	// until the next change of the shard's epoch key.
	successorPrefix = controlPrefix + "successor/"
	// settledPrefix is the prefix of the keys that say that all leases of earlier owners have ended, by the epoch of the owner that says so.
	settledPrefix = controlPrefix + "settled/"
	layoutKey     = controlPrefix + "layout"
	// locationPrefix is the prefix of the JobLocation records, which name the shard of each job.
	locationPrefix = root + "placed/"
	jobPrefix      = root + "job/"
	progressPrefix = root + "progress/"
	weightsPrefix  = root + "weights/"
	handoverPrefix = root + "handover/"
	// answeredPrefix is the prefix of the marks that say which starts on record have responses.
	answeredPrefix = root + "answered/"
	// cancelSuffix follows the key of a job in the key that records its cancellation.
	cancelSuffix = "/cancel"
	// returnedInfix follows the key of a shared job in the keys that hold what its guests returned; the shard of the guest comes last.
	returnedInfix = "/returned/"
)

func ownerKey(shard int) string { return ownerPrefix + strconv.Itoa(shard) }

func handoverKey(shard int) string { return handoverPrefix + strconv.Itoa(shard) }

func answeredKey(shard int) string { return answeredPrefix + strconv.Itoa(shard) }

func weightsKey(shard int) string { return weightsPrefix + strconv.Itoa(shard) }

func epochKey(shard int) string { return epochPrefix + strconv.Itoa(shard) }

func settledKey(shard int) string { return settledPrefix + strconv.Itoa(shard) }

func successorKey(shard int) string { return successorPrefix + strconv.Itoa(shard) }

func locationKey(id string) string { return locationPrefix + id }

func shardJobsPrefix(shard int) string { return jobPrefix + strconv.Itoa(shard) + "/" }

func jobKey(shard int, id string) string { return shardJobsPrefix(shard) + id }

func cancelKey(shard int, id string) string { return jobKey(shard, id) + cancelSuffix }

func returnedKey(home int, id string, guest int) string {
	return jobKey(home, id) + returnedInfix + strconv.Itoa(guest)
}

func shardProgressPrefix(shard int) string { return progressPrefix + strconv.Itoa(shard) + "/" }

func progressKey(shard int, id string) string { return shardProgressPrefix(shard) + id }

// parseShardKey returns the shard number that follows a prefix, and whether there is one.
func parseShardKey(key, prefix string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	return n, err == nil
}
