package clientmemory

import (
	"context"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits holds the budgets of a process, by kind of client.
type Limits struct {
	Plan
	CallerBytes, OperatorBytes, PeerBytes *Budget
	Report                                *Reporter
}

// NewLimits returns the limits of a process on a machine with the given memory in bytes.
func NewLimits(memory int64, log *logrus.Entry) *Limits {
	plan, report := NewPlan(memory), NewReporter(log, time.Now)
	return &Limits{
		CallerBytes:   NewBudget(plan.Callers.Bytes, report, time.Now),
		OperatorBytes: NewBudget(plan.Operators.Bytes, report, time.Now),
		PeerBytes:     NewBudget(plan.Peers.Bytes, report, time.Now),
		Plan:          plan,
		Report:        report,
	}
}

// decoding holds a token for each body that is being decoded. More at a time than there are processors would not be faster, and each needs
// a multiple of its size meanwhile.
var decoding = make(chan struct{}, runtime.GOMAXPROCS(0))

// Decode calls f when few enough bodies are being decoded. It returns the error of ctx if that ends first.
func Decode(ctx context.Context, f func() error) error {
	select {
	case decoding <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-decoding }()
	return f()
}
