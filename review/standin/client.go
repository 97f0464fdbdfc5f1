package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// route is a queue of the config.
type route struct {
	Host            string  `json:"host"`
	Kind            string  `json:"kind"`
	MaxAttempts     int     `json:"maxAttempts"`
	Name            string  `json:"name"`
	Prefix          string  `json:"prefix"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	Stretch         float64 `json:"stretch"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	TimeoutMs       float64 `json:"timeoutMs"`
}

func newRoute(name string) route {
	return route{
		Host: name + ".example", Kind: "unsafe", MaxAttempts: 4, Name: "r-" + name, Prefix: "/" + name + "/", Priority: 0,
		Service: serviceName, Stretch: 2, TargetLatencyMs: 1000, TimeoutMs: 3000,
	}
}

// putConfig writes a config as the operator does.
func putConfig(s *store, r *record, version int, routes ...route) {
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": serviceName, "healthPath": "/health", "admissionCheck": false}},
		"limits": map[string]any{"maxBodyBytes": 262144, "maxHeaderBytes": 16384, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	})
	s.put("op/config", value)
	r.log("operator config version %d is confirmed, %d routes", version, len(routes))
}

// step is a step of a submission.
type step struct {
	After       []int `json:"after,omitempty"`
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	EstimateMs  int   `json:"estimateMs,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	MemMb       int   `json:"memMb"`
	// Requirements is a label that the worker must have.
	Requirements  string `json:"requirements,omitempty"`
	SavesProgress bool   `json:"savesProgress,omitempty"`
}

// submission is a submission of a consumer.
type submission struct {
	id string
	// interval, repeat and startAt are set for a submission whose steps run several times.
	interval, startAt int64
	repeat            int
	route             route
	spec              string
	steps             []step
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func spec(ms int64) string {
	text, _ := json.Marshal(work{Ms: ms})
	return string(text)
}

func (j submission) body() []byte {
	fields := map[string]any{"spec": j.spec, "steps": j.steps}
	if j.repeat > 0 {
		fields["intervalMs"], fields["repeatCount"], fields["startAtMs"] = j.interval, j.repeat, j.startAt
	}
	text, _ := json.Marshal(fields)
	return text
}

// send makes one call of a consumer over a channel of its own, and closes the channel after a time. The status is 0 if there is no
// answer by then.
func send(r *record, h *host, method string, to route, rest string, body []byte, leaveAfter time.Duration) (int, []byte) {
	const timeBudget = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller+to.Prefix+rest, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = to.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeBudget.Milliseconds(), 10))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		r.log("consumer %s %s%s at %s: no answer", method, to.Prefix, rest, h.name)
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		r.log("consumer %s %s%s at %s: answer cut off", method, to.Prefix, rest, h.name)
		return 0, nil
	}
	r.log("consumer %s %s%s at %s: %d %s", method, to.Prefix, rest, h.name, res.StatusCode, bytes.TrimSpace(answer))
	return res.StatusCode, answer
}

// submit hands a submission in, again at another host after a refusal or no answer.
func submit(r *record, hosts []*host, j submission) bool {
	for try := range 10 {
		h := hosts[try%len(hosts)]
		if status, _ := send(r, h, http.MethodPost, j.route, j.id, j.body(), 3*time.Second); status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
