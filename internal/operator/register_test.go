package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/operator"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const validNote = "id = \"n1\"\nwithdrawn = [\"a\"]\n"

func serve(svc operator.Service, r *http.Request, opts ...operator.Option) *httptest.ResponseRecorder {
	e := echo.New()
	operator.Register(e, svc, opts...)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

func post(path, body string) *http.Request {
	return httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
}

// TestErrorsBecomeProblems guards against a write with an unknown outcome that is reported as not run, and against
// errors that are reported with a wrong status.
func TestErrorsBecomeProblems(t *testing.T) {
	for name, tc := range map[string]struct {
		err     error
		status  int
		outcome laburnumridge.Outcome
		retry   string
	}{
		"conflict":    {eris.Wrap(note.ErrConflict, "item a"), 409, laburnumridge.OutcomeNotRun, ""},
		"deadline":    {context.DeadlineExceeded, 504, laburnumridge.OutcomeUnknown, ""},
		"invalid":     {eris.Wrap(note.ErrInvalid, "a"), 400, laburnumridge.OutcomeNotRun, ""},
		"lost answer": {eris.Wrap(kvstore.ErrUnknownOutcome, "notes/3"), 503, laburnumridge.OutcomeUnknown, "1"},
		"not found":   {laburnumridge.ErrNotFound, 404, laburnumridge.OutcomeNotRun, ""},
		"other":       {eris.New("disk on fire"), 500, laburnumridge.OutcomeUnknown, ""},
		"store down":  {eris.Wrap(kvstore.ErrUnavailable, "notes/3"), 503, laburnumridge.OutcomeNotRun, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			svc := operator.Service{Publish: func(context.Context, note.Note) (laburnumridge.PublishedNote, error) {
				return laburnumridge.PublishedNote{}, tc.err
			}}
			w := serve(svc, post("/v1/notes", validNote))
			assert.Equal(t, w.Code, tc.status)
			assert.Equal(t, w.Header().Get("Content-Type"), laburnumridge.ProblemType)
			assert.Equal(t, w.Header().Get("Retry-After"), tc.retry)
			var p laburnumridge.Problem
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
			assert.Equal(t, p.Outcome, tc.outcome)
			assert.Equal(t, p.Status, tc.status)
			assert.Equal(t, p.Detail, tc.err.Error())
		})
	}
}

// TestMalformedRequestsAreRefused guards against requests that are passed to the service without validation. The service
// has no functions here, so that any call panics.
func TestMalformedRequestsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		r      *http.Request
		status int
	}{
		"amends twice":       {post("/v1/notes?amends=m2", "amends = \"m1\"\n"+validNote), 400},
		"bad note":           {post("/v1/notes/plan", "id ="), 400},
		"job id":             {post("/v1/jobs", `{"id":"settlement@now","work":"settlement","tasks":1}`), 400},
		"job key":            {post("/v1/jobs", `{"id":"j","work":"w","tasks":1,"parameters":{}}`), 400},
		"job tasks":          {post("/v1/jobs", `{"id":"j","work":"w","tasks":0}`), 400},
		"job work":           {post("/v1/jobs", `{"id":"j","tasks":1}`), 400},
		"megabyte":           {post("/v1/notes", strings.Repeat("#", 1<<20)), 413},
		"unknown path":       {httptest.NewRequest(http.MethodGet, "/v1/secrets", nil), 404},
		"job without a body": {post("/v1/jobs", ""), 400},
	} {
		t.Run(name, func(t *testing.T) {
			w := serve(operator.Service{}, tc.r)
			assert.Equal(t, w.Code, tc.status, w.Body.String())
			assert.Assert(t, strings.Contains(w.Body.String(), `"outcome":"not_run"`))
		})
	}
}

// TestTokenIsRequired guards against accepting a wrong token or a malformed Authorization header, against a route that
// can be used without the token, and against requiring a token when none is configured.
func TestTokenIsRequired(t *testing.T) {
	svc := operator.Service{Notes: func(context.Context) ([]laburnumridge.PublishedNote, error) { return nil, nil }}
	for header, status := range map[string]int{
		"":                401,
		"Basic secret":    401,
		"Bearer":          401,
		"Bearer secret":   200,
		"Bearer secrets":  401,
		"Bearer wrong":    401,
		"bearer secret":   200,
		"Bearer  secret":  401,
		"Bearer secret\n": 401,
	} {
		r := httptest.NewRequest(http.MethodGet, "/v1/notes", nil)
		r.Header.Set("Authorization", header)
		assert.Equal(t, serve(svc, r, operator.WithToken("secret")).Code, status, "%q", header)
	}
	for _, route := range []string{
		"DELETE /v1/jobs/1", "GET /v1/explain/1", "GET /v1/in-force", "GET /v1/jobs/1", "GET /v1/notes/1",
		"GET /v1/status", "GET /v1/other", "POST /v1/jobs", "POST /v1/notes", "POST /v1/notes/plan",
	} {
		method, path, _ := strings.Cut(route, " ")
		w := serve(operator.Service{}, httptest.NewRequest(method, path, nil), operator.WithToken("secret"))
		assert.Equal(t, w.Code, 401, route)
	}
	assert.Equal(t, serve(svc, httptest.NewRequest(http.MethodGet, "/v1/notes", nil)).Body.String(), "[]\n")
}

// TestIDsAreUnescapedOnce guards against ids with a slash or a percent sign that reach the service escaped, or unescaped
// twice.
func TestIDsAreUnescapedOnce(t *testing.T) {
	var got string
	svc := operator.Service{Explain: func(_ context.Context, id string) (laburnumridge.Explanation, error) {
		got = id
		return laburnumridge.Explanation{}, nil
	}}
	server := echo.New()
	operator.Register(server, svc)
	host := httptest.NewServer(server)
	defer host.Close()
	client, err := laburnumridge.New(laburnumridge.WithURLs(host.URL))
	assert.NilError(t, err)
	for _, id := range []string{"settlement@2026-12-04T02:00:00Z", "job/3", "50%25", "a b"} {
		_, err := client.Explain(t.Context(), id)
		assert.NilError(t, err)
		assert.Equal(t, got, id)
	}
}

// TestPlanListsChangesAndConflicts guards against a plan that omits a change or a conflict, and against wrong states of
// a note's items.
func TestPlanListsChangesAndConflicts(t *testing.T) {
	team := func(name string, share float64) note.Work {
		w := note.Work{Kind: note.KindTeam, Name: name, Share: share}
		w.Quota.Slots = 4
		return w
	}
	first := note.Note{ID: "n1", Added: []note.Work{team("a", 0.1), team("b", 0.1), team("c", 0.1)}}
	c, err := note.Catalogue{}.Apply(first)
	assert.NilError(t, err)
	next := note.Note{ID: "n2", Changed: []note.Work{team("a", 0.2)}, Withdrawn: []string{"b"}}
	plan, err := operator.PlanOf(c, next.WithBase(1))
	assert.NilError(t, err)
	assert.DeepEqual(t, plan, laburnumridge.Plan{
		Changed: []laburnumridge.PlanItem{{
			Changes: []laburnumridge.FieldChange{{Field: "share", From: "0.1", To: "0.2"}}, Kind: "team", Name: "a",
		}},
		Note: "n2", Revision: 1, Untouched: []string{"c"},
		Withdrawn: []laburnumridge.PlanItem{{Kind: "team", Name: "b"}},
	})
	plan, err = operator.PlanOf(c, next.WithBase(0))
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Conflicts), 2)

	c, err = c.Apply(next)
	assert.NilError(t, err)
	detail, err := operator.NoteDetailOf(c, "n1")
	assert.NilError(t, err)
	var states []laburnumridge.ItemState
	for _, d := range detail.Details {
		states = append(states, d.State)
	}
	assert.DeepEqual(t, states, []laburnumridge.ItemState{
		laburnumridge.ItemSuperseded, laburnumridge.ItemWithdrawn, laburnumridge.ItemInForce,
	})
}
