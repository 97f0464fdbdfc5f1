package fake

import (
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// InterferenceFunc returns the factor on the service times of a service beside the given tasks.
type InterferenceFunc func(service string, running []Running) float64

// Running is a task as an InterferenceFunc sees it.
type Running struct {
	// Fraction is the throttle, 1 at full speed.
	Fraction float64
	Kind     note.Kind
	Task     string
	Work     string
}

// WorkerOption changes a setting of a new worker.
type WorkerOption func(*workerOptions)

type workerOptions struct {
	capacity       fleet.Resources
	epochCapable   bool
	feedInterval   time.Duration
	handler        http.HandlerFunc
	id             string
	interference   InterferenceFunc
	journal        *Journal
	lag            time.Duration
	lease          time.Duration
	now            func() time.Time
	profile        func(worker.StartRequest) Profile
	rnd            *mathrand.Rand
	sampleInterval time.Duration
	serviceTime    func(service string, rnd *mathrand.Rand) time.Duration
}

// WithCapacity sets what the worker holds; the default is that of the Kelaniya workers.
func WithCapacity(r fleet.Resources) WorkerOption {
	return func(o *workerOptions) { o.capacity = r }
}

// WithClock sets the worker's clock, by which it ends leases and judges tokens.
func WithClock(now func() time.Time) WorkerOption { return func(o *workerOptions) { o.now = now } }

// WithFeedInterval sets the time between the events of a feed; the default is 1 s.
func WithFeedInterval(d time.Duration) WorkerOption {
	return func(o *workerOptions) { o.feedInterval = d }
}

// WithHandler sets what answers a short request after its service time; the default echoes it.
func WithHandler(h http.HandlerFunc) WorkerOption { return func(o *workerOptions) { o.handler = h } }

// WithID sets the host id; the default is worker-1.
func WithID(id string) WorkerOption { return func(o *workerOptions) { o.id = id } }

// WithInterference sets the slowdown of services; the default is none.
func WithInterference(f InterferenceFunc) WorkerOption {
	return func(o *workerOptions) { o.interference = f }
}

// WithJournal sets the journal that workers share.
func WithJournal(j *Journal) WorkerOption { return func(o *workerOptions) { o.journal = j } }

// WithLag sets the time from taking a sample to reporting it; the default is 5 s.
func WithLag(d time.Duration) WorkerOption { return func(o *workerOptions) { o.lag = d } }

// WithLease sets the lease of tasks and the life of tokens; the default is 15 s.
func WithLease(d time.Duration) WorkerOption { return func(o *workerOptions) { o.lease = d } }

// WithProfile sets the true behaviour of tasks; the default is DeclaredProfile.
func WithProfile(f func(worker.StartRequest) Profile) WorkerOption {
	return func(o *workerOptions) { o.profile = f }
}

// WithSampleInterval sets the time between samples; the default is 5 s.
func WithSampleInterval(d time.Duration) WorkerOption {
	return func(o *workerOptions) { o.sampleInterval = d }
}

// WithSeed seeds the service times; the default derives the seed from the id.
func WithSeed(seed uint64) WorkerOption {
	return func(o *workerOptions) { o.rnd = mathrand.New(mathrand.NewPCG(seed, 0)) }
}

// WithServiceTime sets how service times are drawn; the default is 2 ms plus an exponential mean of 3 ms.
func WithServiceTime(f func(service string, rnd *mathrand.Rand) time.Duration) WorkerOption {
	return func(o *workerOptions) { o.serviceTime = f }
}

// WithoutEpochs makes a worker without the epoch capability.
func WithoutEpochs() WorkerOption { return func(o *workerOptions) { o.epochCapable = false } }

func defaultWorkerOptions() workerOptions {
	return workerOptions{
		capacity:       fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
		epochCapable:   true,
		feedInterval:   time.Second,
		handler:        echo,
		id:             "worker-1",
		interference:   func(string, []Running) float64 { return 1 },
		lag:            5 * time.Second,
		lease:          15 * time.Second,
		now:            time.Now,
		profile:        DeclaredProfile,
		sampleInterval: 5 * time.Second,
		serviceTime: func(_ string, rnd *mathrand.Rand) time.Duration {
			return 2*time.Millisecond + time.Duration(rnd.ExpFloat64()*float64(3*time.Millisecond))
		},
	}
}
