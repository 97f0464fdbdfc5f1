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

	"github.com/laburnumridge/laburnumridge/internal/operator"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// Limits bounds what a caller may send.
type Limits struct {
	MaxBodyBytes   int64
	ReadTimeout    time.Duration
	RequestTimeout time.Duration
}

// Service is what the entry host does for callers; all fields must be set.
type Service struct {
	// Handle answers a request; a problem says why there is no response.
	Handle func(ctx context.Context, r Request) (*Response, *laburnumridge.Problem)
	// IsFeed reports whether a service streams; its requests have no deadline of their own.
	IsFeed func(service string) bool
	Zone   string
}

// hopHeaders concern a single connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

type api struct {
	limits Limits
	log    *logrus.Entry
	svc    Service
	// trusted says that forwarding headers are believed.
	trusted bool
}

// Register adds the route /<service>/… for callers to e.
func Register(e *echo.Echo, svc Service, limits Limits, log *logrus.Entry) {
	a := &api{limits: limits, log: log, svc: svc}
	e.Any("/:service", a.handle)
	e.Any("/:service/*", a.handle)
}

// RegisterForward adds the route /forward/<service>/… for other entry hosts to e.
func RegisterForward(e *echo.Echo, svc Service, limits Limits, log *logrus.Entry) {
	a := &api{limits: limits, log: log, svc: svc, trusted: true}
	e.Any("/forward/:service", a.handle)
	e.Any("/forward/:service/*", a.handle)
}

func (a *api) handle(c echo.Context) error {
	r, problem := a.read(c)
	c.Response().Header().Set(HeaderRequestID, r.ID)
	c.Response().Header().Set(HeaderZone, a.svc.Zone)
	if problem != nil {
		return a.refuse(c, problem)
	}
	ctx := c.Request().Context()
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	res, problem := a.svc.Handle(ctx, r)
	if problem != nil {
		return a.refuse(c, problem)
	}
	defer func() { _ = res.Body.Close() }()
	return a.write(c, r, res)
}

// read takes the whole request before anything is done with it; a problem means that nothing ran.
func (a *api) read(c echo.Context) (Request, *laburnumridge.Problem) {
	in := c.Request()
	r := Request{
		Arrived: time.Now(),
		Header:  passedOn(in.Header),
		ID:      ulid.Make().String(),
		Key:     unquote(in.Header.Get(HeaderKey)),
		Method:  in.Method,
		Path:    servicePath(in.URL, a.trusted),
		Query:   in.URL.RawQuery,
		Service: c.Param("service"),
		Team:    in.Header.Get(HeaderTeam),
	}
	if a.trusted {
		r.ClaimedKey = in.Header.Get(HeaderClaimed)
		r.Forwarded = in.Header.Get(HeaderForwarded)
		if id := in.Header.Get(HeaderRequestID); id != "" {
			r.ID = id
		}
	}
	timeout, err := parseTimeout(in.Header.Get(HeaderTimeout), a.limits.RequestTimeout)
	if err != nil {
		return r, refusal(http.StatusBadRequest, "bad_timeout", HeaderTimeout+" must be milliseconds above 0")
	}
	if !a.svc.IsFeed(r.Service) {
		r.Deadline = r.Arrived.Add(timeout)
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(r.Arrived.Add(a.limits.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), in.Body, a.limits.MaxBodyBytes))
	if err == nil {
		// After an error the deadline stays: net/http reads the rest of the body before it answers, and would wait
		// for a slow sender without end.
		_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return r, refusal(http.StatusRequestEntityTooLarge, "body_too_large",
			"the body exceeds "+strconv.FormatInt(a.limits.MaxBodyBytes, 10)+" bytes")
	case err != nil:
		return r, refusal(http.StatusRequestTimeout, "body_incomplete", "the body did not arrive whole in time")
	}
	r.Body = body
	return r, nil
}

func (a *api) refuse(c echo.Context, p *laburnumridge.Problem) error {
	c.Response().Header().Set(HeaderOutcome, string(p.Outcome))
	return operator.WriteProblem(c, p)
}

// write passes a response on; a body that breaks off breaks the caller's connection too, so that a part is
// never taken for the whole.
func (a *api) write(c echo.Context, r Request, res *Response) error {
	out := c.Response()
	for name, values := range passedOn(res.Header) {
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
		err = copyFlushing(out, res.Body)
	} else {
		_, err = io.Copy(out, res.Body)
	}
	if err != nil {
		a.log.WithError(err).WithField("request", r.ID).Info("response broke off")
		panic(http.ErrAbortHandler)
	}
	return nil
}

func copyFlushing(out *echo.Response, body io.Reader) error {
	buf := make([]byte, 16<<10)
	out.Flush()
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := out.Write(buf[:n]); err != nil {
				return nil // the caller has gone
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

func parseTimeout(text string, most time.Duration) (time.Duration, error) {
	if text == "" {
		return most, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, strconv.ErrRange
	}
	return min(time.Duration(ms)*time.Millisecond, most), nil
}

func passedOn(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(named))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func refusal(status int, reason, detail string) *laburnumridge.Problem {
	return &laburnumridge.Problem{
		Detail: detail, Outcome: laburnumridge.OutcomeNotRun, Reason: reason, Status: status,
		Title: http.StatusText(status),
	}
}

// servicePath returns what follows the service's name, escaped as it was sent.
func servicePath(u *url.URL, forwarded bool) string {
	path := strings.TrimPrefix(u.EscapedPath(), "/")
	if forwarded {
		path = strings.TrimPrefix(path, "forward/")
	}
	_, rest, _ := strings.Cut(path, "/")
	return "/" + rest
}

// unquote reads an idempotency key as a structured string or as it is.
func unquote(key string) string {
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		return key[1 : len(key)-1]
	}
	return key
}
