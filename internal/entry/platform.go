package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Platform is what the platform's adapter provides.
type Platform struct {
	// Advise asks the placement advice service; it is nil where there is none.
	Advise func(ctx context.Context, a shard.Advise) shard.Advised
	// ConfigKey is the key of the config that the operator writes.
	ConfigKey    string
	DecodeConfig func(value []byte) (workflow.Config, error)
	// DecodeWorker reads an entry of the registry.
	DecodeWorker func(kv kvstore.KV) (shard.Worker, error)
	// Handler serves the callers' interface.
	Handler func(Service) http.Handler
	Look    func(ctx context.Context, l shard.Look) (shard.Listing, shard.Outcome)
	Pace    func(ctx context.Context, p shard.Pace) shard.Reply
	Start   func(ctx context.Context, s shard.Start) shard.Reply
	Stop    func(ctx context.Context, s shard.Stop) shard.Reply
	Store   kvstore.Store
	// WorkerPrefix is the prefix of the registry's keys.
	WorkerPrefix string
}

// Outcome is what a caller is told of a job.
type Outcome string

// Outcomes of a caller's request.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeInvalid is a request that is malformed.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeNoQueue is a request for a queue that no config in force has.
	OutcomeNoQueue Outcome = "no_queue"
	// OutcomeNoJob is a request for a job that is not known.
	OutcomeNoJob Outcome = "no_job"
	// OutcomeRefused says that nothing was recorded and nothing will be.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown says that the request may have been recorded.
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the answer to a caller.
type Answer struct {
	Outcome Outcome
	Pending int
	Reason  string
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	State      workflow.State
}

// Service is what the callers' interface asks of the host.
type Service struct {
	Cancel func(ctx context.Context, q workflow.Queue, id string) Answer
	Config func() workflow.Config
	// IsDraining says that connections should be closed after the present request.
	IsDraining func() bool
	Pending    func(ctx context.Context, q workflow.Queue) Answer
	State      func(ctx context.Context, q workflow.Queue, id string) Answer
	Submit     func(ctx context.Context, j workflow.Job) Answer
}
