package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"regexp"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// maxTasks limits the tasks of one job. For comparison, the fleet runs about 3,100 batch tasks at a time.
const maxTasks = 10_000

// jobIDPattern excludes "@", so that submitted ids can't collide with the ids of scheduled runs, which contain it.
var jobIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (a *api) cancel(c echo.Context) error {
	return writeResult(c)(a.svc.Cancel(c.Request().Context(), pathParam(c, "id")))
}

func (a *api) explain(c echo.Context) error {
	return writeResult(c)(a.svc.Explain(c.Request().Context(), pathParam(c, "id")))
}

func (a *api) inForce(c echo.Context) error {
	return writeResult(c)(a.svc.InForce(c.Request().Context(), c.QueryParam("work")))
}

func (a *api) job(c echo.Context) error {
	return writeResult(c)(a.svc.Job(c.Request().Context(), pathParam(c, "id")))
}

func (a *api) note(c echo.Context) error {
	return writeResult(c)(a.svc.Note(c.Request().Context(), pathParam(c, "id")))
}

func (a *api) notes(c echo.Context) error {
	notes, err := a.svc.Notes(c.Request().Context())
	if notes == nil {
		notes = []laburnumridge.PublishedNote{} // encoded as an empty list instead of null
	}
	return writeResult(c)(notes, err)
}

func (a *api) plan(c echo.Context) error {
	n, err := readNote(c)
	if err != nil {
		return err
	}
	return writeResult(c)(a.svc.Plan(c.Request().Context(), n))
}

func (a *api) publish(c echo.Context) error {
	n, err := readNote(c)
	if err != nil {
		return err
	}
	return writeResult(c)(a.svc.Publish(c.Request().Context(), n))
}

func (a *api) status(c echo.Context) error {
	return writeResult(c)(a.svc.Status(c.Request().Context()))
}

func (a *api) submit(c echo.Context) error {
	text, err := readBody(c)
	if err != nil {
		return err
	}
	var spec laburnumridge.JobSpec
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return wrapInvalid(err)
	}
	if err := checkJob(spec); err != nil {
		return err
	}
	return writeResult(c)(a.svc.Submit(c.Request().Context(), spec))
}

// writeResult returns a function that takes the results of a Service function, and writes the value as JSON or returns
// the error.
func writeResult(c echo.Context) func(result any, err error) error {
	return func(result any, err error) error {
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, result)
	}
}

func checkJob(spec laburnumridge.JobSpec) error {
	switch {
	case !jobIDPattern.MatchString(spec.ID):
		return eris.Wrapf(laburnumridge.ErrInvalid, "job id %q must match %s", spec.ID, jobIDPattern)
	case spec.Work == "":
		return eris.Wrapf(laburnumridge.ErrInvalid, "job %s names no work", spec.ID)
	case spec.Tasks < 1 || spec.Tasks > maxTasks:
		return eris.Wrapf(laburnumridge.ErrInvalid, "job %s: tasks %d must be from 1 to %d", spec.ID, spec.Tasks, maxTasks)
	}
	return nil
}

// readNote reads a note from the body. The query parameter amends sets the note's Amends; it must not contradict the
// value in the body.
func readNote(c echo.Context) (note.Note, error) {
	text, err := readBody(c)
	if err != nil {
		return note.Note{}, err
	}
	n, err := note.Parse(text)
	if err != nil {
		return note.Note{}, err
	}
	amends := c.QueryParam("amends")
	if amends != "" && n.Amends != "" && n.Amends != amends {
		return note.Note{}, eris.Wrapf(note.ErrInvalid, "%s: amends %q in its text but %q in the request", n.ID, n.Amends, amends)
	}
	if amends != "" {
		n = n.WithAmends(amends)
	}
	return n, nil
}
