package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// retryAfterSeconds is the value of Retry-After; most outages of the store are shorter.
const retryAfterSeconds = 1

var problemMappings = []struct {
	err     error
	status  int
	outcome laburnumridge.Outcome
	reason  string
}{
	// Unknown outcomes come first, so that an error that wraps several of these is never reported as not run.
	{kvstore.ErrUnknownOutcome, http.StatusServiceUnavailable, laburnumridge.OutcomeUnknown, "store_answer_lost"},
	{laburnumridge.ErrUnknown, http.StatusServiceUnavailable, laburnumridge.OutcomeUnknown, "answer_lost"},
	{note.ErrConflict, http.StatusConflict, laburnumridge.OutcomeNotRun, "note_conflict"},
	{laburnumridge.ErrConflict, http.StatusConflict, laburnumridge.OutcomeNotRun, "conflict"},
	{note.ErrInvalid, http.StatusBadRequest, laburnumridge.OutcomeNotRun, "invalid_note"},
	{laburnumridge.ErrInvalid, http.StatusBadRequest, laburnumridge.OutcomeNotRun, "invalid_request"},
	{laburnumridge.ErrNotFound, http.StatusNotFound, laburnumridge.OutcomeNotRun, "not_found"},
	{laburnumridge.ErrUnauthorized, http.StatusUnauthorized, laburnumridge.OutcomeNotRun, "unauthorized"},
	{kvstore.ErrTooLarge, http.StatusRequestEntityTooLarge, laburnumridge.OutcomeNotRun, "too_large"},
	{kvstore.ErrUnavailable, http.StatusServiceUnavailable, laburnumridge.OutcomeNotRun, "store_unavailable"},
	{kvstore.ErrConflict, http.StatusServiceUnavailable, laburnumridge.OutcomeNotRun, "store_contention"},
	{laburnumridge.ErrUnavailable, http.StatusServiceUnavailable, laburnumridge.OutcomeNotRun, "unavailable"},
	{laburnumridge.ErrNotRun, http.StatusServiceUnavailable, laburnumridge.OutcomeNotRun, "not_run"},
	{context.DeadlineExceeded, http.StatusGatewayTimeout, laburnumridge.OutcomeUnknown, "deadline_exceeded"},
}

// ProblemOf returns the problem details for an error. Errors without a mapping are reported with an unknown outcome.
func ProblemOf(err error) *laburnumridge.Problem {
	var p *laburnumridge.Problem
	if errors.As(err, &p) && p.Status != 0 {
		return p
	}
	p = &laburnumridge.Problem{
		Detail:  err.Error(),
		Outcome: laburnumridge.OutcomeUnknown,
		Reason:  "internal",
		Status:  http.StatusInternalServerError,
	}
	for _, mapping := range problemMappings {
		if errors.Is(err, mapping.err) {
			p.Outcome, p.Reason, p.Status = mapping.outcome, mapping.reason, mapping.status
			break
		}
	}
	if p.Status == http.StatusServiceUnavailable {
		p.RetryAfter = retryAfterSeconds
	}
	p.Title = http.StatusText(p.Status)
	return p
}

func notFound(kind, id string) error {
	return eris.Wrapf(laburnumridge.ErrNotFound, "%s %s", kind, id)
}

// WriteProblem writes problem details as the response.
func WriteProblem(c echo.Context, p *laburnumridge.Problem) error {
	header := c.Response().Header()
	if p.RetryAfter > 0 {
		header.Set(echo.HeaderRetryAfter, strconv.Itoa(p.RetryAfter))
	}
	if p.Status == http.StatusUnauthorized {
		header.Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.Blob(p.Status, laburnumridge.ProblemType, text)
}
