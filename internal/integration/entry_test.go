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

// entry is an entry host, which runs as a process of its own.
type entry struct {
	caller, debug, peer string // addresses
	config              string
	id, zone            string
	// links to the platform and from other entry hosts.
	links   map[string]*fake.Proxy
	logFile string
	options []lr.Option
	process *exec.Cmd
	scheme  string
	done    chan struct{}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	assert.NilError(t, err)
	return address
}

// newEntry writes the settings of an entry host that connects to the platform through a proxy.
func newEntry(t *testing.T, dir, id, zone, platform, more string) *entry {
	t.Helper()
	e := &entry{
		caller: freeAddress(t), debug: freeAddress(t), id: id, links: map[string]*fake.Proxy{}, peer: freeAddress(t),
		scheme: "http", zone: zone,
		config: filepath.Join(dir, id+".toml"), logFile: filepath.Join(dir, id+".log"),
	}
	var err error
	e.links["platform"], err = fake.NewProxy(strings.TrimPrefix(platform, "http://"), 1)
	assert.NilError(t, err)
	e.links["peer"], err = fake.NewProxy(e.peer, 2)
	assert.NilError(t, err)
	if strings.Contains(more, "[security.caller]") {
		e.scheme = "https"
	}
	text := fmt.Sprintf("host = %q\nregion = \"western\"\nzone = %q\n[listen]\ncaller = %q\ndebug = %q\npeer = %q\n"+
		"[platform]\nendpoints = [\"http://%s\"]\n%s",
		id, zone, e.caller, e.debug, e.peer, e.links["platform"].Address(), more)
	assert.NilError(t, os.WriteFile(e.config, []byte(text), 0o600))
	return e
}

// start runs the process; its log is appended to that of earlier ones.
func (e *entry) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(e.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	defer func() { _ = log.Close() }()
	p := exec.Command(binary, "serve", "--config", e.config)
	p.Stderr, p.Stdout = log, log
	assert.NilError(t, p.Start())
	done := make(chan struct{})
	e.done, e.process = done, p
	go func() {
		_ = p.Wait()
		close(done)
	}()
}

func (e *entry) isRunning() bool {
	if e.process == nil {
		return false
	}
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

func (e *entry) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, e.process.Process.Signal(s))
}

// kill ends the process as a crash does.
func (e *entry) kill(t *testing.T) {
	t.Helper()
	e.signal(t, syscall.SIGKILL)
	<-e.done
}

// terminate stops the process gracefully and returns its exit code.
func (e *entry) terminate(t *testing.T) int {
	t.Helper()
	e.signal(t, syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(patience):
		e.kill(t)
	}
	return e.process.ProcessState.ExitCode()
}

func (e *entry) url() string { return e.scheme + "://" + e.caller }

func (e *entry) client(t *testing.T) *lr.Client {
	t.Helper()
	c, err := lr.New(append([]lr.Option{lr.WithURLs(e.url()), lr.WithTimeout(10 * time.Second)}, e.options...)...)
	assert.NilError(t, err)
	return c
}

// violations returns the invariant counters of /debug/vars that are not 0, and whether any check was made.
func (e *entry) violations() (map[string]int, bool, error) {
	var vars struct {
		Checks     map[string]int `json:"invariant_checks"`
		Violations map[string]int `json:"invariant_violations"`
	}
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + e.debug + "/debug/vars")
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(&vars)
	return vars.Violations, len(vars.Checks) > 0, eris.Wrap(err, e.id)
}

// tail returns the last lines of the log.
func (e *entry) tail(lines int) string {
	text, _ := os.ReadFile(e.logFile)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
