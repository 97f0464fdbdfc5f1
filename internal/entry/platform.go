package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Platform is the set of functions that a platform's adapter provides.
type Platform struct {
	// Advise asks the placement advice service; it is nil if the platform has none.
	Advise func(ctx context.Context, a shard.AdviceRequest) shard.AdviceResponse
	// ConfigKey is the store key to which the operator writes the config.
	ConfigKey    string
	DecodeConfig func(value []byte) (workflow.Config, error)
	// DecodeEvacuation returns the zone that a key with EvacuationPrefix names.
	DecodeEvacuation func(key string) (zone string, err error)
	// DecodeWorker decodes an entry of the worker registry.
	DecodeWorker func(kv kvstore.KV) (shard.Worker, error)
	// EvacuationPrefix is the prefix of the keys that request that nothing be sent to the workers of a zone; "" if there are none.
	EvacuationPrefix string
	// Handler serves the callers' interface.
	Handler func(Service) http.Handler
	// OperatorPrefix is the common prefix of ConfigKey and EvacuationPrefix; "" stands for ConfigKey.
	OperatorPrefix string
	// Poll, Pace, Start and Stop call a worker.
	Poll  func(ctx context.Context, l shard.Poll) (shard.Listing, shard.Outcome)
	Pace  func(ctx context.Context, p shard.Pace) shard.Reply
	Start func(ctx context.Context, s shard.Start) shard.Reply
	Stop  func(ctx context.Context, s shard.Stop) shard.Reply
	Store kvstore.Store
	// WorkerPrefix is the prefix of the worker registry's keys.
	WorkerPrefix string
}

// Outcome is the result of a caller's request.
type Outcome string

// Outcomes of a caller's request.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeInvalid means that the request is malformed.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeNoQueue means that the config in force has no queue for the request.
	OutcomeNoQueue Outcome = "no_queue"
	// OutcomeNoJob means that the job does not exist.
	OutcomeNoJob Outcome = "no_job"
	// OutcomeRefused means that the request was not recorded and will not be.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the request may have been recorded.
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the answer to a caller.
type Answer struct {
	Outcome Outcome
	Pending int
	Reason  string
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
	State      workflow.State
}

// Service is the set of operations that the callers' interface invokes on the host.
type Service struct {
	Cancel func(ctx context.Context, q workflow.Queue, id string) Answer
	Config func() workflow.Config
	// IsDraining reports whether connections should be closed after the current request.
	IsDraining func() bool
	Pending    func(ctx context.Context, q workflow.Queue) Answer
	State      func(ctx context.Context, q workflow.Queue, id string) Answer
	Submit     func(ctx context.Context, j workflow.Job) Answer
}
