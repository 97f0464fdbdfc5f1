package note_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/note"
)

// FuzzParse guards against a panic on malformed input, and against a valid note that changes when it is stored as JSON
// in the note log.
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
		var decoded note.Note
		assert.NilError(t, json.Unmarshal(data, &decoded))
		assert.DeepEqual(t, decoded, n, cmpopts.EquateEmpty())
		assert.NilError(t, decoded.Check())
	})
}
