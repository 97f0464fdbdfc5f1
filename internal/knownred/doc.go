// Package knownred skips tests that KNOWN-RED.txt lists.
package knownred
