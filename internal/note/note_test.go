package note_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/note"
)

const service = `
[[added]]
kind = "service"
name = "dosing-checks"
replicas_per_zone = 2
resources = { cpu_milli = 1000, memory_mib = 512, slots = 2 }
`

const batch = `
[[added]]
kind = "batch"
name = "day-plan"
run_time = "10m"
resources = { cpu_milli = 1000, memory_mib = 512 }
`

// TestMalformedNoteErrorNamesTheField guards against accepting a mistake, and against an error that does not tell the
// operator what to correct.
func TestMalformedNoteErrorNamesTheField(t *testing.T) {
	valid := "id = \"n\"\n" + service
	for name, tc := range map[string]struct{ text, want string }{
		"bad id":             {strings.Replace(valid, `"n"`, `"N 1"`, 1), "id"},
		"bad type":           {strings.Replace(valid, "= 2\n", `= "two"`+"\n", 1), "line 6"},
		"base below zero":    {"base = -1\n" + valid, "base"},
		"batch with slots":   {"id = \"n\"\n" + strings.Replace(batch, "= 512", "= 512, slots = 1", 1), "slots"},
		"batch without time": {"id = \"n\"\n" + strings.Replace(batch, "10m", "0s", 1), "run_time"},
		"duplicate name":     {valid + service, "listed twice"},
		"duration unit":      {"id = \"n\"\n" + strings.Replace(batch, "10m", "10", 1), "10"},
		"every too short":    {"id = \"n\"\n" + batch + "every = \"1ms\"\n", "every"},
		"megabyte":           {valid + strings.Repeat("#", 1<<20), "allowed are 131072"},
		"negative size":      {strings.Replace(valid, "= 512", "= -512", 1), "below 0"},
		"no item":            {`id = "n"`, "lists no item"},
		"not TOML":           {"id = ", "line 1"},
		"reserved healthz":   {strings.Replace(valid, "dosing-checks", "healthz", 1), "reserved"},
		"reserved readyz":    {strings.Replace(valid, "dosing-checks", "readyz", 1), "reserved"},
		"reserved v1":        {strings.Replace(valid, "dosing-checks", "v1", 1), "the callers' listener uses the path /v1"},
		"service of no slot": {strings.Replace(valid, "slots = 2", "slots = 0", 1), "slot"},
		"share is no number": {valid + "share = nan\n", "share"},
		"team with size":     {"id = \"n\"\n" + strings.Replace(service, `"service"`, `"team"`, 1), "quota"},
		"unknown key":        {valid + "replica = 2\n", `unknown key "added.replica"`},
		"unknown kind":       {strings.Replace(valid, `"service"`, `"server"`, 1), "kind"},
		"withdrawn twice":    {`id = "n"` + "\nwithdrawn = [\"a\", \"a\"]", "listed twice"},
		"zero size":          {strings.Replace(valid, "= 512", "= 0", 1), "above 0"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := note.Parse([]byte(tc.text))
			assert.ErrorIs(t, err, note.ErrInvalid)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}
