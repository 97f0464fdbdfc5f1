// Package invariant counts runtime checks of the invariants in docs/invariants.md and reports violations.
package invariant
