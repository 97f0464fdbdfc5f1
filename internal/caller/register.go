package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
	"github.com/laburnumridge/laburnumridge/internal/operator"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// Limits are the limits of callers' requests.
type Limits struct {
	// Bodies is the budget for the bodies of requests; nil means no limit.
	Bodies         *clientmemory.Budget
	MaxBodyBytes   int64
	ReadTimeout    time.Duration
	RequestTimeout time.Duration
}

// Service handles callers' requests; all fields must be set.
type Service struct {
	// Handle returns the response to a request, or a problem that states why there is none.
	Handle func(ctx context.Context, r Request) (*Response, *laburnumridge.Problem)
	// IsFeed reports whether a service is a feed, whose requests get no deadline.
	IsFeed func(service string) bool
	Zone   string
}

// hopByHopHeaders apply to a single connection and must not be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

type api struct {
	limits Limits
	log    *logrus.Entry
	svc    Service
	// trustForwarding accepts the headers that entry hosts set on forwarded requests.
	trustForwarding bool
}

// Register adds the callers' routes /<service> and /<service>/* to e.
func Register(e *echo.Echo, svc Service, limits Limits, log *logrus.Entry) {
	a := &api{limits: limits, log: log, svc: svc}
	e.Any("/:service", a.handle)
	e.Any("/:service/*", a.handle)
}

// RegisterForward adds the routes /forward/<service> and /forward/<service>/* to e, for requests that other entry hosts
// forward.
func RegisterForward(e *echo.Echo, svc Service, limits Limits, log *logrus.Entry) {
	a := &api{limits: limits, log: log, svc: svc, trustForwarding: true}
	e.Any("/forward/:service", a.handle)
	e.Any("/forward/:service/*", a.handle)
}

func (a *api) handle(c echo.Context) error {
	hold := clientmemory.OpenForRequest(a.limits.Bodies, c.Response(), c.Request())
	defer hold.Close() // the body is kept for retries until the request ends
	r, problem := a.readRequest(c, hold)
	c.Response().Header().Set(HeaderRequestID, r.ID)
	c.Response().Header().Set(HeaderZone, a.svc.Zone)
	if problem != nil {
		return a.writeProblem(c, problem)
	}
	ctx := c.Request().Context()
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	res, problem := a.svc.Handle(ctx, r)
	if problem != nil {
		return a.writeProblem(c, problem)
	}
	defer func() { _ = res.Body.Close() }()
	return a.writeResponse(c, r, res)
}

// readRequest validates the request and reads the complete body before anything runs, so that each problem has the
// outcome not_run.
func (a *api) readRequest(c echo.Context, hold *clientmemory.Hold) (Request, *laburnumridge.Problem) {
	in := c.Request()
	r := Request{
		Arrived: time.Now(),
		Header:  endToEndHeaders(in.Header),
		ID:      ulid.Make().String(),
		Key:     unquoteKey(in.Header.Get(HeaderKey)),
		Method:  in.Method,
		Path:    servicePath(in.URL, a.trustForwarding),
		Query:   in.URL.RawQuery,
		Service: c.Param("service"),
		Team:    in.Header.Get(HeaderTeam),
	}
	r.Header.Del(HeaderForwardedBy)
	if a.trustForwarding {
		r.ClaimedKey = in.Header.Get(HeaderClaimedKey)
		r.ForwardedBy = in.Header.Get(HeaderForwardedBy)
		if id := in.Header.Get(HeaderRequestID); id != "" {
			r.ID = id
		}
	}
	timeout, err := parseTimeout(in.Header.Get(HeaderTimeout), a.limits.RequestTimeout)
	if err != nil {
		return r, notRunProblem(http.StatusBadRequest, "bad_timeout", HeaderTimeout+" must be milliseconds above 0")
	}
	if !a.svc.IsFeed(r.Service) {
		r.Deadline = r.Arrived.Add(timeout)
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(r.Arrived.Add(a.limits.ReadTimeout))
	body, err := clientmemory.ReadBody(hold, http.MaxBytesReader(c.Response(), in.Body, a.limits.MaxBodyBytes), in.ContentLength)
	if err != nil {
		return r, a.bodyProblem(c, hold, err)
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	r.Body = body.Join()
	return r, nil
}

// bodyProblem returns the problem of a request whose body was not received, and prepares the end of its connection.
func (a *api) bodyProblem(c echo.Context, hold *clientmemory.Hold, err error) *laburnumridge.Problem {
	hold.Release()
	clientmemory.CloseAfterResponse(c.Response())
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRunProblem(http.StatusRequestEntityTooLarge, "body_too_large",
			"the body exceeds "+strconv.FormatInt(a.limits.MaxBodyBytes, 10)+" bytes")
	case errors.Is(err, clientmemory.ErrShort), errors.Is(err, clientmemory.ErrStalled):
		if errors.Is(err, clientmemory.ErrShort) {
			hold.Refuse(clientmemory.ReasonBody)
		}
		p := notRunProblem(http.StatusServiceUnavailable, "body_memory", err.Error())
		p.RetryAfter = clientmemory.RetryAfterSeconds
		return p
	}
	hold.Refuse(clientmemory.ReasonLate)
	return notRunProblem(http.StatusRequestTimeout, "body_incomplete", "the body did not arrive whole in time")
}

func (a *api) writeProblem(c echo.Context, p *laburnumridge.Problem) error {
	c.Response().Header().Set(HeaderOutcome, string(p.Outcome))
	return operator.WriteProblem(c, p)
}

// writeResponse copies a response to the caller. If the body fails before its end, the caller's connection is aborted,
// so that the caller can't mistake a truncated body for a complete one.
func (a *api) writeResponse(c echo.Context, r Request, res *Response) error {
	out := c.Response()
	for name, values := range endToEndHeaders(res.Header) {
		out.Header()[name] = values
	}
	out.Header().Set(HeaderRequestID, r.ID)
	out.Header().Set(HeaderZone, a.svc.Zone)
	if out.Header().Get(HeaderOutcome) == "" {
		out.Header().Set(HeaderOutcome, string(laburnumridge.OutcomeDone))
	}
	out.WriteHeader(res.Status)
	var err error
	if res.Streams {
		err = copyWithFlush(out, res.Body)
	} else {
		_, err = io.Copy(out, res.Body)
	}
	if err != nil {
		a.log.WithError(err).WithField("request", r.ID).Info("aborted a caller's connection: response body failed")
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyWithFlush copies body to out and flushes after each read. It returns read errors only.
func copyWithFlush(out *echo.Response, body io.Reader) error {
	buf := make([]byte, 16<<10)
	out.Flush()
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := out.Write(buf[:n]); err != nil {
				return nil // the caller has disconnected
			}
			out.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// parseTimeout parses a timeout in milliseconds and caps it at maxTimeout, which is also the default.
func parseTimeout(text string, maxTimeout time.Duration) (time.Duration, error) {
	if text == "" {
		return maxTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, strconv.ErrRange
	}
	return min(time.Duration(ms)*time.Millisecond, maxTimeout), nil
}

// endToEndHeaders returns a copy of h without hop-by-hop headers, including those that Connection lists.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for _, listed := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(listed))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

func notRunProblem(status int, reason, detail string) *laburnumridge.Problem {
	return &laburnumridge.Problem{
		Detail: detail, Outcome: laburnumridge.OutcomeNotRun, Reason: reason, Status: status,
		Title: http.StatusText(status),
	}
}

// servicePath returns the path after the service name, escaped as it was sent.
func servicePath(u *url.URL, forwarded bool) string {
	path := strings.TrimPrefix(u.EscapedPath(), "/")
	if forwarded {
		path = strings.TrimPrefix(path, "forward/")
	}
	_, rest, _ := strings.Cut(path, "/")
	return "/" + rest
}

// unquoteKey removes the quotes of an idempotency key sent as a structured field string; other keys are returned as is.
func unquoteKey(key string) string {
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		return key[1 : len(key)-1]
	}
	return key
}
