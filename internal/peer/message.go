package peer

import (
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/slots"
)

// Hello is the first message on a connection.
type Hello struct {
	Host        string `json:"host"`
	PeerAddress string `json:"peer_address"`
	// Run is unique to the process, so that a restarted host is told from the former one.
	Run  string `json:"run"`
	Zone string `json:"zone"`
}

// Owned tells that the sender owns a shard.
type Owned struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	// FreePercent is the part of the shard's processors that is not reserved.
	FreePercent int
	Index       int
	// Serving says that the owner answers for the shard's idempotency keys.
	Serving bool
	Zone    string
}

// Shard returns the shard's id.
func (o Owned) Shard() fleet.ShardID { return fleet.ShardID{Index: o.Index, Zone: o.Zone} }

// Heartbeat tells that the sender lives and what it has applied; it is encoded as an array to stay small.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Draining bool
	Owned    []Owned
	Revision int64
}

// NotesRequest asks for the notes after a revision.
type NotesRequest struct {
	After int64 `json:"after"`
}

// NotesReply carries notes in order, or the whole catalogue if the sender no longer has them.
type NotesReply struct {
	Catalogue []byte   `json:"catalogue,omitempty"`
	Notes     [][]byte `json:"notes,omitempty"`
}

// Grant carries an entry host's slots and connections of a shard and where its work runs.
type Grant struct {
	Connections slots.Grant `json:"c"`
	// Replicas lists the workers of each work; it is left out if the host has this version.
	Replicas        map[string][]string `json:"w,omitempty"`
	ReplicasVersion int64               `json:"v"`
	Slots           slots.Grant         `json:"s"`
}

// GrantAck tells the owner which grants are in force at the host, what is in use and what it needs.
type GrantAck struct {
	Connections      slots.Ack `json:"c"`
	ConnectionDemand float64   `json:"cd"`
	ReplicasVersion  int64     `json:"v"`
	SlotDemand       float64   `json:"sd"`
	Slots            slots.Ack `json:"s"`
}

// ExplainRequest asks for the decisions that concern an id.
type ExplainRequest struct {
	ID string `json:"id"`
}

// ExplainReply carries the decisions found.
type ExplainReply struct {
	Decisions []explain.Decision `json:"decisions,omitempty"`
}

// StatusRequest asks for a host's state; Job limits it to one job.
type StatusRequest struct {
	Job string `json:"job,omitempty"`
}

// StatusReply carries a host's state as JSON.
type StatusReply struct {
	Status []byte `json:"status"`
}

// Handover gives a shard and its idempotency keys to the host that is to own it next.
type Handover struct {
	Epoch int64  `json:"epoch"`
	Index int    `json:"index"`
	Keys  []byte `json:"keys"`
	Zone  string `json:"zone"`
}

// Message is one frame; one of its pointers is set. ID matches a reply to its request.
type Message struct {
	Explain       *ExplainRequest `json:"explain,omitempty"`
	ExplainReply  *ExplainReply   `json:"explain_reply,omitempty"`
	Grant         *Grant          `json:"grant,omitempty"`
	GrantAck      *GrantAck       `json:"grant_ack,omitempty"`
	Heartbeat     *Heartbeat      `json:"hb,omitempty"`
	Hello         *Hello          `json:"hello,omitempty"`
	Handover      *Handover       `json:"handover,omitempty"`
	ID            uint64          `json:"id,omitempty"`
	Notes         *NotesRequest   `json:"notes,omitempty"`
	NotesReply    *NotesReply     `json:"notes_reply,omitempty"`
	RefusedReason string          `json:"refused_reason,omitempty"`
	// RelayTo asks the receiver to pass the request on to another entry host.
	RelayTo     string         `json:"relay_to,omitempty"`
	Reply       bool           `json:"reply,omitempty"`
	Status      *StatusRequest `json:"status,omitempty"`
	StatusReply *StatusReply   `json:"status_reply,omitempty"`
}
