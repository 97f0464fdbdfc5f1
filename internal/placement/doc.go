// Package placement selects the worker on which a task runs. The selection is a pure function of the task and
// an immutable View of the workers.
package placement
