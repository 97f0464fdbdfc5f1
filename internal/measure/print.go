package measure

import (
	"fmt"
	"strconv"
)

// Table returns the rows of a report with their headings: one row for each policy, means over the seeds.
func (r *Report) Table() [][]string {
	head := []string{"POLICY", "DECIDING", "MIN", "MAX"}
	isFlood := r.Rows[0].Runs[0].floods[0] != ""
	for _, k := range r.Rows[0].Runs[0].Kinds {
		if k.P99 > 0 {
			head = append(head, k.Name+" p50/p99/p99.9 ms")
		}
		if isFlood && !r.Rows[0].Runs[0].isFlooding(k.Name) {
			head = append(head, k.Name+" keeps")
		}
	}
	head = append(head, "tasks", "core s", "evictions", "urgent s", "attempts", "unanswered")
	out := [][]string{head}
	for i := range r.Rows {
		out = append(out, r.Rows[i].cells(isFlood))
	}
	return out
}

func (w *Row) cells(isFlood bool) []string {
	out := []string{w.Policy, short(w.Deciding), short(w.Min), short(w.Max)}
	for i, k := range w.Runs[0].Kinds {
		if len(w.Runs[0].targets) > i {
			out = append(out, fmt.Sprintf("%.1f/%.1f/%.1f",
				w.mean(func(f Figures) float64 { return f.Kinds[i].P50 }),
				w.mean(func(f Figures) float64 { return f.Kinds[i].P99 }),
				w.mean(func(f Figures) float64 { return f.Kinds[i].P999 })))
		}
		if isFlood && !w.Runs[0].isFlooding(k.Name) {
			out = append(out, short(w.mean(func(f Figures) float64 { return f.Kinds[i].Keeps() })))
		}
	}
	return append(out,
		fmt.Sprintf("%.0f", w.mean(func(f Figures) float64 { return float64(f.TasksDone) })),
		fmt.Sprintf("%.0f", w.mean(workOf)), fmt.Sprintf("%.1f", w.mean(evictionsOf)),
		short(w.worst(func(f Figures) float64 { return f.Urgent })), short(w.mean(func(f Figures) float64 { return f.Attempts })),
		short(w.mean(refusedPart)))
}

// AimTable returns the aims with their headings.
func (r *Report) AimTable() [][]string {
	out := [][]string{{"AIM", "BOUND", "MEASURED", "RESULT"}}
	for _, a := range r.Aims {
		sign, result := "<= ", "missed"
		if a.Least {
			sign = ">= "
		}
		if a.Met {
			result = "met"
		}
		out = append(out, []string{a.Name, sign + short(a.Bound), short(a.Measured), result})
	}
	return out
}

func short(f float64) string { return strconv.FormatFloat(f, 'g', 3, 64) }
