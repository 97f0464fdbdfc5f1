package host

import (
	"bufio"
	"errors"
	"io"
)

// maxLine is the longest line of a feed that is passed on in one piece; longer ones are split.
const maxLine = 64 << 10

// feedLine is a line of a feed; the last one has the error that ended the feed.
type feedLine struct {
	data []byte
	err  error
}

// readLines sends the lines of a feed to lines until the feed ends or stop is closed.
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
