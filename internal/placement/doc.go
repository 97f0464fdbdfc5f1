// Package placement chooses a worker for a task. The choice is a pure function of an immutable view of
// the workers.
package placement
