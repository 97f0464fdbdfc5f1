package idempotency_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/idempotency"
)

var (
	t0          = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fingerprint = idempotency.FingerprintOf("POST", "/dose", sha256.Sum256(nil))
)

func keyAt(at time.Time, n byte) idempotency.Key {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(at))
	id[15] = n
	return idempotency.NewKey("kelaniya", id)
}

// serving returns a table whose owner may claim keys from t0 until the claim lease ends, also keys minted at t0.
func serving(limits idempotency.Limits) *idempotency.Table {
	t := idempotency.NewTable(limits)
	t.SetWorkers([]string{"w1", "w2", "w3"})
	heartbeat(t, t0.Add(-time.Minute), "w1", "w2")
	heartbeat(t, t0, "w1", "w2")
	return t
}

func heartbeat(t *idempotency.Table, at time.Time, workers ...string) {
	for _, w := range workers {
		t.EpochAccepted(at, w, at)
	}
}

func verdict(t *idempotency.Table, now time.Time, k idempotency.Key) idempotency.Verdict {
	return t.Claim(now, k, fingerprint).Verdict
}

// Guards against running a duplicate of a request that is running or done.
func TestDuplicateIsNotRunAgain(t *testing.T) {
	table, k := serving(idempotency.DefaultLimits()), keyAt(t0, 1)
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictProceed)
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictRunning)
	table.Finish(k, idempotency.OutcomeDone, idempotency.Response{Status: http.StatusOK, Body: []byte("dosed")})
	c := table.Claim(t0.Add(time.Hour), k, fingerprint)
	assert.Equal(t, c.Verdict, idempotency.VerdictReplay)
	assert.Equal(t, string(c.Response.Body), "dosed")
}

// Guards against replaying or running again a request whose outcome is unknown.
func TestUnknownOutcomeIsNeitherReplayedNorRunAgain(t *testing.T) {
	table, k := serving(idempotency.DefaultLimits()), keyAt(t0, 1)
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictProceed)
	table.Finish(k, idempotency.OutcomeUnknown, idempotency.Response{})
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictUnknown)
	table.Release(k)
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictUnknown)
}

// Guards against a key that stays claimed after a worker refused its request.
func TestRefusedRequestMayBeRepeated(t *testing.T) {
	table, k := serving(idempotency.DefaultLimits()), keyAt(t0, 1)
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictProceed)
	table.Release(k)
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictProceed)
}

// Guards against answering a request with the response of another request that used the same key.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	table, k := serving(idempotency.DefaultLimits()), keyAt(t0, 1)
	assert.Equal(t, verdict(table, t0, k), idempotency.VerdictProceed)
	other := idempotency.FingerprintOf("POST", "/dose", sha256.Sum256([]byte("x")))
	assert.Equal(t, table.Claim(t0, k, other).Verdict, idempotency.VerdictMismatch)
}

// Guards against claiming keys that are older than the window, or further in the future than the clock tolerance.
func TestKeyOutsideWindowIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		minted time.Duration
		want   idempotency.Verdict
	}{
		{"too old", -10*time.Minute - time.Millisecond, idempotency.VerdictUnknown},
		{"in the window", -10 * time.Minute, idempotency.VerdictProceed},
		{"tolerated", 2 * time.Second, idempotency.VerdictProceed},
		{"in the future", 2*time.Second + time.Millisecond, idempotency.VerdictNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := serving(idempotency.DefaultLimits())
			now := t0.Add(time.Hour)
			heartbeat(table, now, "w1", "w2")
			assert.Equal(t, verdict(table, now, keyAt(now.Add(c.minted), 1)), c.want)
		})
	}
}

// Guards against a new owner that claims keys which an earlier owner may have claimed: before a majority of workers
// is fenced, before the earlier claim lease has expired, and for keys minted before that or without a time.
func TestNewOwnerRefusesKeysOfEarlierOwner(t *testing.T) {
	table := idempotency.NewTable(idempotency.DefaultLimits())
	table.SetWorkers([]string{"w1", "w2", "w3"})
	heartbeat(table, t0, "w1")
	assert.Equal(t, verdict(table, t0.Add(time.Minute), keyAt(t0.Add(time.Minute), 1)), idempotency.VerdictUnknown)
	heartbeat(table, t0, "w2")
	serves := t0.Add(3300 * time.Millisecond)
	heartbeat(table, serves, "w1", "w2")
	assert.Assert(t, !table.MayClaim(serves.Add(-time.Millisecond)))
	assert.Assert(t, table.MayClaim(serves))
	later := serves.Add(2 * time.Second)
	assert.Equal(t, verdict(table, later, keyAt(serves.Add(4*time.Second-time.Millisecond), 2)), idempotency.VerdictUnknown)
	assert.Equal(t, verdict(table, later, keyAt(serves.Add(4*time.Second), 3)), idempotency.VerdictProceed)
	plain, err := idempotency.ParseKey("order 17")
	assert.NilError(t, err)
	window := serves.Add(10*time.Minute + 4*time.Second)
	heartbeat(table, window, "w1", "w2")
	assert.Equal(t, verdict(table, window.Add(-time.Millisecond), plain), idempotency.VerdictUnknown)
	assert.Equal(t, verdict(table, window, plain), idempotency.VerdictProceed)
}

// Guards against claims after the acceptance of a majority of workers has expired.
func TestOwnerWithoutMajorityDoesNotClaim(t *testing.T) {
	table := serving(idempotency.DefaultLimits())
	assert.Equal(t, verdict(table, t0.Add(3*time.Second), keyAt(t0, 1)), idempotency.VerdictUnknown)
	heartbeat(table, t0.Add(3*time.Second), "w1")
	assert.Equal(t, verdict(table, t0.Add(3*time.Second), keyAt(t0, 1)), idempotency.VerdictUnknown)
}

// Guards against counting workers without epochs as accepting one, and against claims after the platform lease where
// most workers have no epochs.
func TestWorkersWithoutEpochsDoNotCountForMajority(t *testing.T) {
	table := serving(idempotency.DefaultLimits())
	table.EpochsUnsupported(t0, "w2")
	assert.Assert(t, !table.MayClaim(t0))
	table.EpochsUnsupported(t0, "w3")
	table.SetPlatformLease(t0.Add(time.Second))
	assert.Assert(t, table.MayClaim(t0))
	assert.Assert(t, !table.MayClaim(t0.Add(time.Second)))
}

// Guards against a table that exceeds its limits, and against expired entries that are not removed.
func TestTableIsBounded(t *testing.T) {
	limits := idempotency.DefaultLimits()
	limits.MaxEntries, limits.MaxBytes, limits.MaxResponse = 3, 1200, 100
	table := serving(limits)
	big := idempotency.Response{Body: []byte(strings.Repeat("x", 101))}
	for n := range byte(4) {
		k := keyAt(t0, n)
		want := idempotency.VerdictProceed
		if n == 3 {
			want = idempotency.VerdictNotRun
		}
		assert.Equal(t, verdict(table, t0, k), want)
		table.Finish(k, idempotency.OutcomeDone, big)
	}
	assert.Equal(t, verdict(table, t0, keyAt(t0, 0)), idempotency.VerdictUnknown)
	later := t0.Add(11 * time.Minute)
	heartbeat(table, later, "w1", "w2")
	assert.Equal(t, verdict(table, later, keyAt(later, 9)), idempotency.VerdictProceed)
	entries, bytes := table.Size()
	assert.Equal(t, entries, 1)
	assert.Assert(t, bytes < 400, "%d", bytes)
}

// Guards against more than one claim among concurrent duplicates.
func TestOnlyOneConcurrentDuplicateProceeds(t *testing.T) {
	table := serving(idempotency.DefaultLimits())
	var mu sync.Mutex
	var group sync.WaitGroup
	proceeded := 0
	for range 8 {
		group.Go(func() {
			if verdict(table, t0, keyAt(t0, 1)) == idempotency.VerdictProceed {
				mu.Lock()
				proceeded++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	assert.Equal(t, proceeded, 1)
}

// Guards against a home other than the zone that the key names, against times read from ULIDs that are not
// canonical, and against accepting invalid keys.
func TestKeyParsingAndHome(t *testing.T) {
	zones := []string{"kelaniya", "wattala"}
	for _, c := range []struct {
		text, zone string
		timed      bool
	}{
		{"wattala:01ARZ3NDEKTSV4RRFFQ69G5FAV", "wattala", true},
		{"wattala:01arz3ndektsv4rrffq69g5fav", "wattala", false},
		{"elsewhere:01ARZ3NDEKTSV4RRFFQ69G5FAV", "", true},
		{"01ARZ3NDEKTSV4RRFFQ69G5FAV", "", true},
		{"anything", "", false},
	} {
		k, err := idempotency.ParseKey(c.text)
		assert.NilError(t, err)
		home := idempotency.Home(k, zones)
		assert.Assert(t, home == c.zone || c.zone == "" && home != "", "%s: %s", c.text, home)
		assert.Equal(t, !k.MintedAt.IsZero(), c.timed, c.text)
		assert.Equal(t, k.String(), c.text)
		assert.Assert(t, idempotency.Partition(k, 3) < 3)
	}
	for _, text := range []string{"", strings.Repeat("x", 129), "a\nb", "é"} {
		_, err := idempotency.ParseKey(text)
		assert.Assert(t, errors.Is(err, idempotency.ErrInvalidKey), fmt.Sprintf("%q", text))
	}
}
