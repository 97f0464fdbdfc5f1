// Package demo runs a small fleet in one process: entry hosts, fake workers and a fake platform.
package demo
