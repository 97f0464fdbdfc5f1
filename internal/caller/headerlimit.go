package caller

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/laburnumridge/laburnumridge/internal/operator"
)

// HeaderSlack is what a server should read of a header beyond the limit, so that LimitHeaders can answer with
// problem details where net/http would close the connection with plain text.
const HeaderSlack = 64 << 10

// LimitHeaders refuses requests whose header exceeds a number of bytes.
func LimitHeaders(limit int) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if headerBytes(c.Request()) <= limit {
				return next(c)
			}
			c.Response().Header().Set("Connection", "close")
			p := refusal(http.StatusRequestHeaderFieldsTooLarge, "header_too_large",
				fmt.Sprintf("the header exceeds %d bytes", limit))
			c.Response().Header().Set(HeaderOutcome, string(p.Outcome))
			return operator.WriteProblem(c, p)
		}
	}
}

// headerBytes returns about the size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
