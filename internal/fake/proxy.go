package fake

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is one direction through a proxy.
type Direction int

// Directions through a proxy.
const (
	ToTarget Direction = iota
	FromTarget
	directions
)

// proxyQueue bounds the chunks that are delayed in one direction of a connection.
const proxyQueue = 256

// Proxy forwards TCP connections to a target and injects faults; all settings may change at run time.
type Proxy struct {
	address  string
	conns    map[*link]bool
	cut      bool
	faults   [directions]faults
	listener net.Listener
	mu       sync.Mutex
	rnd      *rand.Rand
	stopped  sync.WaitGroup
	target   string
}

type faults struct {
	delay     time.Duration
	dropAfter int64
	jitter    time.Duration
	swallow   bool
}

// link is a pair of connections; its silenced field is guarded by the proxy's mu.
type link struct {
	caller, target net.Conn
	forwarded      [directions]int64
	silenced       bool
}

type chunk struct {
	data []byte
	due  time.Time
}

// NewProxy listens on a loopback port and forwards to the target, without faults; seed draws the jitter.
func NewProxy(target string, seed uint64) (*Proxy, error) {
	l, err := Listen("")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		address: l.Addr().String(), conns: map[*link]bool{}, listener: l,
		rnd: rand.New(rand.NewPCG(seed, 0)), target: target,
	}
	p.stopped.Go(func() { p.accept(l) })
	return p, nil
}

// Address returns where the proxy listens, as host:port.
func (p *Proxy) Address() string { return p.address }

// Cut closes all connections and refuses new ones, or accepts them again on the same port.
//
// The port is closed meanwhile: a connection accepted and then closed would look to the client as if its
// request might have been received.
func (p *Proxy) Cut(cut bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.cut {
		return nil
	}
	if cut {
		_ = p.listener.Close()
		p.closeAll()
		p.cut = true
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.cut, p.listener = false, l
	p.stopped.Go(func() { p.accept(l) })
	return nil
}

// Delay holds data in a direction back for delay and a random time up to jitter, in order.
func (p *Proxy) Delay(d Direction, delay, jitter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d].delay, p.faults[d].jitter = delay, jitter
}

// Drop closes each connection after it has forwarded n bytes in a direction; 0 ends that.
func (p *Proxy) Drop(d Direction, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d].dropAfter = n
}

// LoseAnswers forwards requests and swallows responses, or ends that.
func (p *Proxy) LoseAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[FromTarget].swallow = lose
}

// Silence makes the present connections forward nothing any more, for good; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.silenced = true
	}
}

// Stop closes everything and waits until nothing is forwarded.
func (p *Proxy) Stop() {
	_ = p.Cut(true)
	p.stopped.Wait()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.stopped.Go(func() { p.forward(conn) })
	}
}

// closeAll closes the present connections; callers hold mu.
func (p *Proxy) closeAll() {
	for l := range p.conns {
		_ = l.caller.Close()
		_ = l.target.Close()
	}
}

func (p *Proxy) forward(caller net.Conn) {
	defer caller.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	l := &link{caller: caller, target: target}
	p.mu.Lock()
	if p.cut {
		p.mu.Unlock()
		return
	}
	p.conns[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(l, ToTarget, caller, target) })
	both.Go(func() { p.pump(l, FromTarget, target, caller) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, l)
}

// pump reads without waiting for delayed data, so that a delay doesn't limit the throughput.
func (p *Proxy) pump(l *link, d Direction, from, to net.Conn) {
	queue := make(chan chunk, proxyQueue)
	var writing sync.WaitGroup
	writing.Go(func() { p.write(l, d, to, queue) })
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(p.delay(d))}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	writing.Wait()
	// The end of a silenced connection isn't forwarded either.
	if !p.isSilenced(l) {
		if half, ok := to.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
	}
}

func (p *Proxy) write(l *link, d Direction, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		n, drop := p.allowed(l, d, int64(len(c.data)))
		if _, err := to.Write(c.data[:n]); err != nil || drop {
			_ = l.caller.Close()
			_ = l.target.Close()
		}
	}
}

// allowed returns how much of n bytes to forward, and whether the connection then closes.
func (p *Proxy) allowed(l *link, d Direction, n int64) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[d]
	if l.silenced || f.swallow {
		return 0, false
	}
	drop := false
	if f.dropAfter > 0 && l.forwarded[d]+n >= f.dropAfter {
		n, drop = max(f.dropAfter-l.forwarded[d], 0), true
	}
	l.forwarded[d] += n
	return n, drop
}

func (p *Proxy) delay(d Direction) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[d]
	if f.jitter <= 0 {
		return f.delay
	}
	return f.delay + time.Duration(p.rnd.Int64N(int64(f.jitter)))
}

func (p *Proxy) isSilenced(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silenced
}
