package integration_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// entryHost is an entry host that runs as a process of its own.
type entryHost struct {
	callerAddress, debugAddress, peerAddress string
	config                                   string
	id, zone                                 string
	// proxies holds the proxy in front of the platform under "platform", and the one in front of the peer address under "peer".
	proxies map[string]*fake.Proxy
	logFile string
	options []lr.Option
	process *exec.Cmd
	scheme  string
	exited  chan struct{}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	assert.NilError(t, err)
	return address
}

// newEntry writes the settings file of an entry host that connects to the platform through a proxy, and doesn't start it.
// Its peers connect to it through a proxy as well, since the host list has the proxy's address.
func newEntry(t *testing.T, dir, id, zone, platform, extraSettings string) *entryHost {
	t.Helper()
	e := &entryHost{
		callerAddress: freeAddress(t), debugAddress: freeAddress(t), id: id, proxies: map[string]*fake.Proxy{}, peerAddress: freeAddress(t),
		scheme: "http", zone: zone,
		config: filepath.Join(dir, id+".toml"), logFile: filepath.Join(dir, id+".log"),
	}
	var err error
	e.proxies["platform"], err = fake.NewProxy(strings.TrimPrefix(platform, "http://"), 1)
	assert.NilError(t, err)
	e.proxies["peer"], err = fake.NewProxy(e.peerAddress, 2)
	assert.NilError(t, err)
	if strings.Contains(extraSettings, "[security.caller]") {
		e.scheme = "https"
	}
	text := fmt.Sprintf("host = %q\nregion = \"western\"\nzone = %q\n[listen]\ncaller = %q\ndebug = %q\npeer = %q\n"+
		"[platform]\nendpoints = [\"http://%s\"]\n%s",
		id, zone, e.callerAddress, e.debugAddress, e.peerAddress, e.proxies["platform"].Address(), extraSettings)
	assert.NilError(t, os.WriteFile(e.config, []byte(text), 0o600))
	return e
}

// start starts the process; its log is appended to that of earlier processes of the entry host.
func (e *entryHost) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(e.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	defer func() { _ = log.Close() }()
	p := exec.Command(binary, "serve", "--config", e.config)
	p.Stderr, p.Stdout = log, log
	assert.NilError(t, p.Start())
	exited := make(chan struct{})
	e.exited, e.process = exited, p
	go func() {
		_ = p.Wait()
		close(exited)
	}()
}

func (e *entryHost) isRunning() bool {
	if e.process == nil {
		return false
	}
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

func (e *entryHost) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, e.process.Process.Signal(s))
}

// kill ends the process with SIGKILL, as a crash does, and waits for its exit.
func (e *entryHost) kill(t *testing.T) {
	t.Helper()
	e.signal(t, syscall.SIGKILL)
	<-e.exited
}

// terminate sends SIGTERM and returns the exit code. A process that doesn't exit within waitTimeout is killed.
func (e *entryHost) terminate(t *testing.T) int {
	t.Helper()
	e.signal(t, syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(waitTimeout):
		e.kill(t)
	}
	return e.process.ProcessState.ExitCode()
}

func (e *entryHost) url() string { return e.scheme + "://" + e.callerAddress }

func (e *entryHost) client(t *testing.T) *lr.Client {
	t.Helper()
	c, err := lr.New(append([]lr.Option{lr.WithURLs(e.url()), lr.WithTimeout(10 * time.Second)}, e.options...)...)
	assert.NilError(t, err)
	return c
}

// violations returns the invariant counters of /debug/vars that are not 0, and whether any check was counted.
func (e *entryHost) violations() (map[string]int, bool, error) {
	var vars struct {
		Checks     map[string]int `json:"invariant_checks"`
		Violations map[string]int `json:"invariant_violations"`
	}
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + e.debugAddress + "/debug/vars")
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(&vars)
	return vars.Violations, len(vars.Checks) > 0, eris.Wrap(err, e.id)
}

// tail returns the last lines of the log.
func (e *entryHost) tail(lines int) string {
	text, _ := os.ReadFile(e.logFile)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
