// Package retry limits the number of a request's attempts by budgets for retries and hedges, and times them by
// backoff, hedge delays and deadlines.
package retry
