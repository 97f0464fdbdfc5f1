package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/host"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

const (
	// hostListDelay is the time after which the fake platform shows a change of its host list.
	hostListDelay   = 500 * time.Millisecond
	maxPortAttempts = 10
)

// Fleet consists of a fake platform, fake workers and entry hosts, all on loopback.
type Fleet struct {
	Journal  *fake.Journal
	Platform *fake.Platform

	endpoint   string
	log        *logrus.Logger
	mu         sync.Mutex
	entryHosts map[string]*entryHost
	onFailure  func(name, detail string)
	user       User
	workers    map[string]*fake.Worker
}

// entryHost is a running entry host.
type entryHost struct {
	cancel context.CancelFunc
	done   chan error // receives the result of host.Run
	host   *host.Host
	listen settings.Listen
}

// StartFleet starts the fake platform and the workers of the user's zones, but no entry hosts. It calls onFailure at
// each violation of an invariant in an entry host.
func StartFleet(user User, log *logrus.Logger, onFailure func(name, detail string)) (*Fleet, error) {
	f := &Fleet{
		Journal:    fake.NewJournal(time.Now),
		Platform:   fake.NewPlatform(fake.WithHostListDelay(hostListDelay)),
		log:        log,
		entryHosts: map[string]*entryHost{},
		onFailure:  onFailure,
		user:       user,
		workers:    map[string]*fake.Worker{},
	}
	var err error
	if f.endpoint, err = f.Platform.Start(); err != nil {
		return nil, eris.Wrap(err, "starting the fake platform")
	}
	for _, zone := range user.Zones {
		for i := range user.WorkersPerZone {
			if err := f.StartWorker(fmt.Sprintf("%s-worker-%02d", zone, i+1), zone, i/user.WorkersPerRack); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// Invariants returns how many invariant checks the running entry hosts made, and how many of them failed.
func (f *Fleet) Invariants() (checked, violated int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.entryHosts {
		c, v := h.host.Invariants()
		checked, violated = checked+c, violated+v
	}
	return checked, violated
}

// RemoveHost removes an entry host from the host list and stops it gracefully.
func (f *Fleet) RemoveHost(id string) error {
	f.mu.Lock()
	h, ok := f.entryHosts[id]
	delete(f.entryHosts, id)
	f.mu.Unlock()
	if !ok {
		return eris.Errorf("entry host %s is not running", id)
	}
	f.Platform.RemoveHost(id)
	h.cancel()
	return <-h.done
}

// KillWorker stops a worker abruptly, as a power failure does, and removes it from the host list.
func (f *Fleet) KillWorker(id string) {
	f.mu.Lock()
	w := f.workers[id]
	delete(f.workers, id)
	f.mu.Unlock()
	if w != nil {
		w.Kill()
	}
	f.Platform.RemoveHost(id)
}

// StartHost starts an entry host on free ports and adds it to the host list. Another process may take a port before the
// host listens on it, so StartHost then retries with other ports.
func (f *Fleet) StartHost(id, zone string) error {
	for range maxPortAttempts {
		err := f.startHost(id, zone)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return eris.Errorf("no free ports found for entry host %s", id)
}

func (f *Fleet) startHost(id, zone string) error {
	s := settings.Default()
	s.Host, s.Region, s.Zone = id, f.user.Region, zone
	s.Platform.Endpoints = []string{f.endpoint}
	s.Log.Level = "info"
	for _, address := range []*string{&s.Listen.Caller, &s.Listen.Debug, &s.Listen.Peer} {
		free, err := fake.FreeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	h, err := host.New(s, host.WithLog(f.log), host.WithQuickStart(), host.WithViolationHandler(f.onFailure))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &entryHost{cancel: cancel, done: make(chan error, 1), host: h, listen: s.Listen}
	go func() { started.done <- h.Run(ctx) }()
	select {
	case <-h.Listening():
	case err := <-started.done:
		cancel()
		return err
	}
	f.mu.Lock()
	f.entryHosts[id] = started
	f.mu.Unlock()
	f.Platform.SetHost(fleet.Host{
		Address: s.Listen.Caller, ID: id, Kind: fleet.KindEntryHost, PeerAddress: s.Listen.Peer,
		State: fleet.StateLive, Zone: zone,
	})
	return nil
}

// StartWorker starts a worker and adds it to the host list. Racks are numbered from 0.
func (f *Fleet) StartWorker(id, zone string, rack int) error {
	w := fake.NewWorker(
		fake.WithID(id), fake.WithJournal(f.Journal), fake.WithCapacity(f.user.Worker), fake.WithProfile(shortRunProfile),
	)
	if err := w.Start(); err != nil {
		return eris.Wrapf(err, "worker %s", id)
	}
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	f.Platform.SetHost(fleet.Host{
		Address: w.Address(), Capacity: f.user.Worker, ID: id, Kind: fleet.KindWorker,
		Rack: fmt.Sprintf("%s-rack-%d", zone, rack+1), State: fleet.StateLive, Zone: zone,
	})
	return nil
}

// Stop stops all entry hosts gracefully, then the workers and the platform.
func (f *Fleet) Stop() {
	f.mu.Lock()
	hosts, workers := f.entryHosts, f.workers
	f.entryHosts, f.workers = map[string]*entryHost{}, map[string]*fake.Worker{}
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			h.cancel()
			<-h.done
		})
	}
	wg.Wait()
	for _, w := range workers {
		w.Kill()
	}
	f.Platform.Stop()
}

// URLs returns the base URLs of the running entry hosts.
func (f *Fleet) URLs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, h := range f.entryHosts {
		out = append(out, "http://"+h.listen.Caller)
	}
	return out
}

// shortRunProfile shortens the run times of tasks, which are hours in the release notes, to a few seconds.
func shortRunProfile(in worker.StartRequest) fake.Profile {
	p := fake.DeclaredProfile(in)
	p.RunTime = 500*time.Millisecond + in.RunTime.Duration/5000
	p.CheckpointInterval = 200 * time.Millisecond
	return p
}
