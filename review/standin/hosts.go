package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	programPath  = "target/laburnumridge"
	templatePath = "deploy/settings.toml.tmpl"
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 300 * time.Millisecond
	graceTime    = 6 * time.Second
	readyTimeout = 20 * time.Second
)

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// host is an entry host: a process of the project with its settings file.
type host struct {
	caller, ready string
	command       *exec.Cmd
	exited        chan struct{}
	logPath       string
	mu            sync.Mutex
	name          string
	record        *record
	settings      string
}

// lowestPort and highestPort bound the ports of the hosts. They are below those that the system gives to outgoing connections, one of
// which could take the port of a host while it is down.
const lowestPort, highestPort = 20000, 32000

func freePort() string {
	for range 1000 {
		port := strconv.Itoa(lowestPort + rand.IntN(highestPort-lowestPort))
		if ln, err := net.Listen("tcp", "127.0.0.1:"+port); err == nil {
			_ = ln.Close()
			return port
		}
	}
	fail("no free port")
	return ""
}

// newHost writes the settings file of a host from the template of the deploy file.
func newHost(r *record, folder, store string, n int, zone, cpuShare string, maxLease time.Duration) *host {
	h := &host{
		caller: "127.0.0.1:" + freePort(), ready: "127.0.0.1:" + freePort(), name: fmt.Sprintf("front-%d", n), record: r,
	}
	values := map[string]string{
		"node": h.name, "region": "west", "zone": zone, "listen.front": h.caller, "listen.ready": h.ready, "ip": "127.0.0.1",
		"internalPorts.0": freePort(), "internalPorts.1": freePort(), "platform.address": store, "advice": "", "bounds.status_s": "120",
		"limits.cpuShare": cpuShare, "bounds.maxHoldMs": strconv.FormatInt(maxLease.Milliseconds(), 10),
	}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		fail("%v", err)
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		if !ok {
			fail("the settings template has an unknown placeholder %s", p)
		}
		return v
	})
	h.settings, h.logPath = filepath.Join(folder, h.name+".toml"), filepath.Join(folder, h.name+".log")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	return h
}

func (h *host) start() {
	log, err := os.OpenFile(h.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	c := exec.Command(programPath, "serve", "--config", h.settings)
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMRIDGE_SETTINGS=" + h.settings, "GOGC=100", "GOMEMLIMIT=160MiB",
		"GOMAXPROCS=1",
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("%v", err)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.command, h.exited = c, exited
	h.mu.Unlock()
	h.record.log("platform starts %s", h.name)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (h *host) signal(s syscall.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.log("platform sends %s to %s", s, h.name)
	_ = h.command.Process.Signal(s)
	return h.exited
}

// terminate sends SIGTERM, and SIGKILL after the grace time, and starts the host again.
func (h *host) terminate() {
	exited := h.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		<-h.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	h.start()
}

func (h *host) kill() {
	h.mu.Lock()
	c, exited := h.command, h.exited
	h.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-exited
	}
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the host takes requests.
func (h *host) awaitReady() bool {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if h.isReady() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
