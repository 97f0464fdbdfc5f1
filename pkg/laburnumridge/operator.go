package laburnumridge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// Amend publishes a note, given as TOML text, that amends an accepted one. It may change only items of that note.
func (c *Client) Amend(ctx context.Context, amended string, text []byte) (PublishedNote, error) {
	return request[PublishedNote](ctx, c, http.MethodPost, "/v1/notes?amends="+url.QueryEscape(amended), text)
}

// CancelJob cancels the tasks of a job that have not ended.
func (c *Client) CancelJob(ctx context.Context, id string) (JobStatus, error) {
	return request[JobStatus](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Explain returns the decisions that concern a task, job, request, note, workload or worker.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	return request[Explanation](ctx, c, http.MethodGet, "/v1/explain/"+url.PathEscape(id), nil)
}

// InForce returns the revision of each entry host and, unless work is empty, the note by which that workload
// is in force.
func (c *Client) InForce(ctx context.Context, work string) (InForce, error) {
	path := "/v1/in-force"
	if work != "" {
		path += "?work=" + url.QueryEscape(work)
	}
	return request[InForce](ctx, c, http.MethodGet, path, nil)
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	return request[JobStatus](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Note returns an accepted note.
func (c *Client) Note(ctx context.Context, id string) (NoteDetail, error) {
	return request[NoteDetail](ctx, c, http.MethodGet, "/v1/notes/"+url.PathEscape(id), nil)
}

// Notes returns all accepted notes in the order of their revisions.
func (c *Client) Notes(ctx context.Context) ([]PublishedNote, error) {
	return request[[]PublishedNote](ctx, c, http.MethodGet, "/v1/notes", nil)
}

// Plan returns what publishing a note, given as TOML text, would change.
func (c *Client) Plan(ctx context.Context, text []byte) (Plan, error) {
	return request[Plan](ctx, c, http.MethodPost, "/v1/notes/plan", text)
}

// Publish publishes a note given as TOML text. If the response is lost, the note is sent again; this is safe because
// entry hosts accept a note id only once.
func (c *Client) Publish(ctx context.Context, text []byte) (PublishedNote, error) {
	return request[PublishedNote](ctx, c, http.MethodPost, "/v1/notes", text)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return request[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// SubmitJob submits a job. If the response is lost, the job is sent again; this is safe because entry hosts accept a
// job id only once.
func (c *Client) SubmitJob(ctx context.Context, spec JobSpec) (JobStatus, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return JobStatus{}, eris.Wrapf(err, "job %s", spec.ID)
	}
	return request[JobStatus](ctx, c, http.MethodPost, "/v1/jobs", body)
}

// request makes an operator call and decodes the response. All operator calls can be retried: they only read, or carry
// an id that is accepted only once.
func request[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	header := http.Header{"Accept": {"application/json"}}
	if c.token != "" {
		header.Set("Authorization", "Bearer "+c.token)
	}
	var out T
	err := c.withRetries(ctx, true, func(base string) error {
		res, err := c.send(ctx, method, base+path, header, body)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
		if err != nil {
			return noAnswerProblem(err, OutcomeUnknown)
		}
		if res.StatusCode >= http.StatusMultipleChoices {
			return &Problem{Detail: method + " " + base + path, Status: res.StatusCode, Title: http.StatusText(res.StatusCode)}
		}
		// Each attempt decodes into a new value, so that fields of an earlier response can't remain.
		var decoded T
		if err := json.Unmarshal(text, &decoded); err != nil {
			return eris.Wrapf(err, "%s %s", method, base+path)
		}
		out = decoded
		return nil
	})
	return out, err
}
