// Package asynclog writes log lines without ever blocking the code that logs.
package asynclog
