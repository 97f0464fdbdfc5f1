// Package peer exchanges CBOR messages between entry hosts over WebSocket connections.
package peer
