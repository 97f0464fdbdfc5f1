package fake

import (
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// InterferenceFunc returns the factor by which the tasks that run on the same worker lengthen the service times of a
// service; 1 is no interference.
type InterferenceFunc func(service string, running []RunningTask) float64

// RunningTask is a running task, as passed to an InterferenceFunc.
type RunningTask struct {
	// Fraction is the fraction of full speed to which the task is throttled; 1 is no throttle.
	Fraction float64
	Kind     note.Kind
	Task     string
	Work     string
}

// WorkerOption configures a Worker.
type WorkerOption func(*workerOptions)

type workerOptions struct {
	capacity       fleet.Resources
	epochCapable   bool
	feedInterval   time.Duration
	handler        http.HandlerFunc
	id             string
	interference   InterferenceFunc
	journal        *Journal
	reportDelay    time.Duration
	lease          time.Duration
	now            func() time.Time
	profile        func(worker.StartRequest) Profile
	rng            *mathrand.Rand
	sampleInterval time.Duration
	serviceTime    func(service string, rng *mathrand.Rand) time.Duration
}

// WithCapacity sets the capacity of the worker; the default is that of the Kelaniya workers.
func WithCapacity(r fleet.Resources) WorkerOption {
	return func(o *workerOptions) { o.capacity = r }
}

// WithClock sets the worker's clock, which decides when leases and tokens expire; the default is time.Now.
func WithClock(now func() time.Time) WorkerOption { return func(o *workerOptions) { o.now = now } }

// WithFeedInterval sets the time between the events of a feed; the default is 1 s.
func WithFeedInterval(d time.Duration) WorkerOption {
	return func(o *workerOptions) { o.feedInterval = d }
}

// WithHandler sets the handler that answers a short request after its service time; the default echoes the request.
func WithHandler(h http.HandlerFunc) WorkerOption { return func(o *workerOptions) { o.handler = h } }

// WithID sets the host id; the default is worker-1.
func WithID(id string) WorkerOption { return func(o *workerOptions) { o.id = id } }

// WithInterference sets how other tasks slow down services; the default is no slowdown.
func WithInterference(f InterferenceFunc) WorkerOption {
	return func(o *workerOptions) { o.interference = f }
}

// WithJournal sets the journal, which several workers may share; the default is a journal of the worker's own.
func WithJournal(j *Journal) WorkerOption { return func(o *workerOptions) { o.journal = j } }

// WithReportDelay sets the delay between taking a sample and reporting it; the default is 5 s.
func WithReportDelay(d time.Duration) WorkerOption {
	return func(o *workerOptions) { o.reportDelay = d }
}

// WithLease sets the duration of the leases of tasks and of the validity of tokens; the default is 15 s.
func WithLease(d time.Duration) WorkerOption { return func(o *workerOptions) { o.lease = d } }

// WithProfile sets the actual behaviour of tasks; the default is DeclaredProfile.
func WithProfile(f func(worker.StartRequest) Profile) WorkerOption {
	return func(o *workerOptions) { o.profile = f }
}

// WithSampleInterval sets the time between samples of usage and latency; the default is 5 s.
func WithSampleInterval(d time.Duration) WorkerOption {
	return func(o *workerOptions) { o.sampleInterval = d }
}

// WithSeed sets the seed of the service times; the default is derived from the host id.
func WithSeed(seed uint64) WorkerOption {
	return func(o *workerOptions) { o.rng = mathrand.New(mathrand.NewPCG(seed, 0)) }
}

// WithServiceTime sets the distribution of service times; the default is 2 ms plus an exponentially distributed time
// with a mean of 3 ms.
func WithServiceTime(f func(service string, rng *mathrand.Rand) time.Duration) WorkerOption {
	return func(o *workerOptions) { o.serviceTime = f }
}

// WithoutEpochs makes a worker that ignores epochs and so can't be fenced.
func WithoutEpochs() WorkerOption { return func(o *workerOptions) { o.epochCapable = false } }

func defaultWorkerOptions() workerOptions {
	return workerOptions{
		capacity:       fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
		epochCapable:   true,
		feedInterval:   time.Second,
		handler:        echoRequest,
		id:             "worker-1",
		interference:   func(string, []RunningTask) float64 { return 1 },
		reportDelay:    5 * time.Second,
		lease:          15 * time.Second,
		now:            time.Now,
		profile:        DeclaredProfile,
		sampleInterval: 5 * time.Second,
		serviceTime: func(_ string, rng *mathrand.Rand) time.Duration {
			return 2*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(3*time.Millisecond))
		},
	}
}
