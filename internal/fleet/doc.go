// Package fleet holds the hosts of the platform's host list, resource vectors, and the mapping of racks to shards.
package fleet
