package host

import (
	"bufio"
	"errors"
	"io"
)

// maxLine bounds a line of a feed; a longer one is passed on in pieces.
const maxLine = 64 << 10

// feedLine is a line of a feed, or why it ended.
type feedLine struct {
	data []byte
	err  error
}

// readLines reads a feed line by line until it ends or nobody wants its lines any more.
func readLines(body io.Reader, lines chan<- feedLine, stop <-chan struct{}) {
	in := bufio.NewReaderSize(body, maxLine)
	for {
		data, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		select {
		case lines <- feedLine{data: append([]byte(nil), data...), err: err}:
		case <-stop:
			return
		}
		if err != nil {
			return
		}
	}
}
