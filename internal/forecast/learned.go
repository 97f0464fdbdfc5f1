package forecast

import (
	"math"
	"time"
)

// maxClasses bounds the classes of tasks of which durations are kept. Installations have a few queues; further ones use estimates.
const maxClasses = 64

// Class names tasks whose durations are learned together. Best-effort tasks yield to others, so they take longer than other tasks with
// the same estimate.
type Class struct {
	BestEffort bool   `json:"best_effort,omitempty"`
	Queue      string `json:"queue"`
}

// Learned is what the owner of a shard has learned of durations and of the errors of its forecasts. Its zero value has learned nothing.
// It is not safe for concurrent use.
type Learned struct {
	durations map[Class]Durations
	errors    Errors
	fits      map[Class]Fit
}

// Observe adds the duration of a task that is done.
func (l *Learned) Observe(c Class, estimate, actual time.Duration, share float64) {
	d, ok := l.durations[c]
	if !ok && len(l.durations) >= maxClasses {
		return
	}
	if l.durations == nil {
		l.durations, l.fits = map[Class]Durations{}, map[Class]Fit{}
	}
	l.durations[c] = d.With(estimate, actual, share)
	delete(l.fits, c)
}

// Fit returns the regression of a class.
func (l *Learned) Fit(c Class) Fit {
	f, ok := l.fits[c]
	if d, learned := l.durations[c]; !ok && learned {
		f = d.Fit()
		l.fits[c] = f
	}
	return f
}

// ObserveEnd adds the error of the forecast of a job that has ended.
func (l *Learned) ObserveEnd(forecast, actual time.Duration) {
	l.errors = l.errors.With(forecast, actual)
}

// Errors returns the errors of the forecasts.
func (l *Learned) Errors() Errors { return l.errors }

// Fits returns the classes with learned durations.
func (l *Learned) Fits() []ClassFit {
	var out []ClassFit
	for c := range l.durations {
		if f := l.Fit(c); f.IsLearned() {
			out = append(out, ClassFit{Class: c, Fit: f})
		}
	}
	return out
}

const (
	// errorWeight is the weight of the newest error.
	errorWeight = 0.05
	// minErrors is the number of errors from which their mean counts as learned.
	minErrors = 10
	// errorDeviations is the number of mean deviations by which an end may come earlier than forecast; 2 are exceeded by one in nine.
	errorDeviations = 2
	// minDeviation is the least deviation that is assumed: errors learned while a shard was not full say little of a full one.
	minDeviation = 0.1
	// maxError bounds a single error, as logarithm: a factor of 20.
	maxError = 3
)

// Errors are the errors of earlier forecasts, as logarithm of the ratio of the actual to the forecast time. It is immutable.
type Errors struct {
	Count int `json:"count,omitempty"`
	// Deviation is the mean absolute deviation from Mean.
	Deviation float64 `json:"deviation,omitempty"`
	Mean      float64 `json:"mean,omitempty"`
}

// With returns the errors with one more.
func (e Errors) With(forecast, actual time.Duration) Errors {
	if forecast <= 0 || actual <= 0 {
		return e
	}
	off := min(max(math.Log(actual.Seconds()/forecast.Seconds()), -maxError), maxError)
	e.Count++
	weight := max(errorWeight, 1/float64(e.Count))
	e.Deviation += weight * (math.Abs(off-e.Mean) - e.Deviation)
	e.Mean += weight * (off - e.Mean)
	return e
}

// IsLearned reports whether there were enough forecasts.
func (e Errors) IsLearned() bool { return e.Count >= minErrors }

// Percent returns the mean error and its deviation in percent of the forecast time.
func (e Errors) Percent() (bias, deviation int) {
	return int(math.Round(100 * math.Expm1(e.Mean))), int(math.Round(100 * math.Expm1(e.Deviation)))
}

// Earliest returns the earliest end that has to be reckoned with, given a forecast.
func (e Errors) Earliest(end time.Duration) time.Duration {
	factor := math.Exp(min(e.Mean, 0) - errorDeviations*max(e.Deviation, minDeviation))
	return time.Duration(float64(end) * factor)
}
