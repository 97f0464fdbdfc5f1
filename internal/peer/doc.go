// Package peer connects entry hosts with each other by WebSocket and CBOR.
package peer
