// Package knownred skips tests that are listed as known failures in KNOWN-RED.txt.
package knownred
