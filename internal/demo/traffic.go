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
	// callerRate is the requests a second of each service.
	callerRate    = 40
	callerTimeout = 3 * time.Second
	maxLatency    = int64(10 * time.Second / time.Microsecond)
)

// traffic counts what callers are told.
type traffic struct {
	done      map[string]int
	histogram *hdrhistogram.Histogram
	mu        sync.Mutex
	notRun    []string // keys
	outcomes  map[laburnumridge.Outcome]int
	wrong     []string
	zone      string
}

func newTraffic(zone string) *traffic {
	return &traffic{
		done:      map[string]int{},
		histogram: hdrhistogram.New(1, maxLatency, 3),
		outcomes:  map[laburnumridge.Outcome]int{},
		zone:      zone,
	}
}

// run sends requests to a service at a fixed rate until ctx ends, and waits for their answers.
func (t *traffic) run(ctx context.Context, urls func() []string, service string, idempotent bool) {
	ticker := time.NewTicker(time.Second / callerRate)
	defer ticker.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			all.Go(func() { t.request(urls(), service, idempotent) })
		}
	}
}

func (t *traffic) request(urls []string, service string, idempotent bool) {
	client, err := laburnumridge.New(laburnumridge.WithURLs(urls...), laburnumridge.WithHTTPClient(http.DefaultClient))
	if err != nil {
		t.answered(service, "", 0, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	id := ulid.Make().String()
	key := t.zone + ":" + id
	opts := []laburnumridge.CallOption{laburnumridge.WithKey(key)}
	if idempotent {
		opts = []laburnumridge.CallOption{laburnumridge.WithIdempotent(), laburnumridge.WithoutKey()}
	}
	started := time.Now()
	answer, err := client.Do(ctx, service, http.MethodPost, "/"+id, []byte("body of "+id), opts...)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if want := fmt.Sprintf("POST /%s\nbody of %s", id, id); err == nil && string(body) != want {
			t.mu.Lock()
			t.wrong = append(t.wrong, fmt.Sprintf("request %s of %s got %d %q", id, service, answer.Status, body))
			t.mu.Unlock()
		}
	}
	t.answered(service, key, time.Since(started), err)
}

func (t *traffic) answered(service, key string, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcome := laburnumridge.OutcomeDone
	switch {
	case errors.Is(err, laburnumridge.ErrNotRun):
		outcome = laburnumridge.OutcomeNotRun
		t.notRun = append(t.notRun, key)
	case err != nil:
		outcome = laburnumridge.OutcomeUnknown
	default:
		t.done[service]++
		_ = t.histogram.RecordValue(min(took.Microseconds(), maxLatency))
	}
	t.outcomes[outcome]++
}
