// Package idempotency holds the keys of the non-idempotent requests that one key partition has run, and
// decides whether a request with a key may run.
package idempotency
