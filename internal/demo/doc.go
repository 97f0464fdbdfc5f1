// Package demo runs a small fleet of stand-ins and entry hosts in one process.
package demo
