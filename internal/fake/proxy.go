package fake

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is a direction of the data through a proxy.
type Direction int

// Directions of requests and of responses.
const (
	ToTarget Direction = iota
	FromTarget
	directionCount
)

// proxyQueueChunks is the number of chunks that may wait for their delay in one direction of a connection. Each holds at
// most one read of 32 KiB.
const proxyQueueChunks = 256

// Proxy forwards TCP connections to a target and injects faults, which may be changed while it runs.
type Proxy struct {
	address        string
	pairs          map[*connPair]bool
	partitioned    bool
	faults         [directionCount]faults
	totalForwarded [directionCount]int64 // bytes, over all connections
	listener       net.Listener
	mu             sync.Mutex
	rng            *rand.Rand
	goroutines     sync.WaitGroup
	target         string
}

type faults struct {
	delay      time.Duration
	closeAfter int64 // bytes; 0 means no limit
	jitter     time.Duration
	discard    bool // drop the data and do not count it as forwarded
}

// connPair is a connection from a caller and the one to the target on which its data is forwarded. The proxy's mu
// guards forwarded and blackholed.
type connPair struct {
	caller, target net.Conn
	forwarded      [directionCount]int64
	blackholed     bool
}

// chunk is data that waits for its delay.
type chunk struct {
	data []byte
	due  time.Time
}

// NewProxy listens on a free loopback port and forwards to the target, a host:port, without faults. The seed is that of
// the jitter.
func NewProxy(target string, seed uint64) (*Proxy, error) {
	l, err := Listen("")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		address: l.Addr().String(), pairs: map[*connPair]bool{}, listener: l,
		rng: rand.New(rand.NewPCG(seed, 0)), target: target,
	}
	p.goroutines.Go(func() { p.accept(l) })
	return p, nil
}

// Address returns the address on which the proxy listens, as host:port.
func (p *Proxy) Address() string { return p.address }

// SetPartitioned closes all connections and the listener if partitioned is true, and otherwise listens again on the
// same port.
//
// The listener is closed so that new connections are refused: with a connection that is accepted and then closed, the
// client could not tell whether its request had been received.
func (p *Proxy) SetPartitioned(partitioned bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if partitioned == p.partitioned {
		return nil
	}
	if partitioned {
		_ = p.listener.Close()
		p.closePairs()
		p.partitioned = true
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.partitioned, p.listener = false, l
	p.goroutines.Go(func() { p.accept(l) })
	return nil
}

// SetDelay delays data in a direction by delay plus a random time below jitter. The order of the data is kept.
func (p *Proxy) SetDelay(d Direction, delay, jitter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d].delay, p.faults[d].jitter = delay, jitter
}

// CloseAfter closes each connection once n bytes have been forwarded on it in a direction; 0 removes the limit.
func (p *Proxy) CloseAfter(d Direction, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d].closeAfter = n
}

// Forwarded returns the number of bytes forwarded so far in both directions.
func (p *Proxy) Forwarded() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalForwarded[ToTarget] + p.totalForwarded[FromTarget]
}

// Discard discards the data in a direction, while that in the other one is still forwarded; false forwards it again.
func (p *Proxy) Discard(d Direction, discard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d].discard = discard
}

// DiscardResponses discards the data from the target, while requests are still forwarded; false forwards it again.
func (p *Proxy) DiscardResponses(discard bool) { p.Discard(FromTarget, discard) }

// Blackhole makes the open connections discard all data for the rest of their life, without closing them. New
// connections are forwarded.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.blackholed = true
	}
}

// Stop closes the listener and all connections, and waits until all goroutines of the proxy have ended.
func (p *Proxy) Stop() {
	_ = p.SetPartitioned(true)
	p.goroutines.Wait()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.forward(conn) })
	}
}

// closePairs closes the open connections; callers hold mu.
func (p *Proxy) closePairs() {
	for pair := range p.pairs {
		_ = pair.caller.Close()
		_ = pair.target.Close()
	}
}

func (p *Proxy) forward(caller net.Conn) {
	defer caller.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	pair := &connPair{caller: caller, target: target}
	p.mu.Lock()
	if p.partitioned {
		p.mu.Unlock()
		return
	}
	p.pairs[pair] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDelayed(pair, ToTarget, caller, target) })
	directions.Go(func() { p.copyDelayed(pair, FromTarget, target, caller) })
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pair)
}

// copyDelayed queues what it reads for writeDue, so that a delay doesn't limit the throughput.
func (p *Proxy) copyDelayed(pair *connPair, d Direction, from, to net.Conn) {
	queue := make(chan chunk, proxyQueueChunks)
	var writer sync.WaitGroup
	writer.Go(func() { p.writeDue(pair, d, to, queue) })
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(p.drawDelay(d))}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	writer.Wait()
	// A blackholed connection doesn't forward the end of the stream either.
	if !p.isBlackholed(pair) {
		if conn, ok := to.(*net.TCPConn); ok {
			_ = conn.CloseWrite()
		}
	}
}

// writeDue writes each queued chunk when its delay has passed. It drains the queue even after the connection has closed.
func (p *Proxy) writeDue(pair *connPair, d Direction, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		n, closing := p.account(pair, d, int64(len(c.data)))
		if _, err := to.Write(c.data[:n]); err != nil || closing {
			_ = pair.caller.Close()
			_ = pair.target.Close()
		}
	}
}

// account returns how many of n bytes are to be forwarded, and counts them. It also returns whether to close the connection
// after them.
func (p *Proxy) account(pair *connPair, d Direction, n int64) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[d]
	if pair.blackholed || f.discard {
		return 0, false
	}
	closing := false
	if f.closeAfter > 0 && pair.forwarded[d]+n >= f.closeAfter {
		n, closing = max(f.closeAfter-pair.forwarded[d], 0), true
	}
	pair.forwarded[d] += n
	p.totalForwarded[d] += n
	return n, closing
}

// drawDelay returns the delay of the next chunk, with its jitter.
func (p *Proxy) drawDelay(d Direction) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[d]
	if f.jitter <= 0 {
		return f.delay
	}
	return f.delay + time.Duration(p.rng.Int64N(int64(f.jitter)))
}

func (p *Proxy) isBlackholed(pair *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pair.blackholed
}
