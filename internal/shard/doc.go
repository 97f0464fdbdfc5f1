// Package shard schedules the jobs of one shard. It decides which tasks run on which workers, what is recorded about
// them, and when a task may be restarted.
//
// An Owner does no I/O. Step returns the actions to carry out, and their results are passed back through its other
// methods.
//
// Terms used throughout the package:
//
//   - A serving task is a long-running, latency-critical task with a target for its tail latency (Step.TailTarget).
//   - A best-effort task (Step.BestEffort) reserves no CPU and uses what other tasks on its worker leave unused. It is
//     slowed down, halted or moved if it disturbs serving tasks.
//   - The pace of a best-effort task is its speed limit in percent of full speed.
//   - An attempt or run is one start of a task on a worker. Its start is sent only after it has been recorded.
//   - A poll asks a worker for its running and ended runs and renews its lease.
//   - The tail of a serving task is its tail latency, usually divided by its target.
//   - The own load of a serving task is the utilization that its own requests cause. The pressure is the utilization that
//     best-effort tasks on its worker add to it: for each of their images the CPU use times the weight, which is learned
//     for each pair of a best-effort and a serving image. See interference.PressureModel.
package shard
