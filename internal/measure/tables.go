package measure

import (
	"fmt"
	"strconv"
)

// Table formats the report as a table whose first row holds the headings. Each further row holds one policy's means over
// the seeds.
func (r *Report) Table() [][]string {
	head := []string{"POLICY", "DECIDING", "MIN", "MAX"}
	isFlood := r.Rows[0].Runs[0].floodingWorks[0] != ""
	for _, k := range r.Rows[0].Runs[0].Works {
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

// cells formats the row for Table.
func (r *Row) cells(isFlood bool) []string {
	out := []string{r.Policy, threeDigits(r.Deciding), threeDigits(r.Min), threeDigits(r.Max)}
	for i, k := range r.Runs[0].Works {
		if len(r.Runs[0].services) > i {
			out = append(out, fmt.Sprintf("%.1f/%.1f/%.1f",
				r.mean(func(f Figures) float64 { return f.Works[i].P50 }),
				r.mean(func(f Figures) float64 { return f.Works[i].P99 }),
				r.mean(func(f Figures) float64 { return f.Works[i].P999 })))
		}
		if isFlood && !r.Runs[0].isFlooding(k.Name) {
			out = append(out, threeDigits(r.mean(func(f Figures) float64 { return f.Works[i].RetainedFraction() })))
		}
	}
	return append(out,
		fmt.Sprintf("%.0f", r.mean(func(f Figures) float64 { return float64(f.TasksDone) })),
		fmt.Sprintf("%.0f", r.mean(coreSecondsFigure)), fmt.Sprintf("%.1f", r.mean(evictionsFigure)),
		threeDigits(r.worst(func(f Figures) float64 { return f.UrgentStart })), threeDigits(r.mean(func(f Figures) float64 { return f.Attempts })),
		threeDigits(r.mean(unansweredFraction)))
}

// AimTable formats the aims as a table; its first row holds the headings.
func (r *Report) AimTable() [][]string {
	out := [][]string{{"AIM", "BOUND", "MEASURED", "RESULT"}}
	for _, a := range r.Aims {
		sign, result := "<= ", "missed"
		if a.IsLowerBound {
			sign = ">= "
		}
		if a.Met {
			result = "met"
		}
		out = append(out, []string{a.Name, sign + threeDigits(a.Bound), threeDigits(a.Measured), result})
	}
	return out
}

// threeDigits formats a number with three significant digits.
func threeDigits(f float64) string { return strconv.FormatFloat(f, 'g', 3, 64) }
