package toucanfrontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// The structs state every field, so that a zero is written and not left out.
type (
	query struct {
		Service string `json:"service"`
		Route   string `json:"route"`
		Query   string `json:"query"`
		Limit   uint32 `json:"limit"`
		Timeout string `json:"timeout"`
		Key     string `json:"key"`
	}
	answer struct {
		Request  string   `json:"request"`
		Snapshot snapshot `json:"snapshot"`
		Coverage coverage `json:"coverage"`
		Items    []item   `json:"items"`
	}
	snapshot struct {
		Index uint64 `json:"index"`
		Map   uint64 `json:"map"`
	}
	coverage struct {
		Asked    uint32    `json:"asked"`
		Answered uint32    `json:"answered"`
		Missing  []missing `json:"missing"`
	}
	missing struct {
		Shard  uint32 `json:"shard"`
		Reason string `json:"reason"`
	}
	item struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
		Text  string  `json:"text"`
	}
	refusal struct {
		Error failure `json:"error"`
	}
	failure struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Detail  string `json:"detail"`
		Request string `json:"request"`
	}
)

// read returns the query in a request's body, or the status and the failure.
func read(w http.ResponseWriter, r *http.Request) (*toucanpb.Query, int, *toucanfault.Error) {
	// A writer without deadlines is a test's; the server's has them. net/http
	// clears the deadline once the body is complete, so the query may take
	// longer; after a failure it bounds the reading of what is left.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge, bad(fmt.Sprintf("the body is larger than %d bytes", maxBody))
	case errors.As(err, &network) && network.Timeout():
		return nil, http.StatusRequestTimeout, toucanfault.NotRun(toucanpb.Code_CODE_TIMEOUT, fmt.Sprintf("the body did not arrive within %s", bodyTimeout))
	case err != nil:
		return nil, http.StatusBadRequest, bad("the body could not be read: " + err.Error())
	}
	q, fault := decode(body)
	return q, http.StatusBadRequest, fault
}

// decode parses a query strictly: a field that is misspelt or has the wrong type
// would otherwise change the query without a sign.
func decode(body []byte) (*toucanpb.Query, *toucanfault.Error) {
	if !utf8.Valid(body) {
		return nil, bad("the body is not valid UTF-8")
	}
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return nil, bad("the body is not a JSON object")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var q query
	if err := d.Decode(&q); err != nil {
		return nil, bad(explain(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, bad("the body has data after the JSON object")
	}
	return &toucanpb.Query{
		Service: q.Service, Route: q.Route, Query: q.Query, Limit: q.Limit, Timeout: q.Timeout, Key: q.Key,
	}, nil
}

func explain(err error) string {
	var kind *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &kind):
		want := "a text"
		if kind.Field == "limit" {
			want = "a whole number from 0 to 1000"
		}
		return fmt.Sprintf("field %q is %s, got %s", kind.Field, want, kind.Value)
	case errors.As(err, &syntax):
		return fmt.Sprintf("the body is not valid JSON at byte %d: %s", syntax.Offset, syntax)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the body ends inside the JSON object"
	}
	return "the body is not a valid query: " + strings.TrimPrefix(err.Error(), "json: ")
}

func bad(detail string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail)
}

func encode(a *toucanpb.Answer) ([]byte, error) {
	out := answer{
		Request:  a.GetRequest(),
		Snapshot: snapshot{Index: a.GetSnapshot().GetIndex(), Map: a.GetSnapshot().GetMap()},
		Coverage: coverage{
			Asked:    a.GetCoverage().GetAsked(),
			Answered: a.GetCoverage().GetAnswered(),
			Missing:  make([]missing, len(a.GetCoverage().GetMissing())),
		},
		Items: make([]item, len(a.GetItems())),
	}
	for n, m := range a.GetCoverage().GetMissing() {
		out.Coverage.Missing[n] = missing{Shard: m.GetShard(), Reason: m.GetReason()}
	}
	for n, it := range a.GetItems() {
		out.Items[n] = item{ID: it.GetId(), Score: it.GetScore(), Text: it.GetText()}
	}
	return json.Marshal(out)
}

func encodeRefusal(request string, e *toucanfault.Error) ([]byte, error) {
	detail := e.Detail
	if e.Cause != nil {
		detail += ": " + e.Cause.Error()
	}
	return json.Marshal(refusal{failure{
		Code: toucanfault.CodeWord(e.Code), Outcome: outcomeWord(e.Outcome), Detail: detail, Request: request,
	}})
}

// outcomeWord returns "notrun" only for a failure that says so.
func outcomeWord(o toucanpb.Outcome) string {
	if o != toucanpb.Outcome_OUTCOME_NOTRUN {
		o = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	return toucanfault.OutcomeWord(o)
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that is gone has no other channel
}
