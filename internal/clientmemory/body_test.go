package clientmemory_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

// Guards against bodies that are changed by being kept in blocks, and against reservations that exceed the body by more than a block.
func TestBodyIsReadWhole(t *testing.T) {
	for _, length := range []int{0, 1, 4095, 4096, 4097, 20_479, 20_480, 20_481, 262_144} {
		content := make([]byte, length)
		for i := range content {
			content[i] = byte(i * 7 / 3)
		}
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "end with data": iotest.DataErrReader,
		} {
			for _, announced := range []int64{int64(length), -1} {
				t.Run(fmt.Sprint(length, " ", name, " ", announced), func(t *testing.T) {
					b, _ := newBudget(1 << 20)
					h := b.Open("a", ignore)
					body, err := clientmemory.ReadBody(h, wrap(bytes.NewReader(content)), announced)
					assert.NilError(t, err)
					assert.Equal(t, body.Len(), length)
					assert.Assert(t, b.Held() <= int64(length)+16<<10)
					assert.Assert(t, bytes.Equal(body.Join(), content))
					h.Close()
					assert.Equal(t, b.Held(), int64(0))
				})
			}
		}
	}
}

// Guards against memory that is reserved for what a client has announced and not sent.
func TestBodyIsReservedAsItArrives(t *testing.T) {
	b, _ := newBudget(1 << 20)
	h := b.Open("a", ignore)
	defer h.Close()
	in, out := io.Pipe()
	done := make(chan error, 1)
	go func() {
		_, err := clientmemory.ReadBody(h, in, 262_144)
		done <- err
	}()
	_, err := out.Write(make([]byte, 4<<10))
	assert.NilError(t, err)
	_, err = out.Write(make([]byte, 1)) // returns when it is read, which is after the reservation of its block
	assert.NilError(t, err)
	assert.Equal(t, b.Held(), int64(16<<10))
	assert.NilError(t, out.CloseWithError(io.ErrUnexpectedEOF))
	assert.ErrorIs(t, <-done, io.ErrUnexpectedEOF)
}

// Guards against a body that is refused for another reason than the one for which it was not read.
func TestUnreadBodyHasTheCause(t *testing.T) {
	b, _ := newBudget(100 << 10)
	_, err := clientmemory.ReadBody(b.Open("a", ignore), bytes.NewReader(make([]byte, 200<<10)), -1)
	assert.ErrorIs(t, err, clientmemory.ErrShort)

	b, _ = newBudget(100 << 10)
	h := b.Open("a", ignore)
	assert.NilError(t, h.Grow(1))
	h.Close()
	_, err = clientmemory.ReadBody(h, iotest.ErrReader(errors.New("deadline")), -1)
	assert.ErrorIs(t, err, clientmemory.ErrStalled, "a hold that was ended")
}

// Guards against a caller who waits for the decoding of others beyond its time budget.
func TestDecodeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := clientmemory.Decode(ctx, func() error { return nil })
	assert.Assert(t, err == nil || errors.Is(err, context.Canceled))
	assert.NilError(t, clientmemory.Decode(context.Background(), func() error { return nil }))
}
