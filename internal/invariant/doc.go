// Package invariant counts checks of what must always hold and reports violations.
package invariant
