// Package asynclog writes log lines in the background, so that a slow log output never blocks the code that logs.
package asynclog
