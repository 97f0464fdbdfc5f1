package entry

import (
	"strconv"
	"strings"
)

// Keys of the product in the platform's store.
const (
	root = "laburnumridge/"
	// controlPrefix holds what every host follows: hosts, owners and the layout.
	controlPrefix = root + "control/"
	hostPrefix    = controlPrefix + "host/"
	ownerPrefix   = controlPrefix + "owner/"
	epochPrefix   = controlPrefix + "epoch/"
	layoutKey     = controlPrefix + "layout"
	placedPrefix  = root + "placed/"
	jobPrefix     = root + "job/"
	progressRoot  = root + "progress/"
	weightsPrefix = root + "weights/"
	cancelSuffix  = "/cancel"
)

func ownerKey(shard int) string { return ownerPrefix + strconv.Itoa(shard) }

func weightsKey(shard int) string { return weightsPrefix + strconv.Itoa(shard) }

func epochKey(shard int) string { return epochPrefix + strconv.Itoa(shard) }

func placedKey(id string) string { return placedPrefix + id }

func jobsOf(shard int) string { return jobPrefix + strconv.Itoa(shard) + "/" }

func jobKey(shard int, id string) string { return jobsOf(shard) + id }

func cancelKey(shard int, id string) string { return jobKey(shard, id) + cancelSuffix }

func progressOf(shard int) string { return progressRoot + strconv.Itoa(shard) + "/" }

func progressKey(shard int, id string) string { return progressOf(shard) + id }

// shardOfKey returns the number that follows a prefix.
func shardOfKey(key, prefix string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	return n, err == nil
}
