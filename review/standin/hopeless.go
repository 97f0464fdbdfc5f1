package main

import (
	"encoding/json"
	"time"
)

// hopeless plays a submission with occurrences whose last step can never run, since no worker has the label that it requires. Its
// occurrences stay open, and the tasks of their first steps with them. Other submissions come all the time.
func hopeless(d *deployment, isTrouble bool) bool {
	const (
		maxLease    = 10 * time.Second
		width       = 32
		wideSteps   = 4
		interval    = 128 * time.Millisecond
		occurrences = 500
		taskTime    = 600
		otherPause  = 500 * time.Millisecond
		watchFor    = 85 * time.Second
		// startTime is how long a small submission may wait on an idle service.
		startTime = 10 * time.Second
	)
	to := newRoute(kept)
	d.begin(3, 8, maxLease, to)
	label := "a"
	if isTrouble {
		label = "nowhere"
	}
	text, _ := json.Marshal(work{Ms: taskTime, Saves: true})
	j := submission{
		id: newID(), interval: interval.Milliseconds(), repeat: occurrences, route: to, spec: string(text), startAt: time.Now().UnixMilli(),
	}
	last := step{Count: 1, CPU: 10, EstimateMs: taskTime, MemMb: 1, Requirements: label}
	for n := range wideSteps {
		j.steps = append(j.steps, step{Count: width, CPU: 10, EstimateMs: taskTime, MemMb: 1, SavesProgress: true})
		last.After = append(last.After, n)
	}
	j.steps = append(j.steps, last)
	if !submit(d.record, d.hosts, j) {
		fail("the submission is not accepted")
	}
	acceptedAt := map[string]time.Time{}
	for began := time.Now(); time.Since(began) < watchFor; time.Sleep(otherPause) {
		other := submission{id: newID(), route: to, spec: spec(500), steps: []step{{Count: 1, CPU: 500, EstimateMs: 500, MemMb: 64}}}
		if submit(d.record, d.hosts[len(acceptedAt)%len(d.hosts):], other) {
			acceptedAt[other.id] = time.Now()
		}
	}
	end, waiting, longest := time.Now(), 0, time.Duration(0)
	for id, at := range acceptedAt {
		starts := d.record.startsOf(id)
		if len(starts) == 0 && end.Sub(at) > startTime {
			waiting++
			longest = max(longest, end.Sub(at))
		}
	}
	d.record.log("check    the submission with occurrences has %d starts", len(d.record.startsOf(j.id)))
	d.record.log("check    %d of %d other submissions have not started for over %s, the first one for %s", waiting, len(acceptedAt), startTime,
		longest.Round(time.Second))
	return waiting == 0
}
