// Package explain logs the decisions of an entry host and keeps the latest ones in memory for the explain command.
package explain
