package peer

import (
	"github.com/laburnumridge/laburnumridge/internal/evacuation"
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/slots"
)

// Hello is the first message in each direction of a connection and identifies the sender.
type Hello struct {
	Host        string `json:"host"`
	PeerAddress string `json:"peer_address"`
	// Incarnation identifies the process, to distinguish a restarted host from its previous instance.
	Incarnation string `json:"run"`
	Zone        string `json:"zone"`
}

// OwnedShard announces that the sender owns a shard.
type OwnedShard struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	// FreePercent is the percentage of the shard's CPU capacity that is not reserved.
	FreePercent int
	Index       int
	// ServesKeys is true once the owner decides on the shard's idempotency keys.
	ServesKeys bool
	Zone       string
}

// Shard returns the id of the owned shard.
func (o OwnedShard) Shard() fleet.ShardID { return fleet.ShardID{Index: o.Index, Zone: o.Zone} }

// Heartbeat announces that the sender is alive, the shards that it owns and the revision that it has applied. It is
// encoded as a CBOR array to keep it small.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Draining bool
	Owned    []OwnedShard
	Revision int64
}

// NotesRequest requests the notes after a revision.
type NotesRequest struct {
	After int64 `json:"after"`
}

// NotesReply contains the requested notes in order, or the whole catalogue if the sender no longer has them.
type NotesReply struct {
	Catalogue []byte   `json:"catalogue,omitempty"`
	Notes     [][]byte `json:"notes,omitempty"`
}

// Grant gives an entry host its slots and connections of a shard, and the workers that run its work. It is encoded as a
// CBOR array to keep it small, because grants are renewed continuously.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Connections slots.Grant
	// Replicas lists the workers of each work. It is empty if the host already has ReplicasVersion.
	Replicas        map[string][]string
	ReplicasVersion int64
	Slots           slots.Grant
}

// GrantAck tells the owner which grants are in force at the host, how much of them is in use, and the host's demand.
type GrantAck struct {
	_ struct{} `cbor:",toarray"`

	ConnectionDemand float64
	Connections      slots.Ack
	ReplicasVersion  int64
	SlotDemand       float64
	Slots            slots.Ack
}

// ExplainRequest requests the decisions recorded about an id.
type ExplainRequest struct {
	ID string `json:"id"`
}

// ExplainReply contains the decisions recorded by the replying host.
type ExplainReply struct {
	Decisions []explain.Decision `json:"decisions,omitempty"`
}

// StatusRequest requests a host's state, limited to one job if Job is set.
type StatusRequest struct {
	Job string `json:"job,omitempty"`
}

// StatusReply contains a host's state as JSON.
type StatusReply struct {
	Status []byte `json:"status"`
}

// Handover transfers a shard and its idempotency keys to the next owner. Keys is empty if the sender's key table is not complete
// from a known time on. A large table is sent in several messages with increasing Part; all but the last have More set.
type Handover struct {
	Epoch int64  `json:"epoch"`
	Index int    `json:"index"`
	Keys  []byte `json:"keys"`
	More  bool   `json:"more,omitempty"`
	Part  int    `json:"part,omitempty"`
	Zone  string `json:"zone"`
}

// KeyOutcome tells the owner of a shard how a request ended whose key was handed over while it ran. Outcome is an
// idempotency.LateOutcome as JSON.
type KeyOutcome struct {
	Index   int    `json:"index"`
	Outcome []byte `json:"outcome"`
	Zone    string `json:"zone"`
}

// JobSubmit sends a job to another entry host. If Accepted is true, the job is already recorded in the store and the
// message notifies the owner of its shard; otherwise the receiver records it for a host that can't reach the store.
type JobSubmit struct {
	Accepted bool   `json:"accepted,omitempty"`
	Job      []byte `json:"job"`
	// Revision is the store revision of the job's record if Accepted is true; 0 from hosts of older builds.
	Revision int64 `json:"revision,omitempty"`
	Shard    int   `json:"shard"`
}

// JobCancel sends the cancellation of a job. If Recorded is true, it is already in the store, as with
// JobSubmit.Accepted.
type JobCancel struct {
	ID       string `json:"id"`
	Recorded bool   `json:"recorded,omitempty"`
	Shard    int    `json:"shard"`
}

// JobPrevent asks another entry host to keep a job from being recorded, which is cancelled and not on record. The reply is a
// JobReply. Hosts of older builds refuse it.
type JobPrevent struct {
	ID string `json:"id"`
}

// JobQuery requests the state of a job from the owner of a shard, or, if Shard is negative, the shard that holds the
// job.
type JobQuery struct {
	ID    string `json:"id"`
	Shard int    `json:"shard"`
}

// JobReply is the reply to JobSubmit, JobCancel, JobPrevent and JobQuery. Outcome holds a value of entry.Outcome.
type JobReply struct {
	Outcome string `json:"outcome"`
	// Revision is the store revision of the record of a submitted job; 0 from hosts of older builds.
	Revision int64  `json:"revision,omitempty"`
	Shard    int    `json:"shard"`
	State    string `json:"state,omitempty"`
}

// Record is a key of the store with its revision or its value, or both.
type Record struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision,omitempty"`
	Value    []byte `json:"value,omitempty"`
}

// RecordsWrite requests a transaction for the owner of a shard, for which the store does not carry it out. Each guard is a key and
// the revision that it must have, 0 if it must be absent.
type RecordsWrite struct {
	Deletes []string `json:"deletes,omitempty"`
	Guards  []Record `json:"guards"`
	Puts    []Record `json:"puts,omitempty"`
}

// RecordsReply is the reply to RecordsWrite. Outcome holds a value of entry.Outcome. Revision is that of the writes; if a guard did
// not hold, Current holds the guarded keys as they are.
type RecordsReply struct {
	Current  []Record `json:"current,omitempty"`
	Outcome  string   `json:"outcome"`
	Revision int64    `json:"revision,omitempty"`
}

// PendingQuery requests from the owner of a shard the number of jobs of a queue that have not started.
type PendingQuery struct {
	Queue string `json:"queue"`
	Shard int    `json:"shard"`
}

// PendingReply is the reply to PendingQuery. Known is false if the replying host does not own the shard.
type PendingReply struct {
	Count int  `json:"count"`
	Known bool `json:"known"`
}

// Demand is what equal tasks need from the workers of a shard: the fields of shard.Demand.
type Demand struct {
	Count     int             `json:"count"`
	IsNew     bool            `json:"is_new,omitempty"`
	IsShort   bool            `json:"is_short,omitempty"`
	Job       string          `json:"job,omitempty"`
	Label     string          `json:"label,omitempty"`
	PerWorker int             `json:"per_worker,omitempty"`
	Resources fleet.Resources `json:"resources"`
	Service   string          `json:"service"`
	Step      int             `json:"step,omitempty"`
}

// LoadQuery requests from the owner of a shard its load and free capacity for a service.
type LoadQuery struct {
	// Demands are those that the shard's workers must be able to hold.
	Demands []Demand `json:"demands,omitempty"`
	Service string   `json:"service"`
	Shard   int      `json:"shard"`
}

// LoadReply is the reply to LoadQuery: the fields of shard.Load, in thousandths of a core. Known is false if the
// replying host does not own the shard.
type LoadReply struct {
	Expected int64 `json:"expected,omitempty"`
	Fill     int64 `json:"fill"`
	// Forecast is nil in replies of older builds.
	Forecast *forecast.View `json:"forecast,omitempty"`
	Free     int64          `json:"free"`
	// Interrupted is the number of long-running tasks that ran before and wait for a worker.
	Interrupted int   `json:"interrupted,omitempty"`
	Known       bool  `json:"known"`
	Left        int64 `json:"left"`
	Room        int64 `json:"room"`
	// Unsuitable is set if the shard's workers could not hold one of the demands even if they were empty.
	Unsuitable bool `json:"unsuitable,omitempty"`
}

// RoomQuery asks the owner of a shard how many tasks of each demand its workers could take at once.
type RoomQuery struct {
	Demands []Demand `json:"demands"`
	Shard   int      `json:"shard"`
}

// RoomReply is the reply to RoomQuery, with one number for each demand. It is empty if the replying host does not own the shard, or
// has promised its room to another owner a moment before.
type RoomReply struct {
	Room []int `json:"room,omitempty"`
}

// JobExpected tells the owner of a shard that a host has chosen the shard for a job, which it will record. Fill and Free are those of
// shard.Load for a shard that has nothing but the job. Its reply is empty.
type JobExpected struct {
	Fill    int64  `json:"fill"`
	Free    int64  `json:"free"`
	ID      string `json:"id"`
	Service string `json:"service"`
	Shard   int    `json:"shard"`
}

// ConfigQuery requests a config newer than Version.
type ConfigQuery struct {
	// Evacuations is the store revision of the set of evacuated zones that the sender knows; 0 if it knows none.
	Evacuations int64 `json:"evacuations,omitempty"`
	Version     int64 `json:"version"`
}

// ConfigReply contains the config as the operator wrote it. Data is empty if the replying host has no newer one.
type ConfigReply struct {
	Data []byte `json:"data,omitempty"`
	// Evacuations is nil if the replying host has no newer set, or is of an older build.
	Evacuations *evacuation.Set `json:"evacuations,omitempty"`
}

// Message is the content of one frame; at most one of its message pointers is set. A request has an ID above 0, and its
// reply has the same ID and Reply set. Messages without an ID are one-way.
type Message struct {
	ConfigQuery   *ConfigQuery    `json:"cq,omitempty"`
	ConfigReply   *ConfigReply    `json:"cr,omitempty"`
	Explain       *ExplainRequest `json:"explain,omitempty"`
	ExplainReply  *ExplainReply   `json:"explain_reply,omitempty"`
	Grant         *Grant          `json:"g,omitempty"`
	GrantAck      *GrantAck       `json:"ga,omitempty"`
	Heartbeat     *Heartbeat      `json:"hb,omitempty"`
	Hello         *Hello          `json:"hello,omitempty"`
	Handover      *Handover       `json:"handover,omitempty"`
	ID            uint64          `json:"id,omitempty"`
	JobCancel     *JobCancel      `json:"jc,omitempty"`
	JobExpected   *JobExpected    `json:"je,omitempty"`
	JobPrevent    *JobPrevent     `json:"jp,omitempty"`
	JobQuery      *JobQuery       `json:"jq,omitempty"`
	JobReply      *JobReply       `json:"jr,omitempty"`
	JobSubmit     *JobSubmit      `json:"js,omitempty"`
	KeyOutcome    *KeyOutcome     `json:"ko,omitempty"`
	LoadQuery     *LoadQuery      `json:"lq,omitempty"`
	LoadReply     *LoadReply      `json:"lr,omitempty"`
	Notes         *NotesRequest   `json:"notes,omitempty"`
	NotesReply    *NotesReply     `json:"notes_reply,omitempty"`
	PendingQuery  *PendingQuery   `json:"pq,omitempty"`
	PendingReply  *PendingReply   `json:"pr,omitempty"`
	RecordsReply  *RecordsReply   `json:"rr,omitempty"`
	RecordsWrite  *RecordsWrite   `json:"rw,omitempty"`
	RefusedReason string          `json:"refused_reason,omitempty"`
	RoomQuery     *RoomQuery      `json:"mq,omitempty"`
	RoomReply     *RoomReply      `json:"mr,omitempty"`
	// RelayTo names another entry host to which the receiver must forward the request.
	RelayTo     string         `json:"relay_to,omitempty"`
	Reply       bool           `json:"reply,omitempty"`
	Status      *StatusRequest `json:"status,omitempty"`
	StatusReply *StatusReply   `json:"status_reply,omitempty"`
}
