package measure

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/laburnumridge/laburnumridge/internal/admission"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
	"github.com/laburnumridge/laburnumridge/internal/routing"
	"github.com/laburnumridge/laburnumridge/internal/slots"
)

// The time, the sizes and the shard of the state that costs are measured on.
var (
	slopeStart      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	slopeTaskSize   = fleet.Resources{CPUMilli: 2000, MemoryMiB: 4096}
	slopeWorkerSize = fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8}
	slopeShard      = fleet.ShardID{Zone: "western-1"}
)

func slopeHosts(n int) []fleet.Host {
	hosts := make([]fleet.Host, n)
	for i := range hosts {
		hosts[i] = fleet.Host{
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Capacity: slopeWorkerSize, ID: fmt.Sprintf("western-1-worker-%03d", i),
			Kind: fleet.KindWorker, Rack: fmt.Sprintf("western-1-rack-%d", i/8), State: fleet.StateLive, Zone: "western-1",
		}
	}
	return hosts
}

func placeTime(workers int) float64 {
	var list []placement.Worker
	for i, h := range slopeHosts(workers) {
		w := placement.Worker{Host: h}
		for j := range tasksPerWorker {
			t := placement.Task{ID: fmt.Sprintf("job-%d/%d", i, j), Kind: note.KindBatch, Resources: slopeTaskSize, Work: "settlement"}
			w.Tasks = append(w.Tasks, placement.PlacedTask{Task: t})
			w.Reserved = w.Reserved.Add(slopeTaskSize)
		}
		list = append(list, w)
	}
	view, placer := placement.NewView(list...), placement.New()
	t := placement.Task{ID: "new/0", Kind: note.KindBatch, Resources: slopeTaskSize, Work: "settlement"}
	return meanMicroseconds(func() {
		if _, err := placer.Place(view, t); err != nil {
			panic(err) // every worker has room
		}
	})
}

func routeTime(backends int) float64 {
	r := routing.NewRouter("western-1", routing.WithSeed(1))
	var list []routing.Backend
	for _, h := range slopeHosts(backends) {
		list = append(list, routing.Backend{Free: 8, Worker: h.ID, Zone: h.Zone})
	}
	now := slopeStart
	return meanMicroseconds(func() {
		now = now.Add(time.Millisecond)
		d, err := r.Route(now, list)
		if err != nil {
			panic(err) // every server has free slots
		}
		r.Started(d.Backend.Worker)
		r.Finished(now, d.Backend.Worker, time.Millisecond, routing.ResultOK)
	})
}

func admissionTime(kinds int) float64 {
	q := admission.NewQueue(64)
	shares := map[string]float64{}
	for i := range kinds {
		shares[fmt.Sprint("service-", i)] = 1 / float64(kinds)
	}
	q.SetShares(slopeStart, shares, nil)
	now, n := slopeStart, 0
	return meanMicroseconds(func() {
		now, n = now.Add(time.Millisecond), n+1
		id := fmt.Sprint(n)
		q.Offer(now, admission.Request{Arrived: now, ID: id, Service: fmt.Sprint("service-", n%kinds)})
		q.Done(now, id, time.Millisecond, admission.ResultOK)
	})
}

// slopeOwner returns a ledger owner whose workers run tasksPerWorker tasks each, and the reports of these workers.
func slopeOwner(workers int) (*ledger.Owner, []ledger.WorkerReport) {
	hosts := slopeHosts(workers)
	tasks := workers * tasksPerWorker
	job := ledger.Job{ID: "job", Kind: note.KindBatch, Resources: slopeTaskSize, Tasks: tasks, Work: "settlement"}
	changes := []ledger.Change{ledger.TakeOver(1, "old"), ledger.Accept(job)}
	reports := make([]ledger.WorkerReport, workers)
	for i, h := range hosts {
		reports[i] = ledger.WorkerReport{BootID: "boot", Capacity: slopeWorkerSize, Epoch: 2, EpochCapable: true, Token: "t", Worker: h.ID}
	}
	for i, id := range job.TaskIDs() {
		changes = append(changes, ledger.Bind(id, hosts[i%workers].ID, 0, 0))
		r := &reports[i%workers]
		r.Tasks = append(r.Tasks, ledger.TaskReport{Attempt: 1, Phase: ledger.PhaseRunning, Task: id})
	}
	state, err := ledger.State{}.Apply(ledger.NewBatch(slopeStart, changes...))
	if err != nil {
		panic(err) // the changes are consistent with the empty state
	}
	o := ledger.NewOwner(state, "host", 2, slopeStart)
	o.UpdateHosts(slopeStart, hosts)
	o.Tick(slopeStart)
	o.Committed(slopeStart)
	return o, reports
}

func tickTime(workers int) float64 {
	o, _ := slopeOwner(workers)
	now := slopeStart
	return meanMicroseconds(func() {
		now = now.Add(time.Microsecond)
		o.LeaseRenewed(now)
		o.Tick(now)
	})
}

func reportTime(workers int) float64 {
	o, reports := slopeOwner(workers)
	now, seq := slopeStart, int64(0)
	return meanMicroseconds(func() {
		now, seq = now.Add(time.Millisecond), seq+1
		r := reports[int(seq)%workers]
		o.Reported(now, ledger.Contact{Epoch: 2, SentAt: now, Seq: seq, Worker: r.Worker}, r)
	})
}

func grantRoundTime(workers int) float64 {
	g := slots.NewGranter(slopeShard, 1)
	var backends []slots.Backend
	for _, h := range slopeHosts(workers) {
		backends = append(backends, slots.Backend{Capacity: 8, ID: h.ID, Service: "any"})
	}
	g.SetBackends(backends)
	wallets := map[string]*slots.Pool{}
	for i := range 8 {
		id := fmt.Sprint("host-", i)
		wallets[id] = slots.NewPool(id, slopeStart)
	}
	now := slopeStart
	return meanMicroseconds(func() {
		now = now.Add(500 * time.Millisecond)
		for id, w := range wallets {
			g.SetDemand(id, w.Ack(slopeShard, now).Stamp, map[string]float64{"any": 8})
		}
		for _, grant := range g.Round(now) {
			_ = wallets[grant.Host].Install(grant, now)
			g.Ack(wallets[grant.Host].Ack(slopeShard, now.Add(time.Millisecond)))
		}
	})
}

func slopeCatalogue(items int) note.Catalogue {
	n := note.Note{ID: "all"}
	for i := range items {
		n.Added = append(n.Added, note.Work{
			Kind: note.KindBatch, Name: fmt.Sprintf("settlement-%05d", i), Priority: 5, Resources: slopeTaskSize,
			RunTime: note.Duration{Duration: time.Hour},
		})
	}
	c, err := note.Catalogue{}.Apply(n)
	if err != nil {
		panic(err) // the note is well-formed
	}
	return c
}

func noteApplyTime(items int) float64 {
	c := slopeCatalogue(items)
	item, _ := c.Item("settlement-00000")
	n := note.Note{Changed: []note.Work{item.Work}, ID: "one"}
	return meanMicroseconds(func() {
		if _, err := c.Apply(n); err != nil {
			panic(err) // the item that the note changes exists
		}
	})
}

func catalogueMemory(items int) float64 {
	return retainedHeap(func() note.Catalogue { return slopeCatalogue(items) })
}

func catalogueSnapshot(items int) float64 { return jsonBytes(slopeCatalogue(items)) }

func slopeState(tasks int) ledger.State {
	job := ledger.Job{ID: "settlement-2026-01-01", Kind: note.KindBatch, Resources: slopeTaskSize, Tasks: tasks, Work: "settlement"}
	changes := []ledger.Change{ledger.TakeOver(1, "western-1-entry-1"), ledger.Accept(job)}
	for i, id := range job.TaskIDs() {
		changes = append(changes, ledger.Bind(id, fmt.Sprintf("western-1-worker-%03d", i%600), 0, 0))
	}
	s, err := ledger.State{}.Apply(ledger.NewBatch(slopeStart, changes...))
	if err != nil {
		panic(err) // the changes are consistent with the empty state
	}
	return s
}

func ledgerMemory(tasks int) float64 {
	return retainedHeap(func() ledger.State { return slopeState(tasks) })
}

func ledgerSnapshot(tasks int) float64 { return jsonBytes(slopeState(tasks)) }

func ledgerEntryBytes(pairs int) float64 {
	var changes []ledger.Change
	for i := range pairs {
		id := ledger.TaskID("settlement-2026-01-01", i)
		changes = append(changes, ledger.Bind(id, "western-1-worker-001", 0, 0), ledger.End(id, ledger.PhaseDone, "", 1))
	}
	data, err := ledger.NewBatch(slopeStart, changes...).Encode()
	if err != nil {
		panic(err) // a batch can always be encoded
	}
	return float64(len(data))
}

func keyTableMemory(keys int) float64 {
	return retainedHeap(func() *idempotency.Table {
		t := idempotency.NewTable(idempotency.DefaultLimits())
		t.SetWorkers([]string{"w"})
		t.AcceptHandover(slopeStart, nil, time.Time{})
		t.EpochAccepted(slopeStart, "w", slopeStart)
		for i := range keys {
			var id ulid.ULID
			_ = id.SetTime(ulid.Timestamp(slopeStart))
			id[14], id[15] = byte(i>>8), byte(i)
			k := idempotency.NewKey("western-1", id)
			t.Claim(slopeStart, k, idempotency.FingerprintOf("POST", "/hold", sha256.Sum256(nil)))
			t.Finish(k, idempotency.OutcomeDone, idempotency.Response{Body: make([]byte, 256), Status: 200})
		}
		return t
	})
}

func hostListMemory(hosts int) float64 {
	return retainedHeap(func() fleet.Snapshot { return fleet.NewSnapshot(slopeHosts(hosts)...) })
}

func jsonBytes(v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // every type that is passed in can be marshalled
	}
	return float64(len(data))
}
