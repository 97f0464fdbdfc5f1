package note_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/note"
)

// FuzzParse guards against a panic on an operator's text, and against a note that the log, which
// holds JSON, would change.
func FuzzParse(f *testing.F) {
	f.Add([]byte("id = \"n\"\nbase = 3\namends = \"m\"\n" + service + batch + "every = \"24h\"\npriority = 9\n"))
	f.Add([]byte("id = \"n\"\nwithdrawn = [\"a\", \"b\"]\n"))
	f.Add([]byte("id = \"n\"\n[[added]]\nkind = \"team\"\nname = \"t\"\nshare = nan\nquota = { slots = 1 }\n"))
	f.Add([]byte("id = \"n\"\nchanged = [{}]\n"))
	f.Add([]byte("id = [[1]]\n\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := note.Parse(text)
		if err != nil {
			assert.ErrorIs(t, err, note.ErrInvalid)
			return
		}
		data, err := json.Marshal(n)
		assert.NilError(t, err)
		var back note.Note
		assert.NilError(t, json.Unmarshal(data, &back))
		assert.DeepEqual(t, back, n, cmpopts.EquateEmpty())
		assert.NilError(t, back.Check())
	})
}
