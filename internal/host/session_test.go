package host_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/host"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Guards against two processes of one host that both rely on a platform lease: the earlier one was paused, and a later one has
// replaced its live key and takes its shards at once. Workers without epochs obey the earlier one as long as it renews its lease,
// and tasks run twice once the later one has waited for the longest lease and binds them anew.
func TestEarlierProcessLosesPlatformLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fake.NewPlatform()
		earlier := host.NewSession("a", p.Store(), discardLog())
		later := host.NewSession("a", p.Store(), discardLog())
		assert.NilError(t, earlier.Renew(t.Context()))
		time.Sleep(2 * time.Second)
		assert.NilError(t, later.Renew(t.Context()))
		replacedAt := time.Now()
		for range 20 {
			time.Sleep(time.Second)
			_ = earlier.Renew(t.Context())
			assert.NilError(t, later.Renew(t.Context()))
			if time.Since(replacedAt) > 6*time.Second {
				assert.Assert(t, !earlier.IsValid(time.Now()), "the earlier process still relies on a platform lease")
			}
			assert.Assert(t, later.IsValid(time.Now()))
		}
	})
}

// Guards against a host that gets no platform lease after a restart: the response to the write of its live key was lost, or the
// lease of its earlier process has expired meanwhile.
func TestRestartedHostGetsPlatformLease(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "after expiry": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := fake.NewPlatform()
				assert.NilError(t, host.NewSession("a", p.Store(), discardLog()).Renew(t.Context()))
				time.Sleep(pause)
				later := host.NewSession("a", p.Store(), discardLog())
				p.SetFaults(fake.PlatformFaults{LostResponses: 1})
				_ = later.Renew(t.Context())
				time.Sleep(time.Second)
				assert.NilError(t, later.Renew(t.Context()))
				assert.Assert(t, later.IsValid(time.Now()))
				time.Sleep(3 * time.Second)
				assert.NilError(t, later.Renew(t.Context()))
			})
		})
	}
}

// Guards against a host that never gets a platform lease because the lease of its earlier process expires just before it is ended,
// which the store answers like other failures.
func TestRestartedHostGetsLeaseAsEarlierOneExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fake.NewPlatform()
		store := p.Store()
		revoke := store.Revoke
		revoked := 0
		store.Revoke = func(ctx context.Context, lease int64) error {
			revoked++
			if err := store.KeepAlive(ctx, lease); err != nil {
				return kvstore.ErrUnavailable
			}
			return revoke(ctx, lease)
		}
		assert.NilError(t, host.NewSession("a", store, discardLog()).Renew(t.Context()))
		time.Sleep(5500 * time.Millisecond)
		p.SetFaults(fake.PlatformFaults{Delay: time.Second})
		later := host.NewSession("a", store, discardLog())
		assert.NilError(t, later.Renew(t.Context()))
		assert.Equal(t, revoked, 1)
		assert.Assert(t, later.IsValid(time.Now()))
	})
}
