package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const (
	// requestsPerSecond is the request rate for each service.
	requestsPerSecond = 40
	requestTimeout    = 3 * time.Second
	maxLatencyMicros  = int64(10 * time.Second / time.Microsecond)
)

// loadGenerator sends requests and records their outcomes and latencies.
type loadGenerator struct {
	doneByService  map[string]int
	histogram      *hdrhistogram.Histogram
	mu             sync.Mutex
	notRunKeys     []string // keys of requests reported as not_run
	outcomes       map[laburnumridge.Outcome]int
	wrongResponses []string
	zone           string
}

func newLoadGenerator(zone string) *loadGenerator {
	return &loadGenerator{
		doneByService: map[string]int{},
		histogram:     hdrhistogram.New(1, maxLatencyMicros, 3),
		outcomes:      map[laburnumridge.Outcome]int{},
		zone:          zone,
	}
}

// run sends requests to a service at a fixed rate until ctx ends, without waiting for earlier ones, then waits for the
// outstanding responses.
func (g *loadGenerator) run(ctx context.Context, urls func() []string, service string, idempotent bool) {
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wg.Go(func() { g.request(urls(), service, idempotent) })
		}
	}
}

func (g *loadGenerator) request(urls []string, service string, idempotent bool) {
	client, err := laburnumridge.New(laburnumridge.WithURLs(urls...), laburnumridge.WithHTTPClient(http.DefaultClient))
	if err != nil {
		g.record(service, "", 0, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	id := ulid.Make().String()
	key := g.zone + ":" + id
	opts := []laburnumridge.CallOption{laburnumridge.WithKey(key)}
	if idempotent {
		opts = []laburnumridge.CallOption{laburnumridge.WithIdempotent(), laburnumridge.WithoutKey()}
	}
	started := time.Now()
	response, err := client.Do(ctx, service, http.MethodPost, "/"+id, []byte("body of "+id), opts...)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if want := fmt.Sprintf("POST /%s\nbody of %s", id, id); err == nil && string(body) != want {
			g.mu.Lock()
			g.wrongResponses = append(g.wrongResponses, fmt.Sprintf("request %s of %s got %d %q", id, service, response.Status, body))
			g.mu.Unlock()
		}
	}
	g.record(service, key, time.Since(started), err)
}

func (g *loadGenerator) record(service, key string, latency time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	outcome := laburnumridge.OutcomeDone
	switch {
	case errors.Is(err, laburnumridge.ErrNotRun):
		outcome = laburnumridge.OutcomeNotRun
		g.notRunKeys = append(g.notRunKeys, key)
	case err != nil:
		outcome = laburnumridge.OutcomeUnknown
	default:
		g.doneByService[service]++
		_ = g.histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	}
	g.outcomes[outcome]++
}
