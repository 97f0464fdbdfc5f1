// Package retry bounds and paces the attempts of a request: retries, hedges, backoff and deadlines.
package retry
