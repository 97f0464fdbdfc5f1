package clientmemory

import (
	"errors"
	"io"
	"sync"
)

const (
	// FreeBytes is the part of a body or message that is not charged, since the machine's memory per connection covers it. The bodies of
	// most jobs are shorter.
	FreeBytes = 4 << 10
	// blockBytes is the size of further blocks. A body is kept in blocks until it is complete: growing a slice would copy it several
	// times and leave up to four times its size as garbage.
	blockBytes = 16 << 10
)

var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// Body is a received body.
type Body struct {
	blocks []*[blockBytes]byte
	first  []byte
	length int
}

// ReadBody reads a body to its end and reserves memory as the bytes arrive, not as the client announces them: a client that announces much
// and sends nothing holds nothing. length is the announced length, or negative. Errors match ErrShort, ErrStalled or are those of r.
func ReadBody(h *Hold, r io.Reader, length int64) (*Body, error) {
	b := &Body{}
	if err := b.read(h, r, length); err != nil {
		b.Discard()
		if ended := h.Receive(); errors.Is(ended, ErrStalled) {
			return nil, ended // r fails because the hold was ended
		}
		return nil, err
	}
	return b, h.Receive()
}

func (b *Body) read(h *Hold, r io.Reader, length int64) error {
	// One byte more than announced, so that the end is noticed without a further block.
	size := FreeBytes
	if length >= 0 {
		size = int(min(length+1, FreeBytes))
	}
	b.first = make([]byte, size)
	n, err := readBlock(h, r, b.first)
	b.first, b.length = b.first[:n], n
	for err == nil {
		if err = h.Grow(blockBytes); err != nil {
			return err
		}
		block, _ := blockPool.Get().(*[blockBytes]byte)
		b.blocks = append(b.blocks, block)
		n, err = readBlock(h, r, block[:])
		b.length += n
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// readBlock reads until the block is full or r fails.
func readBlock(h *Hold, r io.Reader, block []byte) (int, error) {
	n := 0
	for n < len(block) {
		m, err := r.Read(block[n:])
		n += m
		h.Deliver(m)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Len returns the length of the body in bytes.
func (b *Body) Len() int { return b.length }

// Join returns the whole body and lets go of its blocks, so that it must be called once at most.
func (b *Body) Join() []byte {
	if len(b.blocks) == 0 {
		return b.first
	}
	out := make([]byte, 0, b.length)
	out = append(out, b.first...)
	for _, block := range b.blocks {
		out = append(out, block[:min(blockBytes, b.length-len(out))]...)
	}
	b.Discard()
	return out
}

// Discard lets go of the blocks.
func (b *Body) Discard() {
	for _, block := range b.blocks {
		blockPool.Put(block)
	}
	b.blocks = nil
}
