package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// defaultTimeout is the timeout of requests without a shorter one in their header.
const defaultTimeout = 15 * time.Second

type api struct {
	svc     Service
	timeout time.Duration
	token   string
}

// Option configures Register.
type Option func(*api)

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
		c.SetRequest(r.WithContext(ctx))
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

// readBody reads a body of at most note.MaxNoteBytes. Errors are a problem with status 413, or match
// laburnumridge.ErrInvalid.
func readBody(c echo.Context) ([]byte, error) {
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, note.MaxNoteBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, &laburnumridge.Problem{
			Detail:  "allowed are " + strconv.Itoa(note.MaxNoteBytes) + " bytes",
			Outcome: laburnumridge.OutcomeNotRun,
			Reason:  "too_large",
			Status:  http.StatusRequestEntityTooLarge,
			Title:   http.StatusText(http.StatusRequestEntityTooLarge),
		}
	}
	return text, eris.Wrap(wrapInvalid(err), "reading the body")
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
