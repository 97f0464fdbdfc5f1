package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// graceTime is graceS of the site: a process that has not ended by then is killed.
	graceTime = 6 * time.Second
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 300 * time.Millisecond
)

var (
	errNoPort   = errors.New("no port is free")
	errNotReady = errors.New("hosts are not ready in time")
)

// host is a process of the program under test, started as the deploy file says.
type host struct {
	caller, ready string
	cmd           *exec.Cmd
	config        string
	log           string
	name          string
	program       string
	done          chan struct{}
}

// freeAddress returns an address whose port is below those that the kernel gives to outgoing connections.
func freeAddress() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err == nil {
			defer func() { _ = ln.Close() }()
			return ln.Addr().String(), nil
		}
	}
	return "", errNoPort
}

// newHost writes the settings of a host as deploy/settings.toml.tmpl has them.
func newHost(dir, program, name, store string, strength float64, maxLease time.Duration) (*host, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h := &host{
		caller: addresses[0], ready: addresses[1], config: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"), name: name,
		program: program,
	}
	text := fmt.Sprintf(`host = %q
region = "western"
zone = "kelaniya"

[listen]
caller = %q
ready = %q
peer = %q
debug = %q

[platform]
protocol = "json"
endpoints = ["http://%s"]
advice = ""
status_retention = "120s"
strength = %g

[worker]
max_lease = "%dms"

[log]
format = "json"
level = "info"
`, name, addresses[0], addresses[1], addresses[2], addresses[3], store, strength, maxLease.Milliseconds())
	return h, os.WriteFile(h.config, []byte(text), 0o600)
}

func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	h.cmd = exec.Command(h.program, "serve", "--config", h.config, "--set", "worker.remote_factor=2", "--set", "limits.memory_mb=284")
	h.cmd.Env = append(os.Environ(), "GOGC=100", "GOMEMLIMIT=160MiB", "GOMAXPROCS=1")
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(h.cmd, h.done)
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// end sends SIGTERM, and SIGKILL after graceTime.
func (h *host) end() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.done:
	case <-time.After(graceTime):
		h.kill()
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

func (h *host) isReady() bool {
	res, err := http.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range hosts {
			if h.isReady() {
				n++
			}
		}
		if n == len(hosts) {
			return nil
		}
	}
	return errNotReady
}

// consume sends a consumer's request with its retries and returns the status of the last response, 0 if there was none.
func consume(r *record, h *host, method, id, body string) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+h.caller+"/plan/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "rooms.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		r.add("consumer: %s %s at %s: no response (%s)", method, id, h.name, err)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text := make([]byte, 200)
	n, _ := res.Body.Read(text)
	r.add("consumer: %s %s at %s: %d %s", method, id, h.name, res.StatusCode, strings.TrimSpace(string(text[:n])))
	return res.StatusCode, string(text[:n])
}
