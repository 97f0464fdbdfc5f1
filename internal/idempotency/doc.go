// Package idempotency deduplicates non-idempotent requests by their idempotency keys. The owner of a key
// partition keeps the keys of the requests that it has run, and decides whether a request with a key may
// run.
package idempotency
