package overload_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const firstNote = `
id = "first"
added = [
  {kind = "team", name = "rooms", quota = {cpu_milli = 40000, memory_mib = 80000, slots = 40}, share = 0.9},
  {kind = "service", name = "orders", team = "rooms", replicas_per_zone = 1, resources = {cpu_milli = 1000, memory_mib = 512, slots = 4}, share = 0.4},
]
`

// startEtcdHost starts a host on the platform with etcd and a worker, and waits until it serves requests.
func startEtcdHost(t *testing.T) *process {
	platform := fake.NewPlatform()
	endpoint, err := platform.Start()
	assert.NilError(t, err)
	t.Cleanup(platform.Stop)
	w := fake.NewWorker(fake.WithID("w-1"), fake.WithServiceTime(func(string, *rand.Rand) time.Duration { return 5 * time.Millisecond }))
	assert.NilError(t, w.Start())
	t.Cleanup(w.Kill)
	platform.SetHost(fleet.Host{
		Address: w.Address(), ID: "w-1", Kind: fleet.KindWorker, Rack: "rack", State: fleet.StateLive, Zone: "z",
		Capacity: fleet.Resources{CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
	})
	p := startProcess(t, fmt.Sprintf("[platform]\nendpoints = [%q]\n[limits]\nmax_body_bytes = %d\n", endpoint, maxBody))
	platform.SetHost(fleet.Host{
		Address: p.caller, ID: "h-1", Kind: fleet.KindEntryHost, PeerAddress: p.peer, State: fleet.StateLive, Zone: "z",
	})
	client, err := lr.New(lr.WithURLs("http://"+p.caller), lr.WithTimeout(10*time.Second))
	assert.NilError(t, err)
	eventually(t, "the note is published", func() bool {
		_, err := client.Publish(context.Background(), []byte(firstNote))
		return err == nil
	})
	eventually(t, "the host serves a request", p.servesRequest)
	return p
}

// servesRequest reports whether a request of an ordinary caller, who is not part of a crowd, runs.
func (p *process) servesRequest() bool {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post("http://"+p.caller+"/orders/x", "text/plain", strings.NewReader("x"))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Guards against a process that reads any number of bodies at the same time, whose clients stop just before the end: bodies of callers'
// requests, of notes from operators, and of requests that other entry hosts forward.
func TestEtcdHostSurvivesUnfinishedBodies(t *testing.T) {
	body := strings.Repeat("x", maxBody)
	for _, target := range []struct{ name, path string }{
		{"callers", "/orders/x"}, {"operators", "/v1/notes"}, {"peers", "/forward/orders/x"},
	} {
		for _, v := range variants {
			t.Run(target.name+" "+v.name, func(t *testing.T) {
				p, c := startEtcdHost(t), newCrowd(t)
				address, body := p.caller, body
				switch target.name {
				case "operators":
					body = body[:120<<10] // notes are limited to 128 KiB
				case "peers":
					address = p.peer
				}
				stop := p.watch()
				c.join(address, crowdSize, func(n int, conn net.Conn) {
					v.send(conn, "POST "+target.path+" HTTP/1.1\r\nHost: h.example\r\n", body, n%finisher != 0)
				})
				c.clients.Wait()
				eventually(t, "an ordinary request is served", p.servesRequest)
				stop()
				p.checkBounds(t)
			})
		}
	}
}

// Guards against messages of the peer listener without an end, which are kept whole until it comes.
func TestEtcdHostSurvivesUnfinishedPeerMessages(t *testing.T) {
	const clients, messageBytes = 60, 4 << 20
	p, c := startEtcdHost(t), newCrowd(t)
	stop := p.watch()
	c.joinPeers(p.peer, clients, messageBytes)
	c.clients.Wait()
	eventually(t, "an ordinary request is served", p.servesRequest)
	stop()
	p.checkBounds(t)
}
