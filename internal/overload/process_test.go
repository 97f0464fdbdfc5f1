package overload_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
)

// The memory of the machine that the tests assume, and what follows from it. GOMEMLIMIT has the same share of the machine's memory as in
// deploy/system.toml.
const (
	machineBytes = 96 << 20
	memoryLimit  = "80MiB"
	// maxDescriptors allows a connection for each 256 KiB of the machine's memory, and 64 descriptors for other purposes.
	maxDescriptors = machineBytes/(256<<10) + 64
)

// process is an entry host under test.
type process struct {
	caller, debug, peer, ready string
	cmd                        *exec.Cmd
	exited                     chan struct{}
	log                        string
	// sampled is the peak of the bytes that the kernel has received for the process, and of the open descriptors.
	mu                  sync.Mutex
	unread, descriptors int
}

// startProcess starts an entry host with the tables that are given in addition to host and listen, and ends it after the test.
func startProcess(t *testing.T, tables string) *process {
	t.Helper()
	p := &process{exited: make(chan struct{})}
	for _, address := range []*string{&p.caller, &p.debug, &p.peer, &p.ready} {
		var err error
		*address, err = fake.FreeAddress()
		assert.NilError(t, err)
	}
	dir := t.TempDir()
	config := filepath.Join(dir, "settings.toml")
	p.log = filepath.Join(dir, "log")
	assert.NilError(t, os.WriteFile(config, fmt.Appendf(nil,
		"host = \"h-1\"\nregion = \"r\"\nzone = \"z\"\n[listen]\ncaller = %q\ndebug = %q\npeer = %q\nready = %q\n%s",
		p.caller, p.debug, p.peer, p.ready, tables), 0o600))
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(binary, "serve", "--config", config)
	p.cmd.Env = append(os.Environ(), "GOGC=100", "GOMEMLIMIT="+memoryLimit, "GOMAXPROCS=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Log("end of the log:\n" + p.tail())
		}
	})
	return p
}

func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) tail() string {
	text, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-12):], "\n")
}

// peakMemory returns the peak of the resident memory (VmHWM) in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(t, err)
			return kib << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// watch samples the kernel's buffers and the descriptors until stop is called, which samples once more.
func (p *process) watch() (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			p.sample()
			select {
			case <-done:
				p.sample()
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

func (p *process) sample() {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	unread := p.unreadBytes()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.descriptors, p.unread = max(p.descriptors, len(open)), max(p.unread, unread)
}

// unreadBytes returns the bytes that the kernel has received on the connections to the process, accepted or not, and that it has not read.
func (p *process) unreadBytes() int {
	var ports []string
	for _, address := range []string{p.caller, p.debug, p.peer, p.ready} {
		_, port, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(port)
		ports = append(ports, fmt.Sprintf("%04X", n))
	}
	text, _ := os.ReadFile("/proc/net/tcp")
	sum := 0
	for line := range bytes.Lines(text) {
		fields := strings.Fields(string(line))
		if len(fields) < 5 || fields[3] == "0A" { // a listening socket has the number of its waiting connections there
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		if slices.Contains(ports, port) {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += int(n)
		}
	}
	return sum
}

// checkBounds checks that the process lives and has stayed within the machine's memory and its descriptors.
func (p *process) checkBounds(t *testing.T) {
	t.Helper()
	assert.Assert(t, p.isAlive(), "the process has ended: %v", p.cmd.ProcessState)
	peak := p.peakMemory(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("peak memory %.1f MB, unread in the kernel %.1f MB, %d descriptors", float64(peak)/1e6, float64(p.unread)/1e6, p.descriptors)
	assert.Check(t, peak+p.unread <= machineBytes, "%.1f MB of memory and %.1f MB unread in the kernel, the machine has %.1f MB",
		float64(peak)/1e6, float64(p.unread)/1e6, machineBytes/1e6)
	assert.Check(t, p.descriptors <= maxDescriptors, "%d descriptors, %d allowed", p.descriptors, maxDescriptors)
}

// eventually calls f every 50 ms until it returns true, for at most waitTimeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", waitTimeout, what)
		}
	}
}
