package kvstore_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// FuzzLogLoad guards against a panic on malformed values in the store, and against loaded entries that do not follow
// the snapshot without a gap.
func FuzzLogLoad(f *testing.F) {
	f.Add([]byte(`{"data":{},"seq":0}`), []byte(`{"data":1,"nonce":"a","seq":1}`), []byte(`{"data":2,"seq":2}`))
	f.Add([]byte(`{"data":{},"seq":9}`), []byte(`{"data":1,"seq":10}`), []byte(`{"data":2,"seq":3}`))
	f.Add([]byte(`{"seq":-5}`), []byte(`{"seq":-4}`), []byte(`{"seq":9223372036854775807}`))
	f.Add([]byte(`null`), []byte(`[]`), []byte(`{"seq":"1"}`))
	f.Add([]byte(`{"seq":9223372036854775807}`), []byte(`{"seq":-9223372036854775808}`), []byte(`x`))
	f.Fuzz(func(t *testing.T, snapshot, first, second []byte) {
		store := fake.NewPlatform(fake.WithPlatformClock(func() time.Time { return time.Unix(0, 0) })).Store()
		for key, value := range map[string][]byte{"l/snapshot": snapshot, "l/01": first, "l/02": second} {
			if len(value) > 0 {
				_, err := store.CompareAndSwap(t.Context(), key, 0, value, 0)
				assert.NilError(t, err)
			}
		}
		log := kvstore.NewLog(store, "l")
		snap, entries, err := log.Load(t.Context())
		if err != nil {
			return
		}
		for i, e := range entries {
			assert.Equal(t, e.Seq, snap.Seq+1+int64(i))
		}
		assert.Equal(t, log.Seq(), snap.Seq+int64(len(entries)))
		_ = log.Append(t.Context(), kvstore.NewEntry(log.Seq(), []byte("1"))) // may return an error, must not panic
	})
}
