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

// defaultTimeout bounds requests that name no shorter timeout.
const defaultTimeout = 15 * time.Second

type api struct {
	svc     Service
	timeout time.Duration
	token   string
}

// Option sets a property of the interface.
type Option func(*api)

// WithTimeout bounds requests that name no shorter timeout.
func WithTimeout(d time.Duration) Option { return func(a *api) { a.timeout = d } }

// WithToken sets the bearer token that requests must carry; an empty one accepts all.
func WithToken(token string) Option { return func(a *api) { a.token = token } }

// Register adds the routes below /v1 to e.
func Register(e *echo.Echo, svc Service, opts ...Option) {
	a := &api{svc: svc, timeout: defaultTimeout}
	for _, o := range opts {
		o(a)
	}
	g := e.Group("/v1")
	g.GET("/explain/:id", a.wrap(a.explain))
	g.GET("/in-force", a.wrap(a.inForce))
	g.POST("/jobs", a.wrap(a.submit))
	g.DELETE("/jobs/:id", a.wrap(a.cancel))
	g.GET("/jobs/:id", a.wrap(a.job))
	g.GET("/notes", a.wrap(a.notes))
	g.POST("/notes", a.wrap(a.publish))
	g.GET("/notes/:id", a.wrap(a.note))
	g.POST("/notes/plan", a.wrap(a.plan))
	g.GET("/status", a.wrap(a.status))
	g.RouteNotFound("/*", a.wrap(func(c echo.Context) error {
		return eris.Wrap(laburnumridge.ErrNotFound, c.Request().URL.Path)
	}))
}

// wrap checks the token, sets the deadline and answers errors with problem details.
func (a *api) wrap(handle echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if !a.isAuthorized(r.Header.Get(echo.HeaderAuthorization)) {
			return WriteProblem(c, ProblemOf(eris.Wrap(laburnumridge.ErrUnauthorized, "bearer token is missing or wrong")))
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.timeoutOf(r.Header))
		defer cancel()
		c.SetRequest(r.WithContext(ctx))
		if err := handle(c); err != nil {
			return WriteProblem(c, ProblemOf(err))
		}
		return nil
	}
}

// isAuthorized compares digests, which have the same length, in constant time.
func (a *api) isAuthorized(header string) bool {
	if a.token == "" {
		return true
	}
	scheme, token, _ := strings.Cut(header, " ")
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(a.token))
	return strings.EqualFold(scheme, "Bearer") && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (a *api) timeoutOf(h http.Header) time.Duration {
	left, err := strconv.ParseInt(h.Get(laburnumridge.HeaderTimeout), 10, 64)
	if err != nil || left <= 0 || left > a.timeout.Milliseconds() {
		return a.timeout
	}
	return time.Duration(left) * time.Millisecond
}

// readBody reads at most note.MaxNoteBytes; errors are a problem with status 413, or match ErrInvalid.
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
	return text, eris.Wrap(asInvalid(err), "reading the body")
}

func asInvalid(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrap(laburnumridge.ErrInvalid, err.Error())
}

// param returns a path parameter; echo leaves it escaped if the path holds an escaped slash.
func param(c echo.Context, name string) string {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value
	}
	if plain, err := url.PathUnescape(value); err == nil {
		return plain
	}
	return value
}
