package overload_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// config limits bodies and headers as on the users' platform.
const config = `{"version":2,"routes":[{"name":"r","host":"h.example","prefix":"/q/","service":"s","maxAttempts":4,"stretch":2,
	"targetLatencyMs":1000,"timeoutMs":3000}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":262144,"maxHeaderBytes":16384,
	"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startJSONHost starts a host on the platform with the JSON store, and waits until it accepts a job.
func startJSONHost(t *testing.T) *process {
	s := startStore(t)
	s.put("op/config", config)
	// Nothing listens at the address of the worker, so that jobs are accepted and wait.
	s.put("servers/w-1", `{"address":"127.0.0.1:9","service":"s","state":"ready","zone":"z","labels":["k","rack"],`+
		`"capacity":{"cpu":64000,"memMb":250000}}`)
	p := startProcess(t, fmt.Sprintf("[platform]\nprotocol = \"json\"\nendpoints = [%q]\n[log]\nformat = \"json\"\n", s.URL))
	eventually(t, "the host accepts a job", p.acceptsJob)
	return p
}

// acceptsJob reports whether the process accepts a job of an ordinary caller, who is not part of a crowd.
func (p *process) acceptsJob() bool {
	body := `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":10}]}`
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.caller+"/q/5c0e7a21d94b36f8", strings.NewReader(body))
	req.Host = "h.example"
	req.Header.Set("Deadline-Ms", "3000")
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func jobHead(n int) string {
	return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 3000\r\n", n+1)
}

// largeJob is a job with a body of the largest permitted size.
func largeJob() string {
	job := `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":10}]}`
	return strings.Repeat(" ", maxBody-len(job)) + job
}

// Guards against a process that reads any number of bodies at the same time, whose clients stop just before the end.
func TestJSONHostSurvivesUnfinishedBodies(t *testing.T) {
	body := largeJob()
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			p, c := startJSONHost(t), newCrowd(t)
			stop := p.watch()
			c.join(p.caller, crowdSize, func(n int, conn net.Conn) { v.send(conn, jobHead(n), body, n%finisher != 0) })
			c.clients.Wait()
			eventually(t, "an ordinary job is accepted", p.acceptsJob)
			stop()
			p.checkBounds(t)
		})
	}
}

// Guards against limits that hold for each client only, and against those that a client escapes by connecting again.
func TestJSONHostSurvivesOtherCrowds(t *testing.T) {
	body := largeJob()
	for name, join := range map[string]func(c *crowd, address string, size int, write func(n int, conn net.Conn)){
		"many addresses": (*crowd).joinFromManyAddresses, "connecting again": (*crowd).joinAgain,
	} {
		t.Run(name, func(t *testing.T) {
			p, c := startJSONHost(t), newCrowd(t)
			stop := p.watch()
			join(c, p.caller, crowdSize, func(n int, conn net.Conn) { variants[0].send(conn, jobHead(n), body, true) })
			c.clients.Wait()
			eventually(t, "an ordinary job is accepted", p.acceptsJob)
			stop()
			p.checkBounds(t)
		})
	}
}

// Guards against bodies that decode to a multiple of their size at the same time: 87,376 empty steps of 3 bytes.
func TestJSONHostSurvivesDecoding(t *testing.T) {
	const clients = 96
	steps := strings.Repeat("{},", (maxBody-len(`{"steps":[{}]}`))/3)
	body := `{"steps":[` + steps + `{}]}`
	p, c := startJSONHost(t), newCrowd(t)
	stop := p.watch()
	c.join(p.caller, clients, func(n int, conn net.Conn) {
		_, _ = io.WriteString(conn, withLength(jobHead(n), body)+body)
	})
	c.clients.Wait()
	eventually(t, "an ordinary job is accepted", p.acceptsJob)
	stop()
	p.checkBounds(t)
}

// Guards against connections to several listeners that together exceed what the process may open: half send nothing, half a part of a
// header.
func TestJSONHostSurvivesSilentConnections(t *testing.T) {
	p, c := startJSONHost(t), newCrowd(t)
	stop := p.watch()
	for _, address := range []string{p.caller, p.debug, p.peer, p.ready} {
		c.join(address, crowdSize/2, func(n int, conn net.Conn) {
			if n%2 == 0 {
				_, _ = io.WriteString(conn, "GET /q/ HTTP/1.1\r\nHost: h.example\r\nX: "+strings.Repeat("x", 12<<10))
			}
		})
	}
	c.clients.Wait()
	eventually(t, "an ordinary job is accepted", p.acceptsJob)
	stop()
	p.checkBounds(t)
}

// Guards against messages of the peer listener without an end, which are kept whole until it comes.
func TestJSONHostSurvivesUnfinishedPeerMessages(t *testing.T) {
	const clients, messageBytes = 60, 4 << 20
	p, c := startJSONHost(t), newCrowd(t)
	stop := p.watch()
	c.joinPeers(p.peer, clients, messageBytes)
	c.clients.Wait()
	eventually(t, "an ordinary job is accepted", p.acceptsJob)
	stop()
	p.checkBounds(t)
}
