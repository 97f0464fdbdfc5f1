package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// defaultTimeout is the timeout of requests without a shorter one in their header.
const defaultTimeout = 15 * time.Second

type api struct {
	bodies  *clientmemory.Budget
	svc     Service
	timeout time.Duration
	token   string
}

// Option configures Register.
type Option func(*api)

// WithBodies sets the budget for the bodies of requests; the default is no limit.
func WithBodies(b *clientmemory.Budget) Option { return func(a *api) { a.bodies = b } }

// WithTimeout sets the timeout of requests without a shorter one in their header.
func WithTimeout(d time.Duration) Option { return func(a *api) { a.timeout = d } }

// WithToken sets the required bearer token. If it is empty, requests are not authenticated.
func WithToken(token string) Option { return func(a *api) { a.token = token } }

// Register adds the operators' routes below /v1 to e.
func Register(e *echo.Echo, svc Service, opts ...Option) {
	a := &api{svc: svc, timeout: defaultTimeout}
	for _, o := range opts {
		o(a)
	}
	g := e.Group("/v1")
	g.GET("/explain/:id", a.wrapHandler(a.explain))
	g.GET("/in-force", a.wrapHandler(a.inForce))
	g.POST("/jobs", a.wrapHandler(a.submit))
	g.DELETE("/jobs/:id", a.wrapHandler(a.cancel))
	g.GET("/jobs/:id", a.wrapHandler(a.job))
	g.GET("/notes", a.wrapHandler(a.notes))
	g.POST("/notes", a.wrapHandler(a.publish))
	g.GET("/notes/:id", a.wrapHandler(a.note))
	g.POST("/notes/plan", a.wrapHandler(a.plan))
	g.GET("/status", a.wrapHandler(a.status))
	g.RouteNotFound("/*", a.wrapHandler(func(c echo.Context) error {
		return eris.Wrap(laburnumridge.ErrNotFound, c.Request().URL.Path)
	}))
}

// wrapHandler returns a handler that checks the token, sets the deadline and turns errors into problem details.
func (a *api) wrapHandler(handle echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if !a.isAuthorized(r.Header.Get(echo.HeaderAuthorization)) {
			return WriteProblem(c, ProblemOf(eris.Wrap(laburnumridge.ErrUnauthorized, "bearer token is missing or wrong")))
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.requestTimeout(r.Header))
		defer cancel()
		hold := clientmemory.OpenForRequest(a.bodies, c.Response(), r)
		defer hold.Close()
		c.SetRequest(r.WithContext(context.WithValue(ctx, holdKey{}, hold)))
		if err := handle(c); err != nil {
			return WriteProblem(c, ProblemOf(err))
		}
		return nil
	}
}

// isAuthorized compares SHA-256 digests of the tokens in constant time. Digests have the same length, so the time does
// not depend on the length of the tokens either.
func (a *api) isAuthorized(header string) bool {
	if a.token == "" {
		return true
	}
	scheme, token, _ := strings.Cut(header, " ")
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(a.token))
	return strings.EqualFold(scheme, "Bearer") && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (a *api) requestTimeout(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(laburnumridge.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > a.timeout.Milliseconds() {
		return a.timeout
	}
	return time.Duration(ms) * time.Millisecond
}

// holdKey is the key of a request's hold in its context.
type holdKey struct{}

// readBody reads a body of at most note.MaxNoteBytes within the time of the request. Errors are a problem with status 408, 413 or 503, or
// match laburnumridge.ErrInvalid.
func readBody(c echo.Context) ([]byte, error) {
	in := c.Request()
	hold, _ := in.Context().Value(holdKey{}).(*clientmemory.Hold)
	controller := http.NewResponseController(c.Response())
	if deadline, ok := in.Context().Deadline(); ok {
		_ = controller.SetReadDeadline(deadline)
	}
	body, err := clientmemory.ReadBody(hold, http.MaxBytesReader(c.Response(), in.Body, note.MaxNoteBytes), in.ContentLength)
	if err != nil {
		hold.Release()
		clientmemory.CloseAfterResponse(c.Response())
		return nil, bodyProblem(hold, err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body.Join(), nil
}

// bodyProblem returns the problem of a request whose body was not received.
func bodyProblem(hold *clientmemory.Hold, err error) error {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return notRunProblem(http.StatusRequestEntityTooLarge, "too_large", "allowed are "+strconv.Itoa(note.MaxNoteBytes)+" bytes")
	case errors.Is(err, clientmemory.ErrShort), errors.Is(err, clientmemory.ErrStalled):
		if errors.Is(err, clientmemory.ErrShort) {
			hold.Refuse(clientmemory.ReasonBody)
		}
		p := notRunProblem(http.StatusServiceUnavailable, "body_memory", err.Error())
		p.RetryAfter = clientmemory.RetryAfterSeconds
		return p
	case errors.Is(err, os.ErrDeadlineExceeded):
		hold.Refuse(clientmemory.ReasonLate)
		return notRunProblem(http.StatusRequestTimeout, "body_incomplete", "the body did not arrive whole in time")
	}
	return eris.Wrap(wrapInvalid(err), "reading the body")
}

func notRunProblem(status int, reason, detail string) *laburnumridge.Problem {
	return &laburnumridge.Problem{
		Detail: detail, Outcome: laburnumridge.OutcomeNotRun, Reason: reason, Status: status, Title: http.StatusText(status),
	}
}

// wrapInvalid makes an error match laburnumridge.ErrInvalid.
func wrapInvalid(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrap(laburnumridge.ErrInvalid, err.Error())
}

// pathParam returns a path parameter unescaped. Echo leaves parameters escaped if the path contains an escaped slash.
func pathParam(c echo.Context, name string) string {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value
	}
	if unescaped, err := url.PathUnescape(value); err == nil {
		return unescaped
	}
	return value
}
