package caller

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/laburnumridge/laburnumridge/internal/operator"
)

// HeaderSlack is the number of bytes that http.Server.MaxHeaderBytes should exceed the limit of LimitHeaders, so that
// LimitHeaders can respond with problem details before net/http responds in plain text and closes the connection.
const HeaderSlack = 16 << 10

// LimitHeaders returns a middleware that refuses requests with a header larger than limit bytes.
func LimitHeaders(limit int) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if headerBytes(c.Request()) <= limit {
				return next(c)
			}
			c.Response().Header().Set("Connection", "close")
			p := notRunProblem(http.StatusRequestHeaderFieldsTooLarge, "header_too_large",
				fmt.Sprintf("the header exceeds %d bytes", limit))
			c.Response().Header().Set(HeaderOutcome, string(p.Outcome))
			return operator.WriteProblem(c, p)
		}
	}
}

// headerBytes returns the approximate size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
