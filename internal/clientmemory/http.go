package clientmemory

import (
	"net"
	"net/http"
	"time"
)

const (
	// RetryAfterSeconds is the Retry-After of refusals. Stalled requests are ended within stallTime, those that make progress within their
	// time budget of a few seconds.
	RetryAfterSeconds = 1
	// discardTime is how long net/http discards the rest of a refused body. Closing a connection with unread bytes resets it, and the
	// client might not see the response.
	discardTime = 300 * time.Millisecond
)

// CloseAfterResponse makes the server close the connection after the response that is written next, although the body of the request was
// not read to its end.
func CloseAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime)) // otherwise it is discarded until the client ends
}

// OpenForRequest returns a hold for the client of a request, which stops reading the request's body when the budget ends it.
func OpenForRequest(b *Budget, w http.ResponseWriter, r *http.Request) *Hold {
	client := r.RemoteAddr
	if host, _, err := net.SplitHostPort(client); err == nil {
		client = host
	}
	controller := http.NewResponseController(w)
	return b.Open(client, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
}
