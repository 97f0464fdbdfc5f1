// Package kvstore defines the client interface of the platform's key-value store, with an etcd client, a rate limiter,
// a bounded log on top of it, and a reader of the host list that the platform keeps there.
package kvstore
